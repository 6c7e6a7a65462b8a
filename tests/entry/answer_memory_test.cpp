/** @file Tests of the bound on what is held of the answers of upstreams. */
#include "stand_in.hpp"

#include <entry/http_connection.hpp>

#include <daisylead/entry/boot_time_func.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr std::size_t budget = 4 << 20;
constexpr std::size_t max_answer_size = 4 << 20;
constexpr int endless_answers = 12;

time_point now()
{
    return entry::boot_time();
}

/** Answers each request with a body of that size; 0: without end. */
scripted_upstream::script answer_with(std::size_t size)
{
    return [size](served_connection& connection)
    {
        if (connection.read_request().empty())
        {
            return;
        }
        std::string const chunk = make_chunk(std::string(16384, 'b'));
        bool open = connection.write("HTTP/1.1 500 Oops\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n");
        for (std::size_t sent = 0; open && (size == 0 || sent < size);
             sent += 16384)
        {
            open = connection.write(chunk);
        }
        if (open)
        {
            connection.write("0\r\n\r\n");
        }
    };
}

struct reading
{
    entry::io_result m_result = entry::io_result::timed_out;
    std::size_t m_size = 0;
    duration m_time{};
};

asio::awaitable<void> read(asio::io_context& context, std::string address,
                           std::shared_ptr<entry::answer_limiter> limiter,
                           reading& result)
{
    time_point const began = now();
    auto const connection = std::make_shared<entry::http_connection>(
        context.get_executor(),
        entry::http_route{std::move(address), "", upstream_id("u")});
    entry::answer_memory held(limiter, began + 10s,
                              [connection] { connection->abort(); });
    std::string body;
    if (co_await connection->connect(1s) == entry::connect_result::connected)
    {
        entry::request_header header;
        header.method(boost::beast::http::verb::get);
        header.target("/");
        connection->begin(std::move(header),
                          std::make_shared<std::string const>(), 10s);
        result.m_result = co_await connection->read_header();
        if (result.m_result == entry::io_result::ok)
        {
            result.m_result =
                co_await connection->read_rest(body, max_answer_size, &held);
        }
    }
    connection->abort();
    result.m_size = body.size();
    result.m_time = now() - began;
}

/** @return the most that was held while the context ran. */
std::size_t run(asio::io_context& context, entry::answer_limiter const& limiter)
{
    std::size_t most = 0;
    while (context.run_one() > 0)
    {
        most = std::max(most, limiter.used());
    }
    return most;
}

} // namespace

TEST_CASE("answers without end together stay within the budget")
{
    // Guards against the sum of many answers, each within its own bound: the
    // process passes the memory of its machine.
    asio::io_context context{1};
    telemetry::metrics metrics;
    auto const limiter = std::make_shared<entry::answer_limiter>(
        context.get_executor(), metrics, budget);
    scripted_upstream endless(answer_with(0));
    scripted_upstream sound(answer_with(40000));
    std::vector<reading> spoiled(endless_answers);
    std::vector<reading> small(8);
    for (reading& item : spoiled)
    {
        asio::co_spawn(context, read(context, endless.address(), limiter, item),
                       asio::detached);
    }
    for (reading& item : small)
    {
        asio::co_spawn(context, read(context, sound.address(), limiter, item),
                       asio::detached);
    }
    CHECK(run(context, *limiter) <= budget);
    CHECK(limiter->used() == 0);
    for (reading const& item : spoiled)
    {
        CHECK(item.m_result == entry::io_result::broken);
    }
    for (reading const& item : small)
    {
        CHECK(item.m_result == entry::io_result::ok);
        CHECK(item.m_time < 1s);
    }
}

TEST_CASE("large answers are read one after the other if need be")
{
    // Guards against a budget that refuses answers which fit when others end.
    asio::io_context context{1};
    telemetry::metrics metrics;
    auto const limiter = std::make_shared<entry::answer_limiter>(
        context.get_executor(), metrics, 2 * budget);
    scripted_upstream sound(answer_with(3 << 20));
    std::vector<reading> large(4);
    for (reading& item : large)
    {
        asio::co_spawn(context, read(context, sound.address(), limiter, item),
                       asio::detached);
    }
    CHECK(run(context, *limiter) <= 2 * budget);
    CHECK(std::count_if(large.begin(), large.end(),
                        [](reading const& item) {
                            return item.m_result == entry::io_result::ok;
                        }) >= 2);
}
