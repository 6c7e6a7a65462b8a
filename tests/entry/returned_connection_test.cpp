/** @file Tests of connections to upstreams that are used for several requests.
 */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <semaphore>
#include <thread>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

/** Longest wait for an event that the test needs. */
constexpr auto event_timeout = 5s;

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
    std::counting_semaphore<8> second_request(0);
    std::counting_semaphore<8> caller_left(0);
    std::atomic<int> most_requests = 0; ///< on one connection
    scripted_upstream upstream(
        [&](served_connection& connection)
        {
            for (int requests = 1; !connection.read_request().empty();
                 ++requests)
            {
                most_requests = std::max(most_requests.load(), requests);
                if (first.exchange(false))
                {
                    connection.write(make_answer("a1", 4190000));
                    continue;
                }
                second_request.release();
                (void)caller_left.try_acquire_for(event_timeout);
                // Time in which the instance notices that the caller left.
                std::this_thread::sleep_for(200ms);
                connection.write(make_answer("a2", 2));
            }
        });
    running_instance instance(make_open_catalog(400ms),
                              {make_upstream_record("u", upstream.address())});
    stalled_caller const leaving(instance.caller_address(), make_request("a1"));
    // The instance has read the whole answer when it writes the first bytes of
    // it, and cannot write all.
    REQUIRE(leaving.wait_for_answer(event_timeout));
    std::future<std::string> answer = std::async(
        std::launch::async,
        [&] { return instance.exchange(make_request("a2"), event_timeout); });
    CHECK(second_request.try_acquire_for(event_timeout));
    leaving.end_sending();
    caller_left.release();
    CHECK(answer.get().starts_with("HTTP/1.1 200"));
    // Both requests used one connection. The silence detector may have opened
    // another one, without a request.
    CHECK(most_requests == 2);
}
