/** @file Tests of the peer transport over loopback. */
#include <daisylead/peer/make_transport_func.hpp>

#include "peer/codec.hpp"

#include <capnp/message.h>
#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <thread>

using namespace daisylead;
using namespace std::chrono_literals;

namespace
{

peer::message make_reserve()
{
    limits::reserve_request body;
    body.m_organisation = organisation_id("museum");
    body.m_reservation = limits::reservation_number(7);
    body.m_sent_at = 123456789;
    body.m_amounts = {token_count(500), token_count(20)};
    body.m_reports = {{organisation_id("museum"), fence_number(3),
                       limits::reservation_number(6), token_count(12),
                       token_count(3), true}};
    return {instance_id("entry-1"), incarnation(42), body};
}

std::optional<peer::message> call(peer::transport& sender,
                                  std::string const& address,
                                  peer::message const& content,
                                  std::chrono::milliseconds timeout)
{
    std::promise<std::optional<peer::message>> result;
    sender.send(address, content, timeout,
                [&](std::optional<peer::message> reply)
                { result.set_value(std::move(reply)); });
    return result.get_future().get();
}

} // namespace

TEST_CASE("encoding keeps every field of a reservation")
{
    capnp::MallocMessageBuilder builder;
    auto target = builder.initRoot<peer::wire::Message>();
    peer::encode(make_reserve(), target);
    peer::message const decoded = peer::decode(target.asReader());
    CHECK(decoded.m_sender == instance_id("entry-1"));
    auto const& body = std::get<limits::reserve_request>(decoded.m_body);
    CHECK(body.m_incarnation == incarnation(42));
    CHECK(body.m_amounts.at(1) == token_count(20));
    CHECK(body.m_reports.at(0).m_refund == token_count(12));
    CHECK(body.m_reports.at(0).m_extra == token_count(3));
    CHECK(body.m_reports.at(0).m_closed);
}

TEST_CASE("encoding keeps request rates, also those that ended")
{
    serving::fleet_news news;
    news.m_load.m_rates = {{3, 1.5, 250, 0.75}, {9, std::nullopt, 40, 0}};
    capnp::MallocMessageBuilder builder;
    auto target = builder.initRoot<peer::wire::Message>();
    peer::encode({instance_id("entry-1"), incarnation(42), news}, target);
    peer::message const decoded = peer::decode(target.asReader());
    auto const& rates =
        std::get<serving::fleet_news>(decoded.m_body).m_load.m_rates;
    REQUIRE(rates.size() == 2);
    CHECK(rates[0].m_position == 3);
    CHECK(rates[0].m_per_second == 1.5);
    CHECK(rates[0].m_age_ms == 250);
    CHECK(rates[0].m_granted == 0.75);
    CHECK(rates[1].m_position == 9);
    CHECK_FALSE(rates[1].m_per_second);
}

TEST_CASE("encoding keeps the parts of a document and their requests")
{
    serving::document_part part;
    part.m_state = {4, 5, 6};
    part.m_base = 7;
    part.m_encoding = 8;
    part.m_encoded_size = 9;
    part.m_size = 10;
    part.m_offset = 11;
    part.m_bytes = std::string("\0x", 2);
    capnp::MallocMessageBuilder builder;
    auto target = builder.initRoot<peer::wire::Message>();
    peer::encode({instance_id("entry-1"), incarnation(42), part}, target);
    peer::message const message = peer::decode(target.asReader());
    auto const& decoded = std::get<serving::document_part>(message.m_body);
    CHECK(decoded.m_state.m_revision == 4);
    CHECK(decoded.m_state.m_digest == 5);
    CHECK(decoded.m_state.m_age_ms == 6);
    CHECK(decoded.m_base == 7);
    CHECK(decoded.m_encoding == 8);
    CHECK(decoded.m_encoded_size == 9);
    CHECK(decoded.m_size == 10);
    CHECK(decoded.m_offset == 11);
    CHECK(decoded.m_bytes == part.m_bytes);

    capnp::MallocMessageBuilder second;
    auto request_target = second.initRoot<peer::wire::Message>();
    peer::encode({instance_id("entry-1"), incarnation(42),
                  serving::document_request{1, 2, 3}},
                 request_target);
    peer::message const asked = peer::decode(request_target.asReader());
    auto const& request = std::get<serving::document_request>(asked.m_body);
    CHECK(request.m_known == 1);
    CHECK(request.m_encoding == 2);
    CHECK(request.m_offset == 3);
}

TEST_CASE("encoding keeps the software of an upstream")
{
    serving::fleet_news news;
    serving::upstream_record record;
    record.m_id = upstream_id("u");
    record.m_started = 7;
    record.m_software = software_version("v2");
    news.m_upstream_changes = serving::upstream_changes{0, {record}, {}};
    capnp::MallocMessageBuilder builder;
    auto target = builder.initRoot<peer::wire::Message>();
    peer::encode({instance_id("entry-1"), incarnation(42), news}, target);
    peer::message const decoded = peer::decode(target.asReader());
    auto const& body = std::get<serving::fleet_news>(decoded.m_body);
    REQUIRE(body.m_upstream_changes);
    REQUIRE(body.m_upstream_changes->m_changed.size() == 1);
    CHECK(body.m_upstream_changes->m_changed.front().m_software ==
          software_version("v2"));
}

