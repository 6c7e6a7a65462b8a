/** @file Tests of the calls of the store. */
#include "platform/documents_func.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace daisylead;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace
{

std::string make_answer(std::string const& status, std::string const& body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/** Reads a transaction: a header and a body of one line of JSON.
 *  @return whether one came */
bool read_transaction(tcp::socket& socket)
{
    boost::system::error_code failure;
    std::string text;
    asio::read_until(socket, asio::dynamic_buffer(text), "\"precondition\"",
                     failure);
    return !failure;
}

} // namespace

TEST_CASE("a lease is not taken as written by a copy of a former answer")
{
    // Guards against two holders of the lease: answers of the store have no id.
    using status = entry::lease_write::status;
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    std::string const address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::string const written = make_answer("200 OK", "{\"rowVersion\":1}");
    std::string const conflict = make_answer("412 No", "{}");
    std::thread store(
        [&]
        {
            boost::system::error_code failure;
            tcp::socket first = acceptor.accept();
            read_transaction(first);
            asio::write(first, asio::buffer(written), failure);
            if (read_transaction(first))
            {
                asio::write(first, asio::buffer(written + conflict), failure);
                return;
            }
            tcp::socket second = acceptor.accept();
            read_transaction(second);
            asio::write(second, asio::buffer(conflict), failure);
        });
    entry::http_caller caller(context.get_executor());
    platform::store_client client(
        caller,
        [&] {
            return platform::store_access{address, 1000ms};
        });
    std::vector<status> results;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            for (int i = 0; i < 2; ++i)
            {
                entry::lease_write const result =
                    co_await client.write_lease(0, instance_id("a"), 0ms);
                results.push_back(result.m_status);
            }
        },
        asio::detached);
    context.run();
    store.join();
    CHECK(results == std::vector<status>{status::written, status::conflict});
}

namespace
{

/** Takes a read of a table and answers it with a body that comes at a rate.
 *  @param bytes sent at most; the rest never comes */
void answer_slowly(tcp::socket& socket, std::string const& body,
                   double bytes_per_second, std::size_t bytes)
{
    boost::system::error_code failure;
    std::string text;
    asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", failure);
    std::string const answer = make_answer("200 OK", body);
    auto const began = std::chrono::steady_clock::now();
    constexpr std::size_t packet = 1460;
    for (std::size_t at = 0; at < std::min(answer.size(), bytes) && !failure;
         at += packet)
    {
        std::this_thread::sleep_until(
            began + std::chrono::duration_cast<std::chrono::microseconds>(
                        std::chrono::duration<double>(static_cast<double>(at) /
                                                      bytes_per_second)));
        asio::write(socket, asio::buffer(answer.substr(at, packet)), failure);
    }
    // Until the reader closes the connection.
    asio::read_until(socket, asio::dynamic_buffer(text), "never", failure);
}

struct slow_read
{
    std::optional<entry::document_read> m_read;
    std::chrono::steady_clock::duration m_elapsed{};
};

/** Reads the configuration from a store that answers as answer_slowly().
 *  @param silence how long the store may be silent */
slow_read read_slowly(std::string const& body, double bytes_per_second,
                      std::size_t bytes,
                      std::chrono::milliseconds silence = 400ms)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    std::string const address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::thread store(
        [&]
        {
            tcp::socket socket = acceptor.accept();
            answer_slowly(socket, body, bytes_per_second, bytes);
        });
    auto const began = std::chrono::steady_clock::now();
    slow_read result;
    {
        entry::http_caller caller(context.get_executor());
        platform::store_client client(
            caller,
            [&] {
                return platform::store_access{address, silence};
            });
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void>
            {
                result.m_read = co_await client.read_rules();
                result.m_elapsed = std::chrono::steady_clock::now() - began;
            },
            asio::detached);
        context.run();
    }
    store.join();
    return result;
}

/** @return rows of the operators with a configuration of about that size. */
std::string make_rows(std::size_t size)
{
    std::string const value =
        platform::encode_base64("{\"version\":1,\"routes\":[],\"services\":[],"
                                "\"note\":\"" +
                                std::string(size * 3 / 4, 'x') + "\"}");
    return "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\","
           "\"rowVersion\":1,\"value\":\"" +
           value + "\"}],\"rowVersion\":1,\"nowMs\":1,\"hasMore\":false}";
}

} // namespace

TEST_CASE(
    "a configuration is read whose answer takes longer than the store may "
    "be silent")
{
    // Guards against a time limit that is a limit on the size of the answer.
    std::string const body = make_rows(1'000'000);
    slow_read const result = read_slowly(body, 10e6 / 8, body.size() + 1000);
    CHECK(result.m_read);
}

TEST_CASE("a configuration is read that takes three times as long as the store "
          "may be silent")
{
    // Guards against a time limit that is a limit on the size of the answer.
    std::string const body = make_rows(1'000'000);
    slow_read const result =
        read_slowly(body, 2.5e6 / 8, body.size() + 1000, 1000ms);
    CHECK(result.m_read);
}

TEST_CASE("a store that falls silent within an answer is not waited for")
{
    std::string const body = make_rows(1'000'000);
    slow_read const result = read_slowly(body, 10e6 / 8, 200'000);
    CHECK_FALSE(result.m_read);
    CHECK(result.m_elapsed < 2s);
}
