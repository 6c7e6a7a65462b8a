/** @file Tests of refusals that an upstream sends more than once. */
#include "stand_in.hpp"

#include <daisylead/entry/http_caller_base.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

serving::catalog make_catalog()
{
    serving::catalog catalog = make_open_catalog(1000ms);
    serving::route once = catalog.m_routes.front();
    once.m_id = route_id("/once/");
    once.m_prefix = "/once/";
    once.m_repeatable = false;
    once.m_max_upstreams = 1;
    catalog.m_routes.push_back(once);
    return catalog;
}

std::string make_request(std::string const& path, std::string const& id)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id +
           "\r\nContent-Length: 0\r\n\r\n";
}

std::string make_answer(std::string const& status, std::string const& fields,
                        std::string const& body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string make_refusal(std::string const& id)
{
    return make_answer(
        "503 Busy", (id.empty() ? "" : "Id: " + id + "\r\n") + "Not-Run: 1\r\n",
        "");
}

std::string make_success(std::string const& id, std::string const& body)
{
    return make_answer("200 OK", "Id: " + id + "\r\nSeal: s\r\n", body);
}

bool starts_with(std::string const& text, std::string const& begin)
{
    return text.rfind(begin, 0) == 0;
}

} // namespace

TEST_CASE("a repeat is not taken as refused by its own earlier refusal")
{
    // Guards against "not run" for a request that runs: the copy of a refusal
    // has the id of the repeat, which goes to the same, only upstream.
    for (std::string const path : {"/again/x", "/once/x"})
    {
        std::atomic<int> requests = 0;
        std::atomic<int> runs = 0;
        scripted_upstream upstream(
            [&](served_connection& connection)
            {
                bool refused = false;
                while (!connection.read_request().empty())
                {
                    if (++requests == 1)
                    {
                        connection.write(make_refusal("a1"));
                        refused = true;
                        continue;
                    }
                    ++runs;
                    if (refused)
                    {
                        connection.write(make_refusal("a1"));
                    }
                    std::this_thread::sleep_for(20ms);
                    connection.write(make_success("a1", "own"));
                }
            });
        running_instance instance(
            make_catalog(), {make_upstream_record("u1", upstream.address())});
        std::string const answer = instance.exchange(make_request(path, "a1"));
        INFO(path << ": " << answer);
        CHECK(starts_with(answer, "HTTP/1.1 200"));
        CHECK(requests == 2);
        CHECK(runs == 1);
        CHECK(upstream.connections() == 2);
    }
}

TEST_CASE("a copy of a former refusal does not answer the next request")
{
    // Guards against "not run" for a request that runs; the copy has the
    // former id or none, and comes before or after the next request.
    for (std::string const copy_id : {"a1", ""})
    {
        for (bool const early : {true, false})
        {
            std::atomic<int> runs = 0;
            std::atomic<int> requests = 0;
            scripted_upstream upstream(
                [&](served_connection& connection)
                {
                    bool refused = false;
                    while (!connection.read_request().empty())
                    {
                        if (++requests == 1)
                        {
                            connection.write(make_answer(
                                "400 Bad", "Id: a1\r\nNot-Run: 1\r\n", ""));
                            refused = true;
                            if (early)
                            {
                                std::this_thread::sleep_for(30ms);
                                connection.write(make_refusal(copy_id));
                            }
                            continue;
                        }
                        ++runs;
                        if (refused && !early)
                        {
                            connection.write(make_refusal(copy_id));
                        }
                        connection.write(make_success("b2", "own"));
                    }
                });
            running_instance instance(
                make_catalog(),
                {make_upstream_record("u1", upstream.address())});
            CHECK(starts_with(instance.exchange(make_request("/again/x", "a1")),
                              "HTTP/1.1 400"));
            std::string const answer =
                instance.exchange(make_request("/again/y", "b2"));
            INFO("copy id '" << copy_id << "', early " << early << ": "
                             << answer);
            CHECK(starts_with(answer, "HTTP/1.1 200"));
            CHECK(runs == 1);
            CHECK(upstream.connections() == (early ? 2 : 1));
        }
    }
}

TEST_CASE("a request that may run once uses no connection with a refusal")
{
    // Guards against a copy of a refusal that is read as the answer to a
    // request that may run only once.
    std::atomic<int> requests = 0;
    scripted_upstream upstream(
        [&](served_connection& connection)
        {
            while (!connection.read_request().empty())
            {
                connection.write(
                    ++requests == 1
                        ? make_answer("400 Bad", "Id: a1\r\nNot-Run: 1\r\n", "")
                        : make_success("b2", "own"));
            }
        });
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", upstream.address())});
    CHECK(starts_with(instance.exchange(make_request("/again/x", "a1")),
                      "HTTP/1.1 400"));
    CHECK(starts_with(instance.exchange(make_request("/once/y", "b2")),
                      "HTTP/1.1 200"));
    CHECK(upstream.connections() == 2);
}

TEST_CASE("a refusal after an attempt that may have run is no promise")
{
    // Guards against "not run" for a request that may have run at its first
    // upstream, when the second one refuses without the field for it.
    for (std::string const status : {"408 T", "421 M", "429 R", "503 B"})
    {
        std::atomic<int> requests = 0;
        auto const run = [&](served_connection& connection)
        {
            if (connection.read_request().empty())
            {
                return;
            }
            if (++requests > 1)
            {
                connection.write(make_answer(status, "Id: a1\r\n", ""));
            }
        };
        scripted_upstream first(run);
        scripted_upstream second(run);
        running_instance instance(
            make_catalog(), {make_upstream_record("u1", first.address()),
                             make_upstream_record("u2", second.address())});
        std::string const answer =
            instance.exchange(make_request("/again/x", "a1"));
        INFO(status << ": " << answer);
        CHECK(requests == 2);
        CHECK(starts_with(answer, "HTTP/1.1 502"));
    }
}

TEST_CASE("an order's answer is not a copy of a former call's answer")
{
    // Guards against an order that is taken as accepted by the answer to the
    // call before it; these answers have no id.
    scripted_upstream engine(
        [](served_connection& connection)
        {
            if (connection.read_request().find("/order") != std::string::npos)
            {
                connection.write(make_answer("409 Busy", "", "{}"));
                return;
            }
            connection.write(make_answer("200 OK", "", "{}"));
            std::this_thread::sleep_for(20ms);
            connection.write(make_answer("200 OK", "", "{}"));
            connection.read_request();
        });
    boost::asio::io_context context;
    entry::http_caller caller(context.get_executor());
    std::vector<int> statuses;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void>
        {
            for (bool const is_order : {false, true})
            {
                entry::http_call call;
                call.m_address = engine.address();
                call.m_target = is_order ? "/order" : "/report";
                call.m_timeout = 500ms;
                call.m_fresh = is_order;
                auto const answer = co_await caller.call(call);
                statuses.push_back(answer ? answer->m_status : 0);
            }
        },
        boost::asio::detached);
    context.run();
    CHECK(statuses == std::vector<int>{200, 409});
}
