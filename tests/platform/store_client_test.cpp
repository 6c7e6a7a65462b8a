/** @file Tests of the calls of the store. */
#include "platform/store_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

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
