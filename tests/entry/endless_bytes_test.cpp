/** @file Tests of bytes without end that are no HTTP message. */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

/** More than an instance may hold of what it cannot parse, bytes. */
constexpr std::size_t endless_size = 8 << 20;

std::string const head = "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n";
std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";

/** The start of an answer, and what is repeated after it. */
struct endless_answer
{
    std::string m_name;
    std::string m_start;
    std::string m_unit;
};

std::vector<endless_answer> const endless_answers = {
    {"chunk size", head + chunked, "x"},
    {"digits of a chunk size", head + chunked, "1"},
    {"chunk extension", head + chunked + "1;x=", "y"},
    {"trailer", head + chunked + "0\r\nA: ", "z"},
    {"status line", "HTTP/1.1 200 ", "s"},
    {"header field", head + "A: ", "a"},
    {"header fields", head, "A: b\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"body", head + chunked, "1000\r\n" + std::string(4096, 'b') + "\r\n"},
    {"body until close", head + "\r\n", "body"},
};

std::string repeat(std::string const& unit, std::size_t size)
{
    std::string text;
    while (text.size() < size)
    {
        text += unit;
    }
    return text;
}

serving::upstream_record make_record(scripted_upstream const& upstream)
{
    return make_upstream_record("u", upstream.address());
}

} // namespace

TEST_CASE("an answer of bytes without end is given up long before its deadline")
{
    // Guards against an instance that keeps such bytes until its memory is
    // used up: it closes the connection instead of reading them.
    for (endless_answer const& item : endless_answers)
    {
        INFO(item.m_name);
        std::atomic<bool> closed = false;
        scripted_upstream upstream(
            [&](served_connection& connection)
            {
                if (!connection.read_request().empty())
                {
                    closed =
                        !connection.write(item.m_start +
                                          repeat(item.m_unit, endless_size)) ||
                        connection.wait_for_close(1000ms);
                }
            });
        running_instance instance(make_open_catalog(400ms),
                                  {make_record(upstream)});
        std::string const answer =
            instance.exchange("POST /again/x HTTP/1.1\r\nHost: h\r\nId: a1\r\n"
                              "Connection: close\r\nContent-Length: 0\r\n\r\n",
                              1900ms);
        CHECK(answer.starts_with("HTTP/1.1 502"));
        // The upstream notices the close a little later than the caller.
        for (int i = 0; i < 100 && !closed; ++i)
        {
            std::this_thread::sleep_for(10ms);
        }
        CHECK(closed);
    }
}

TEST_CASE("a request of bytes without end is rejected")
{
    // Guards against the same from callers: chunk framing without a line end.
    scripted_upstream upstream([](served_connection& connection)
                               { connection.read_request(); });
    running_instance instance(make_open_catalog(400ms),
                              {make_record(upstream)});
    std::string const start =
        "POST /again/x HTTP/1.1\r\nHost: h\r\nId: a1\r\n" + chunked;
    for (std::string const& bytes :
         {start + std::string(endless_size, 'x'),
          start + "1;x=" + std::string(endless_size, 'y'),
          start + "0\r\nA: " + std::string(endless_size, 'z')})
    {
        CHECK(instance.exchange(bytes, 1900ms).starts_with("HTTP/1.1 400"));
    }
    CHECK(upstream.connections() == 0);
}
