/** @file Tests of answers of the next upstream after a stream broke off. */
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
std::string const own = "Id: a1\r\nSeal: s\r\n";
std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";
std::string const stream_head = "HTTP/1.1 200 OK\r\n" + own +
                                "Content-Type: text/event-stream\r\n" + chunked;

std::string const last_chunk = "0\r\n\r\n";
std::string const rest_of_stream =
    stream_head + make_chunk(event_2) + last_chunk;
std::string const cut_stream = stream_head + make_chunk(event_1 + "id: 2\nda");

/** Upstreams of one request; each of them sends the next answer. */
std::string answer_of(std::vector<std::string> const& answers)
{
    serving::catalog catalog = make_open_catalog(400ms);
    for (serving::route& route : catalog.m_routes)
    {
        route.m_streaming = true;
        route.m_resumable = true;
        route.m_timeout = 2000ms;
        route.m_max_upstreams = static_cast<int>(answers.size());
    }
    std::atomic<std::size_t> next = 0;
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    std::vector<serving::upstream_record> records;
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        upstreams.push_back(std::make_unique<scripted_upstream>(
            [&](served_connection& connection)
            {
                if (!connection.read_request().empty() && next < answers.size())
                {
                    connection.write(answers[next++]);
                }
            }));
        records.push_back(make_upstream_record("u" + std::to_string(i),
                                               upstreams.back()->address()));
    }
    running_instance instance(catalog, records);
    std::string answer =
        instance.exchange("POST /again/x HTTP/1.1\r\nHost: h\r\nId: a1\r\n"
                          "Content-Length: 0\r\n\r\n");
    return answer.substr(std::min(answer.size(), answer.find("\r\n\r\n") + 4));
}

std::string with_length(std::string const& status, std::string const& fields,
                        std::string const& body)
{
    return "HTTP/1.1 " + status + "\r\n" + own + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::vector<std::pair<std::string, std::string>> const no_continuations = {
    {"500 with length", with_length("500 Oops", "", "broken")},
    {"500 until close", "HTTP/1.1 500 Oops\r\n" + own + "\r\nbroken"},
    {"500 chunked", "HTTP/1.1 500 Oops\r\n" + own + chunked +
                        make_chunk("broken") + last_chunk},
    {"500 like an event",
     with_length("500 Oops", "Content-Type: text/event-stream\r\n", event_2)},
    {"404 with length", with_length("404 Not Found", "", "broken")},
    {"404 until close", "HTTP/1.1 404 Not Found\r\n" + own + "\r\nbroken"},
    {"408", with_length("408 Request Timeout", "", "late")},
    {"redirect", with_length("302 Found", "Location: /y\r\n", "")},
    {"304", "HTTP/1.1 304 Not Modified\r\n" + own + "\r\n"},
    {"not run 503", with_length("503 Full", "Not-Run: 1\r\n", "full")},
    {"not run 429", with_length("429 Limit", "Not-Run: 1\r\n", "full")},
    {"without the seal", "HTTP/1.1 200 OK\r\nId: a1\r\n" + chunked +
                             make_chunk(event_2) + last_chunk},
    {"cut status line", "HTTP/1.1 20"},
    {"cut field", "HTTP/1.1 200 OK\r\nId: a1\r\nSe"},
    {"200 of another type",
     with_length("200 OK", "Content-Type: text/html\r\n", "<p>broken</p>\n\n")},
    {"200 without type, unfinished event", with_length("200 OK", "", "broken")},
    {"204", "HTTP/1.1 204 No Content\r\n" + own + "\r\n"},
    {"206", with_length("206 Partial Content",
                        "Content-Type: text/event-stream\r\n", event_2)},
    {"no event", stream_head + last_chunk},
    {"from the first id",
     stream_head + make_chunk(event_1 + event_2) + last_chunk},
    {"same id", stream_head + make_chunk(event_1) + last_chunk},
};

} // namespace

TEST_CASE("an answer that does not continue a broken stream stays out of it")
{
    for (auto const& [name, bytes] : no_continuations)
    {
        INFO(name);
        CHECK(answer_of({cut_stream, bytes}) == make_chunk(event_1));
    }
}

TEST_CASE("a broken stream goes on at a third upstream if the second fails")
{
    for (auto const& [name, bytes] : no_continuations)
    {
        INFO(name);
        CHECK(answer_of({cut_stream, bytes, rest_of_stream}) ==
              make_chunk(event_1) + make_chunk(event_2) + last_chunk);
    }
}
