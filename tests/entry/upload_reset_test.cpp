/** @file Tests of upstreams that answer while a long request is written. */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

/** More than the buffers of a connection hold, bytes. */
constexpr std::size_t upload_size = 4000000;

/** Runs of each case: which side notices a reset first varies. */
constexpr int runs = 8;

std::string const head = "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n";
std::string const stream =
    "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";

/** What an upstream does after the first bytes of a request. */
struct early_answer
{
    std::string m_name;
    std::size_t m_read;                ///< bytes of the request that are read
    std::chrono::milliseconds m_delay; ///< between answer and reset
};

std::vector<early_answer> const early_answers = {
    {"reset at once", 1, 0ms},
    {"reset after 30 ms", 1, 30ms},
    {"reset after 300 ms", 1, 300ms},
    {"reset after some of the body", 200000, 0ms},
    {"reset after some of the body and 30 ms", 200000, 30ms},
};

scripted_upstream::script answer_and_reset(early_answer const& how,
                                           std::string const& answer)
{
    return [how, answer](served_connection& connection)
    {
        if (connection.read_bytes(how.m_read))
        {
            connection.write(answer);
            std::this_thread::sleep_for(how.m_delay);
            connection.reset();
        }
    };
}

serving::catalog make_catalog(bool streaming)
{
    serving::catalog catalog = make_open_catalog(400ms);
    for (serving::route& route : catalog.m_routes)
    {
        route.m_streaming = streaming;
        route.m_repeatable = false;
        route.m_max_upstreams = 1;
    }
    return catalog;
}

std::string make_upload()
{
    return "POST /again/x HTTP/1.1\r\nHost: h\r\nId: a1\r\n"
           "Connection: close\r\nContent-Length: " +
           std::to_string(upload_size) + "\r\n\r\n" +
           std::string(upload_size, 'u');
}

} // namespace

TEST_CASE("an answer that is reset behind an upload is not complete")
{
    // Guards against a reset that the write of the request takes, so that the
    // read of an answer without a length sees a plain end.
    for (early_answer const& how : early_answers)
    {
        INFO(how.m_name);
        scripted_upstream upstream(
            answer_and_reset(how, head + "\r\n" + std::string(3000, 'b')));
        running_instance instance(
            make_catalog(false),
            {make_upstream_record("u1", upstream.address())});
        for (int i = 0; i < runs; ++i)
        {
            std::string const answer = instance.exchange(make_upload(), 1000ms);
            CHECK(answer.starts_with("HTTP/1.1 502"));
        }
    }
}

TEST_CASE("a stream that is reset behind an upload is not complete")
{
    // Guards against the same with a stream, which begins before its end.
    for (early_answer const& how : early_answers)
    {
        INFO(how.m_name);
        scripted_upstream upstream(answer_and_reset(how, stream));
        running_instance instance(
            make_catalog(true),
            {make_upstream_record("u1", upstream.address())});
        for (int i = 0; i < runs; ++i)
        {
            std::string const answer = instance.exchange(make_upload(), 1000ms);
            CHECK_FALSE(answer.empty());
            CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
        }
    }
}

TEST_CASE("an answer of the store that is reset behind an upload is none")
{
    for (early_answer const& how : early_answers)
    {
        INFO(how.m_name);
        scripted_upstream store(
            answer_and_reset(how, "HTTP/1.1 200 OK\r\n\r\n{}"));
        for (int i = 0; i < runs; ++i)
        {
            CHECK_FALSE(
                call_store(store.address(), std::string(upload_size, 'u')));
        }
    }
}

TEST_CASE("an answer that ends before its upload was read is complete")
{
    // Guards against throwing away the answer of an upstream that reads no
    // more of the request and ends its side of the connection.
    bool const closes = GENERATE(false, true);
    CAPTURE(closes);
    scripted_upstream upstream(
        [closes](served_connection& connection)
        {
            if (connection.read_bytes(1))
            {
                connection.write(head + "\r\n" + std::string(3000, 'b'));
                connection.end_sending();
                if (!closes)
                {
                    connection.read_bytes(2 * upload_size);
                }
                // Bytes that come now make it a reset, behind the end.
            }
        });
    running_instance instance(make_catalog(false),
                              {make_upstream_record("u1", upstream.address())});
    for (int i = 0; i < runs; ++i)
    {
        std::string const answer = instance.exchange(make_upload(), 1000ms);
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.ends_with(std::string(3000, 'b')));
    }
}
