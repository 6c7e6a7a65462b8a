/** @file Tests of connections to upstreams that are used for several requests.
 */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

std::string make_request(std::string const& id)
{
    return "GET /again/x HTTP/1.1\r\nHost: h\r\nId: " + id +
           "\r\nConnection: close\r\n\r\n";
}

std::string make_answer(std::string const& id, std::size_t size)
{
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nSeal: s\r\nContent-Length: " + std::to_string(size) +
           "\r\n\r\n" + std::string(size, 'x');
}

} // namespace

TEST_CASE("a caller that leaves does not end the request of another one")
{
    // Guards against a caller that leaves while its answer is written: the
    // connection to the upstream has been given back and serves another one.
    std::atomic<bool> first = true;
    scripted_upstream upstream(
        [&first](served_connection& connection)
        {
            while (!connection.read_request().empty())
            {
                if (first.exchange(false))
                {
                    connection.write(make_answer("a1", 4190000));
                    continue;
                }
                std::this_thread::sleep_for(500ms);
                connection.write(make_answer("a2", 2));
            }
        });
    running_instance instance(make_open_catalog(400ms),
                              {make_upstream_record("u", upstream.address())});
    std::thread leaving(
        [&instance]
        { instance.send_and_half_close(make_request("a1"), 500ms, 600ms); });
    // The instance has read the whole answer by then, and cannot write it all.
    std::this_thread::sleep_for(300ms);
    std::string const answer = instance.exchange(make_request("a2"), 1500ms);
    leaving.join();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    // Both requests used one connection.
    CHECK(upstream.connections() == 1);
}
