/** @file Tests of answers whose header ends in its middle. */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

std::string const body = "id: 1\ndata: a\n\n";

/** Headers of complete answers, with and without a length. */
std::vector<std::string> const headers = {
    "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\nContent-Type: text/event-stream"
    "\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\nContent-Type: text/event-stream"
    "\r\nTransfer-Encoding: chunked\r\n\r\n"};

/** @return the parts of a header that may be all that comes: each third one,
 *          and each of the last ones. */
std::vector<std::string> cut_parts(std::string const& header)
{
    std::vector<std::string> parts;
    for (std::size_t size = 0; size < header.size(); ++size)
    {
        if (size % 3 == 0 || size + 8 > header.size())
        {
            parts.push_back(header.substr(0, size));
        }
    }
    return parts;
}

} // namespace

TEST_CASE("an answer whose header is cut never reaches a caller as a success")
{
    bool const streaming = GENERATE(false, true);
    bool const repeatable = GENERATE(false, true);
    CAPTURE(streaming, repeatable);
    serving::catalog catalog = make_open_catalog(400ms);
    for (serving::route& route : catalog.m_routes)
    {
        route.m_streaming = streaming;
        route.m_resumable = streaming && repeatable;
        route.m_repeatable = repeatable;
        route.m_max_upstreams = 2;
    }
    next_answer bytes;
    scripted_upstream upstream(bytes.script());
    serving::upstream_record record;
    record.m_id = upstream_id("u1");
    record.m_service = service_id("s");
    record.m_address = upstream.address();
    record.m_zone = zone_id("a");
    record.m_slots = 10;
    running_instance instance(catalog, {record});
    for (std::string const& header : headers)
    {
        for (std::string const& part : cut_parts(header))
        {
            CAPTURE(part);
            bytes.set(part);
            std::string const answer = instance.exchange(
                "POST /again/x HTTP/1.1\r\nHost: h\r\nId: a1\r\n"
                "Connection: close\r\nContent-Length: 0\r\n\r\n",
                300ms);
            CHECK(answer.starts_with("HTTP/1.1 5"));
        }
    }
}

TEST_CASE("an answer of the store whose header is cut is none")
{
    next_answer bytes;
    scripted_upstream store(bytes.script());
    for (std::string const& header : headers)
    {
        for (std::string const& part : cut_parts(header))
        {
            CAPTURE(part);
            bytes.set(part);
            CHECK_FALSE(call_store(store.address()));
        }
    }
}
