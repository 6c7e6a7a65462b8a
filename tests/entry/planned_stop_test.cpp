/** @file Tests of requests that come while an instance stops. */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

#include <csignal>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

serving::catalog make_stop_catalog()
{
    serving::catalog catalog = make_open_catalog(400ms);
    for (serving::route& route : catalog.m_routes)
    {
        route.m_repeatable = false;
        route.m_max_upstreams = 1;
        route.m_timeout = 3000ms;
    }
    return catalog;
}

std::string make_request(std::string const& fields)
{
    return "POST /again/x HTTP/1.1\r\nHost: h\r\nId: a1\r\n" + fields +
           "Content-Length: 0\r\n\r\n";
}

} // namespace

TEST_CASE("a request that may outlast the grace time is refused during a stop")
{
    // Guards against a request that may run only once and is cut off without
    // an answer when the process ends.
    std::atomic<int> received = 0;
    scripted_upstream upstream(
        [&received](served_connection& connection)
        {
            if (!connection.read_request().empty())
            {
                ++received;
                std::this_thread::sleep_for(2500ms);
                connection.write("HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
                                 "Content-Length: 4\r\n\r\ndone");
            }
        });
    serving::upstream_record record;
    record.m_id = upstream_id("u1");
    record.m_service = service_id("s");
    record.m_address = upstream.address();
    record.m_zone = zone_id("a");
    record.m_slots = 10;
    running_instance instance(make_stop_catalog(), {record});
    instance.set_grace(3400ms);
    std::raise(SIGTERM);
    std::this_thread::sleep_for(1000ms);
    CHECK(instance.exchange(make_request(""), 3500ms)
              .starts_with("HTTP/1.1 503"));
    CHECK(received == 0);
}

TEST_CASE("a request that ends within the grace time is served during a stop")
{
    scripted_upstream upstream(
        [](served_connection& connection)
        {
            if (!connection.read_request().empty())
            {
                connection.write("HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
                                 "Content-Length: 4\r\n\r\ndone");
            }
        });
    serving::upstream_record record;
    record.m_id = upstream_id("u1");
    record.m_service = service_id("s");
    record.m_address = upstream.address();
    record.m_zone = zone_id("a");
    record.m_slots = 10;
    running_instance instance(make_stop_catalog(), {record});
    instance.set_grace(3400ms);
    std::raise(SIGTERM);
    std::this_thread::sleep_for(1000ms);
    CHECK(instance.exchange(make_request("Deadline-Ms: 800\r\n"), 1000ms)
              .starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request that arrives as idle connections are closed is answered")
{
    // Guards against a planned stop that drops a request which waits in the
    // socket while the thread of the instance is busy.
    scripted_upstream upstream([](served_connection&) {});
    serving::upstream_record record;
    record.m_id = upstream_id("u1");
    record.m_service = service_id("s");
    record.m_address = upstream.address();
    record.m_zone = zone_id("a");
    record.m_slots = 10;
    running_instance instance(make_stop_catalog(), {record});
    instance.set_grace(5000ms);
    std::raise(SIGTERM);
    // Idle connections are closed 2.4 s after the signal, in steps of 0.1 s.
    std::this_thread::sleep_for(2200ms);
    std::string const answer = instance.exchange_while_busy(
        make_request("Deadline-Ms: 500\r\n"), 400ms);
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 503"));
}
