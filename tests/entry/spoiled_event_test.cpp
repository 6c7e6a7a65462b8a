/** @file Tests of spoiled events and of requests that end by an exception. */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

std::string const event_1 = "id: 1\ndata: a\n\n";
std::string const event_2 = "id: 2\ndata: b\n\n";
std::string const last_chunk = "0\r\n\r\n";
std::string const stream_head =
    "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\nContent-Type: text/event-stream"
    "\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string const rest_of_stream =
    stream_head + make_chunk(event_2) + last_chunk;

/** @return an answer whose second event has the id. */
std::string spoiled_stream(std::string const& id)
{
    return stream_head + make_chunk(event_1 + "id: " + id + "\ndata: b\n\n");
}

std::string make_request(std::string const& fields = "")
{
    return "POST /again/x HTTP/1.1\r\nHost: h\r\nId: a1\r\n" + fields +
           "Content-Length: 0\r\n\r\n";
}

/** An upstream that sends the next answer to each request, and the record of
 *  service discovery for it. */
struct listed_upstream
{
    listed_upstream(std::string const& id, scripted_upstream::script run)
        : m_upstream(std::move(run)),
          m_record(make_upstream_record(id, m_upstream.address()))
    {
    }

    scripted_upstream m_upstream;
    serving::upstream_record m_record;
};

serving::catalog make_stream_catalog()
{
    serving::catalog catalog = make_open_catalog(400ms);
    for (serving::route& route : catalog.m_routes)
    {
        route.m_streaming = true;
        route.m_resumable = true;
        route.m_max_upstreams = 2;
    }
    return catalog;
}

} // namespace

TEST_CASE("a stream goes on at another upstream after an event with a bad id")
{
    // Guards against an id that no header field can hold: the request to the
    // next upstream names the last event.
    for (std::string const& id :
         {std::string(70000, 'x'), std::string(2000, '7'), std::string("\x01"),
          std::string("2\0", 2), std::string("2\x7f")})
    {
        std::vector<std::string> const answers = {spoiled_stream(id),
                                                  rest_of_stream};
        std::atomic<std::size_t> next = 0;
        auto const script = [&](served_connection& connection)
        {
            if (!connection.read_request().empty() && next < answers.size())
            {
                connection.write(answers[next++]);
            }
        };
        listed_upstream const first("u1", script);
        listed_upstream const second("u2", script);
        running_instance instance(make_stream_catalog(),
                                  {first.m_record, second.m_record});
        std::string const answer = instance.exchange(make_request());
        CAPTURE(id.size());
        CHECK(answer.substr(
                  std::min(answer.size(), answer.find("\r\n\r\n") + 4)) ==
              make_chunk(event_1) + make_chunk(event_2) + last_chunk);
    }
}

TEST_CASE("a request that ends by an exception gets an answer")
{
    // Guards against a caller that waits for an answer that never comes, and
    // whose close is told to an object that is gone.
    listed_upstream const upstream(
        "u1",
        [](served_connection& connection)
        {
            while (!connection.read_request().empty())
            {
                connection.write("HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
                                 "Content-Length: 2\r\n\r\nok");
            }
        });
    running_instance instance(make_open_catalog(400ms), {upstream.m_record});
    // More than the slots of the upstream, which must be free again.
    for (int i = 0; i < 20; ++i)
    {
        std::string const answer =
            instance.exchange(make_request("Throw: 1\r\n"), 1000ms);
        REQUIRE(answer.starts_with("HTTP/1.1 503"));
    }
    CHECK(instance.exchange(make_request()).starts_with("HTTP/1.1 200"));
}
