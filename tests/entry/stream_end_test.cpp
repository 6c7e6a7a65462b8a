/** @file Tests of what shows that a stream has ended. */
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

enum class framing
{
    chunks,
    length,
    connection
};

/** @return a whole HTTP answer with that body. */
std::string make_answer(framing how, std::string const& body,
                        std::string const& type = "text/event-stream")
{
    std::string head = "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n";
    if (!type.empty())
    {
        head += "Content-Type: " + type + "\r\n";
    }
    switch (how)
    {
    case framing::chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n" +
               (body.empty() ? "" : make_chunk(body)) + last_chunk;
    case framing::length:
        return head + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    case framing::connection:
        break;
    }
    return head + "\r\n" + body;
}

/** What a caller got. */
struct received
{
    std::string m_status_line;
    std::string m_events;
    bool m_complete = false; ///< the last chunk came
};

received parse(std::string const& answer)
{
    received result;
    result.m_status_line = answer.substr(0, answer.find("\r\n"));
    std::size_t const head_end = answer.find("\r\n\r\n");
    bool const is_chunked =
        head_end != std::string::npos && answer.find("chunked") < head_end;
    std::size_t at = is_chunked ? head_end + 4 : answer.size();
    while (at < answer.size())
    {
        std::size_t const size = std::stoul(answer.substr(at), nullptr, 16);
        at = answer.find("\r\n", at) + 2;
        if (size == 0)
        {
            result.m_complete = true;
            break;
        }
        result.m_events += answer.substr(at, size);
        at += size + 2;
    }
    return result;
}

/** @return what the caller of a stream got from upstreams that send these
 *          answers, one each. */
std::string bytes_of(std::vector<std::string> const& answers,
                     std::string const& method, std::string const& fields)
{
    serving::catalog catalog = make_open_catalog(400ms);
    for (serving::route& route : catalog.m_routes)
    {
        route.m_streaming = true;
        route.m_resumable = answers.size() > 1;
        route.m_repeatable = route.m_resumable;
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
    return instance.exchange(
        method + " /again/x HTTP/1.1\r\nHost: h\r\nId: a1\r\n" + fields +
            "Connection: close\r\nContent-Length: 0\r\n\r\n",
        500ms);
}

/** @return the same, parsed. */
received stream_of(std::vector<std::string> const& answers,
                   std::string const& method = "POST",
                   std::string const& fields = "")
{
    return parse(bytes_of(answers, method, fields));
}

framing const framings[] = {framing::chunks, framing::length,
                            framing::connection};

/** Ends of a stream inside its second event, or inside a line. */
std::vector<std::string> const cut_ends = {"id: 2\ndata: b\n",
                                           "id: 2\ndata: b",
                                           "id: 2\nda",
                                           "i",
                                           "id: 2\r\ndata: b\r\n",
                                           "id: 2\rdata: b\r",
                                           "data: b\n: comment\n",
                                           ": comm"};

/** Ends of a stream after its last event. */
std::vector<std::string> const whole_ends = {"",
                                             "\n",
                                             "\r\n",
                                             "\r",
                                             ": comment\n",
                                             ": comment\r\n",
                                             ": comment\r",
                                             ": comment\n\n",
                                             "id: 2\r\ndata: b\r\n\r\n",
                                             "id: 2\rdata: b\r\r"};

} // namespace

TEST_CASE("a stream whose framing ends inside an event is not complete")
{
    // Guards against an upstream that stops in an event and ends its chunks or
    // reaches its length: the caller took what came for the whole stream.
    for (framing const how : framings)
    {
        for (std::string const& end : cut_ends)
        {
            CAPTURE(static_cast<int>(how), end);
            received const got = stream_of({make_answer(how, event_1 + end)});
            CHECK(got.m_events == event_1);
            CHECK_FALSE(got.m_complete);
        }
    }
}

TEST_CASE("a stream whose framing ends inside an event goes on")
{
    // Guards against the same at an upstream whose stream may be resumed.
    for (framing const how : framings)
    {
        for (std::string const& end : cut_ends)
        {
            CAPTURE(static_cast<int>(how), end);
            received const got =
                stream_of({make_answer(how, event_1 + end),
                           make_answer(framing::chunks, event_2)});
            CHECK(got.m_events == event_1 + event_2);
            CHECK(got.m_complete);
        }
    }
}

TEST_CASE("a resumed stream whose framing ends inside an event is not complete")
{
    std::string const cut = event_1 + "id: 2\nda";
    for (framing const how : framings)
    {
        CAPTURE(static_cast<int>(how));
        received const got = stream_of({make_answer(framing::chunks, cut),
                                        make_answer(how, "id: 2\ndata: b\n")});
        CHECK(got.m_events == event_1);
        CHECK_FALSE(got.m_complete);
    }
}

TEST_CASE("a stream that ends after an event is complete")
{
    // Guards against a sound stream that is broken off for its line ends or
    // for a comment at its end.
    for (framing const how : framings)
    {
        for (std::string const& end : whole_ends)
        {
            CAPTURE(static_cast<int>(how), end);
            received const got = stream_of({make_answer(how, event_1 + end)});
            CHECK(got.m_events == event_1 + end);
            CHECK(got.m_complete);
        }
    }
}

TEST_CASE("a stream without an event is no success")
{
    // Guards against an upstream that ends before its first event.
    for (framing const how : framings)
    {
        for (char const* const body : {"", "\n", ": comment\n\n"})
        {
            CAPTURE(static_cast<int>(how), body);
            std::string const answer = make_answer(how, body);
            received const got = stream_of({answer});
            CHECK_FALSE(got.m_complete);
            received const next =
                stream_of({answer, make_answer(framing::chunks, event_1)});
            CHECK(next.m_events.ends_with(event_1));
            CHECK(next.m_complete);
        }
    }
    CHECK(stream_of({make_answer(framing::length, "")}, "HEAD").m_status_line ==
          "HTTP/1.1 200 OK");
}

TEST_CASE("an answer that has no body is not sent in chunks")
{
    // Guards against bytes after the end of an answer on a streaming route.
    std::string const head = make_answer(framing::chunks, "");
    std::string const no_content =
        "HTTP/1.1 204 No Content\r\nId: a1\r\nSeal: s\r\n\r\n";
    for (std::string const& got :
         {bytes_of({head.substr(0, head.find("\r\n\r\n") + 4)}, "HEAD", ""),
          bytes_of({no_content}, "POST", "")})
    {
        CAPTURE(got);
        CHECK(got.starts_with("HTTP/1.1 20"));
        CHECK(got.find("\r\n\r\n") + 4 == got.size());
        CHECK(got.find("chunked") == std::string::npos);
    }
}

TEST_CASE("a stream that its caller resumes may have no event left")
{
    // Guards against a caller that lost only the end of a stream and never
    // gets it.
    for (framing const how : framings)
    {
        CAPTURE(static_cast<int>(how));
        received const got =
            stream_of({make_answer(how, "")}, "POST", "Last-Event-Id: 7\r\n");
        CHECK(got.m_status_line == "HTTP/1.1 200 OK");
        CHECK(got.m_events.empty());
        CHECK(got.m_complete);
    }
}

TEST_CASE("an answer of another type to a stream request ends by its framing")
{
    // Guards against taking a body that holds no events for a cut stream.
    for (framing const how : {framing::chunks, framing::length})
    {
        received const got =
            stream_of({make_answer(how, "{\"a\":1}", "application/json")});
        CHECK(got.m_events == "{\"a\":1}");
        CHECK(got.m_complete);
    }
}
