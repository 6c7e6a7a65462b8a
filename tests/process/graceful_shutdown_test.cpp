/** @file Tests of instances that are told to stop (G12). */
#include "fleet_base.hpp"

#include <catch2/catch.hpp>

#include <csignal>

using namespace daisylead;
using namespace daisylead::process_test;

namespace
{

constexpr milliseconds wait_time{20000};
constexpr int tokens = 300;

} // namespace

TEST_CASE("a shutdown cuts no open stream")
{
    fleet fleet;
    fleet.add_engine({"--prefill-rate", "100000", "--step-ms", "10"});
    fleet.start(2);
    open_call call(streamed_chat(fleet.member(0), "a card", tokens));
    REQUIRE(call.wait_for_chunks(2, wait_time));
    fleet.member(0).process().signal(SIGTERM);
    REQUIRE(call.wait_for_end(wait_time));
    auto const content = read_stream(call.response().m_body);
    CHECK(content.m_done);
    CHECK(content.m_text == fleet.reference_text("a card", tokens));
    CHECK(fleet.member(0).process().wait(wait_time) == 0);
}

TEST_CASE("an instance that stops first reports that it is not ready")
{
    // The load balancer needs the time between the report and the closing of
    // the port to send callers elsewhere.
    fleet fleet;
    fleet.add_engine();
    fleet.start(1);
    fleet.member(0).process().signal(SIGTERM);
    CHECK(eventually(milliseconds(200),
                     [&] {
                         return has_status(
                             fetch(fleet.member(0).operators(), "/readyz"),
                             503);
                     }));
    auto const served = fetch(fleet.member(0).caller(), "/v1/chat/completions",
                              chat_body("a card", 3, false), museum_key());
    CHECK(has_status(served, 200));
    CHECK(fleet.member(0).process().wait(wait_time) == 0);
}

TEST_CASE("requests sent before the port closes are served")
{
    // The load balancer notices the report of /readyz only after a while; the
    // fleet sets a drain delay of 300 ms.
    fleet fleet;
    fleet.add_engine();
    fleet.start(1);
    auto const begin = std::chrono::steady_clock::now();
    fleet.member(0).process().signal(SIGTERM);
    while (std::chrono::steady_clock::now() - begin < milliseconds(200))
    {
        auto const response =
            fetch(fleet.member(0).caller(), "/v1/chat/completions",
                  chat_body("a card", 3, false), museum_key());
        REQUIRE(has_status(response, 200));
    }
    CHECK(fleet.member(0).process().wait(wait_time) == 0);
}

TEST_CASE("a hang-up signal does not end an instance")
{
    // Guards against a supervisor's reload, which ended the process.
    fleet fleet;
    fleet.add_engine();
    fleet.start(1);
    fleet.member(0).process().signal(SIGHUP);
    CHECK_FALSE(fleet.member(0).process().wait(milliseconds(500)));
    auto const served = fetch(fleet.member(0).caller(), "/v1/chat/completions",
                              chat_body("a card", 3, false), museum_key());
    CHECK(has_status(served, 200));
}