TEST_CASE("encoding keeps the origins of streams and the versions in use")
{
    peer::stream_records records;
    records.m_origins = {{"a1", service_id("s"), upstream_id("u"), 7,
                          software_version("v2"),
                          std::chrono::milliseconds(4200)}};
    records.m_asked = {"a2", "a3"};
    capnp::MallocMessageBuilder builder;
    auto target = builder.initRoot<peer::wire::Message>();
    peer::encode({instance_id("entry-1"), incarnation(42), records}, target);
    peer::message const decoded = peer::decode(target.asReader());
    auto const& body = std::get<peer::stream_records>(decoded.m_body);
    CHECK(body.m_origins == records.m_origins);
    CHECK(body.m_asked == records.m_asked);

    serving::fleet_news news;
    news.m_software = serving::software_news{
        9000, 300, {{service_id("s"), software_version("v1"), 250}}};
    capnp::MallocMessageBuilder second;
    auto news_target = second.initRoot<peer::wire::Message>();
    peer::encode({instance_id("entry-1"), incarnation(42), news}, news_target);
    peer::message const decoded_news = peer::decode(news_target.asReader());
    auto const& software =
        std::get<serving::fleet_news>(decoded_news.m_body).m_software;
    REQUIRE(software);
    CHECK(software->m_since_age_ms == 9000);
    CHECK(software->m_until_age_ms == 300);
    REQUIRE(software->m_uses.size() == 1);
    CHECK(software->m_uses.front().m_service == service_id("s"));
    CHECK(software->m_uses.front().m_software == software_version("v1"));
    CHECK(software->m_uses.front().m_last_used_age_ms == 250);
}

TEST_CASE("encoding keeps crashes, answered parts and blocked parts")
{
    serving::fleet_news news;
    request::upstream_incarnation const crash{upstream_id("u"), incarnation(5)};
    news.m_crashes = {
        {crash, {request::part_digest(1), request::part_digest(2)}}};
    news.m_answered_parts = {request::part_digest(3)};
    news.m_blocked_parts = {{request::part_digest(4), {crash}, true}};
    news.m_blocked_digest = 9;
    news.m_knows_blocked_parts = true;
    capnp::MallocMessageBuilder builder;
    auto target = builder.initRoot<peer::wire::Message>();
    peer::encode({instance_id("entry-1"), incarnation(42), news}, target);
    peer::message const decoded = peer::decode(target.asReader());
    auto const& body = std::get<serving::fleet_news>(decoded.m_body);
    REQUIRE(body.m_crashes.size() == 1);
    CHECK(body.m_crashes.front().m_crash == crash);
    CHECK(body.m_crashes.front().m_parts == news.m_crashes.front().m_parts);
    CHECK(body.m_answered_parts == news.m_answered_parts);
    REQUIRE(body.m_blocked_parts.size() == 1);
    CHECK(body.m_blocked_parts.front().m_part == request::part_digest(4));
    CHECK(body.m_blocked_parts.front().m_crashes ==
          news.m_blocked_parts.front().m_crashes);
    CHECK(body.m_blocked_parts.front().m_stored);
    CHECK(body.m_blocked_digest == 9);
    CHECK(body.m_knows_blocked_parts);
}

TEST_CASE("a call reaches the peer and its reply comes back")
{
    auto const receiver =
        peer::make_transport("127.0.0.1:7391",
                             [](peer::message request,
                                std::function<void(peer::message)> const& reply)
                             {
                                 request.m_sender = instance_id("entry-2");
                                 reply(std::move(request));
                             });
    auto const sender = peer::make_transport(
        "127.0.0.1:7392",
        [](peer::message const&, std::function<void(peer::message)> const&) {});
    auto const reply = call(*sender, "127.0.0.1:7391", make_reserve(), 2s);
    REQUIRE(reply);
    CHECK(reply->m_sender == instance_id("entry-2"));
}

TEST_CASE("a peer that does not answer in time gives no reply, and the next "
          "call connects anew")
{
    std::atomic<bool> silent{true};
    auto const receiver = peer::make_transport(
        "127.0.0.1:7393",
        [&](peer::message request,
            std::function<void(peer::message)> const& reply)
        {
            if (!silent)
            {
                reply(std::move(request));
            }
        });
    auto const sender = peer::make_transport(
        "127.0.0.1:7394",
        [](peer::message const&, std::function<void(peer::message)> const&) {});
    CHECK_FALSE(call(*sender, "127.0.0.1:7393", make_reserve(), 100ms));
    silent = false;
    CHECK(call(*sender, "127.0.0.1:7393", make_reserve(), 2s));
}

TEST_CASE("a peer accepts connections again after it ran out of descriptors")
{
    // Guards against a port of which the process lives on but that nobody
    // reaches any more.
    auto const receiver = peer::make_transport(
        "127.0.0.1:7396", [](peer::message request,
                             std::function<void(peer::message)> const& reply)
        { reply(std::move(request)); });
    auto const sender = peer::make_transport(
        "127.0.0.1:7397",
        [](peer::message const&, std::function<void(peer::message)> const&) {});
    int const caller = ::socket(AF_INET, SOCK_STREAM, 0);
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    int const next = ::dup(caller);
    ::close(next);
    rlimit const low{static_cast<rlim_t>(next) + 8, limit.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &low);
    std::vector<int> taken;
    for (int copy = ::dup(caller); copy >= 0; copy = ::dup(caller))
    {
        taken.push_back(copy);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(7396);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK(::connect(caller, reinterpret_cast<sockaddr const*>(&address),
                    sizeof address) == 0);
    std::this_thread::sleep_for(200ms);
    for (int const copy : taken)
    {
        ::close(copy);
    }
    ::close(caller);
    ::setrlimit(RLIMIT_NOFILE, &limit);
    CHECK(call(*sender, "127.0.0.1:7396", make_reserve(), 2s));
}

TEST_CASE("a peer that is not running gives no reply")
{
    auto const sender = peer::make_transport(
        "127.0.0.1:7395",
        [](peer::message const&, std::function<void(peer::message)> const&) {});
    CHECK_FALSE(call(*sender, "127.0.0.1:7399", make_reserve(), 500ms));
}
