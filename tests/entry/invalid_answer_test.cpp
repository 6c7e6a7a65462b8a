/** @file Tests of bytes that are no answer, wherever answers are read. */
#include "../base/answer_samples.hpp"
#include "stand_in.hpp"

#include <entry/http_connection.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

std::string const own = "Id: a1\r\nSeal: s\r\n";

std::string send(running_instance& instance)
{
    return instance.exchange("POST /again/x HTTP/1.1\r\nHost: h\r\nId: a1\r\n"
                             "Connection: close\r\nContent-Length: 0\r\n\r\n",
                             1000ms);
}

/** The same heads with a stream of events as their body. */
std::vector<test::invalid_head> invalid_streams()
{
    std::vector<test::invalid_head> heads = test::invalid_heads();
    for (test::invalid_head& head : heads)
    {
        std::string const event = "id: 1\ndata: a\n\n";
        std::size_t const at = head.m_body.find("3\r\nabc\r\n");
        if (at == 0)
        {
            head.m_body.replace(0, 8, make_chunk(event));
        }
        else if (head.m_framing == "Content-Length: 3")
        {
            head.m_framing = "Transfer-Encoding: chunked";
            head.m_body = make_chunk(event) + "0\r\n\r\n";
        }
    }
    return heads;
}

} // namespace

TEST_CASE("bytes that are no answer never reach a caller as one")
{
    // Guards against statuses and field names that no answer may have, also if
    // the library that parses answers lets them pass.
    next_answer bytes;
    scripted_upstream upstream(bytes.script());
    serving::catalog catalog = make_open_catalog(400ms);
    catalog.m_routes.front().m_repeatable = false;
    catalog.m_routes.front().m_max_upstreams = 1;
    running_instance instance(catalog,
                              {make_upstream_record("u1", upstream.address())});
    for (test::invalid_head const& head : test::invalid_heads())
    {
        CAPTURE(head.m_name);
        bytes.set(make_bytes(head, own));
        CHECK(send(instance).starts_with("HTTP/1.1 502"));
    }
}

TEST_CASE("bytes that are no answer never reach the caller of a stream as one")
{
    next_answer bytes;
    scripted_upstream upstream(bytes.script());
    serving::catalog catalog = make_open_catalog(400ms);
    catalog.m_routes.front().m_streaming = true;
    catalog.m_routes.front().m_repeatable = false;
    catalog.m_routes.front().m_max_upstreams = 1;
    running_instance instance(catalog,
                              {make_upstream_record("u1", upstream.address())});
    for (test::invalid_head const& head : invalid_streams())
    {
        CAPTURE(head.m_name);
        bytes.set(
            make_bytes(head, own + "Content-Type: text/event-stream\r\n"));
        std::string const answer = send(instance);
        CHECK_FALSE(answer.empty());
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    }
}

TEST_CASE("bytes that are no answer are none of the store")
{
    next_answer bytes;
    scripted_upstream store(bytes.script());
    for (test::invalid_head const& head : test::invalid_heads())
    {
        CAPTURE(head.m_name);
        bytes.set(make_bytes(head, ""));
        CHECK_FALSE(call_store(store.address()));
    }
}

TEST_CASE("bytes that are no answer to CONNECT open no tunnel")
{
    next_answer bytes;
    scripted_upstream peer(bytes.script());
    for (test::invalid_head head : test::invalid_heads())
    {
        // What follows the head comes from the upstream.
        if (head.m_name.starts_with("trailer"))
        {
            continue;
        }
        head.m_body.clear();
        CAPTURE(head.m_name);
        bytes.set(make_bytes(head, ""));
        boost::asio::io_context context;
        auto const connection = std::make_shared<entry::http_connection>(
            context.get_executor(),
            entry::http_route{"127.0.0.1:1", peer.address(),
                              upstream_id("u1")});
        std::optional<entry::connect_result> result;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void>
            { result = co_await connection->connect(1s); },
            boost::asio::detached);
        context.run();
        CHECK(result == entry::connect_result::no_tunnel);
    }
}
