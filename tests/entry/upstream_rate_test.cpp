/** @file Tests of request rate limits that upstreams state in answers. */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

using steady = std::chrono::steady_clock;

constexpr auto load_time = 5s;
constexpr auto window = 4s;

/** Time in which an instance must act on a limit that it passed on. */
constexpr auto reaction_time = 500ms;

/** @return max. requests in a window of 4 s at an upstream with a limit. */
std::size_t max_in_window(double per_second)
{
    return static_cast<std::size_t>(1.5 * 4 * per_second + 5);
}

serving::catalog make_catalog()
{
    return make_open_catalog(8000ms);
}

/** An upstream that answers each request and notes when it came. */
class limited_upstream
{
public:
    /** @param per_second limit to state; 0: none */
    explicit limited_upstream(double per_second)
        : m_per_second(per_second),
          m_server([this](served_connection& connection) { serve(connection); })
    {
    }

    void set_limit(double per_second)
    {
        m_per_second = per_second;
    }

    serving::upstream_record record(char const* id) const
    {
        return make_upstream_record(id, m_server.address());
    }

    /** @return most requests in a window that began after @p from. */
    std::size_t most_in_window(steady::time_point from)
    {
        std::lock_guard const lock(m_mutex);
        std::size_t most = 0;
        for (auto first =
                 std::lower_bound(m_times.begin(), m_times.end(), from);
             first != m_times.end(); ++first)
        {
            auto const last =
                std::lower_bound(first, m_times.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    /** @return requests since @p from. */
    std::size_t count_since(steady::time_point from)
    {
        std::lock_guard const lock(m_mutex);
        return static_cast<std::size_t>(
            m_times.end() -
            std::lower_bound(m_times.begin(), m_times.end(), from));
    }

private:
    void serve(served_connection& connection)
    {
        while (!connection.read_request().empty())
        {
            {
                std::lock_guard const lock(m_mutex);
                m_times.push_back(steady::now());
            }
            double const rate = m_per_second;
            connection.write(
                "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n" +
                (rate > 0 ? "Rate-Limit: " + std::to_string(rate) + "\r\n"
                          : std::string()) +
                "Content-Length: 2\r\n\r\nok");
        }
    }

    std::atomic<double> m_per_second;
    std::mutex m_mutex;
    std::vector<steady::time_point> m_times; ///< in order, guarded by m_mutex
    scripted_upstream m_server;
};

std::string answer_of(running_instance& instance)
{
    return instance.exchange("GET /again/x HTTP/1.1\r\nHost: h\r\nId: a1\r\n"
                             "Connection: close\r\n\r\n",
                             3s);
}

/** Sends requests one after the other until @p end.
 *  @return number of answers other than 200 */
int send_requests(running_instance& instance, steady::time_point end)
{
    int others = 0;
    while (steady::now() < end)
    {
        others += answer_of(instance).rfind("HTTP/1.1 200", 0) == 0 ? 0 : 1;
        std::this_thread::sleep_for(10ms);
    }
    return others;
}

/** Instances that exchange news. */
struct test_fleet
{
    peer_network m_network;
    std::vector<std::unique_ptr<running_instance>> m_instances;
};

std::unique_ptr<test_fleet>
make_fleet(int size, std::vector<serving::upstream_record> const& upstreams)
{
    auto fleet = std::make_unique<test_fleet>();
    for (int number = 1; number <= size; ++number)
    {
        fleet->m_instances.push_back(std::make_unique<running_instance>(
            make_catalog(), upstreams, fleet->m_network, number));
    }
    return fleet;
}

/** Sends requests to all instances until @p end.
 *  @return number of answers other than 200 */
int load_fleet(std::unique_ptr<test_fleet> const& fleet, steady::time_point end)
{
    std::atomic<int> others = 0;
    std::vector<std::thread> callers;
    for (auto const& instance : fleet->m_instances)
    {
        callers.emplace_back([&others, end, item = instance.get()]
                             { others += send_requests(*item, end); });
    }
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    return others;
}

} // namespace

TEST_CASE("one instance keeps to the request rate of an upstream")
{
    // Guards against a limit that is not read from the answer.
    limited_upstream limited(2);
    limited_upstream other(0);
    running_instance instance(make_catalog(),
                              {limited.record("u1"), other.record("u2")});
    auto const began = steady::now();
    CHECK(send_requests(instance, began + load_time) == 0);
    CHECK(limited.most_in_window(began + reaction_time) <= max_in_window(2));
    CHECK(limited.count_since(began) > 0);
}

TEST_CASE("instances together keep to the request rate of an upstream")
{
    // Guards against instances that each use the whole limit.
    limited_upstream limited(2);
    limited_upstream other(0);
    auto const fleet =
        make_fleet(6, {limited.record("u1"), other.record("u2")});
    auto const began = steady::now();
    CHECK(load_fleet(fleet, began + load_time) == 0);
    CHECK(limited.most_in_window(began + reaction_time) <= max_in_window(2));
    CHECK(limited.count_since(began + reaction_time) > 0);
}

TEST_CASE("instances behind relays share the request rate of an upstream")
{
    // Guards against shares that only relays have, and against relays that
    // grant the same share twice.
    constexpr double rate = 8;
    limited_upstream limited(rate);
    limited_upstream other(0);
    auto const fleet =
        make_fleet(26, {limited.record("u1"), other.record("u2")});
    auto const began = steady::now();
    CHECK(load_fleet(fleet, began + load_time) == 0);
    CHECK(limited.most_in_window(began + reaction_time) <= max_in_window(rate));
    CHECK(limited.count_since(began + load_time - window) >= 0.5 * rate * 4);
}

TEST_CASE("requests come back when an upstream states no request rate any more")
{
    limited_upstream limited(1);
    limited_upstream other(0);
    auto const fleet =
        make_fleet(3, {limited.record("u1"), other.record("u2")});
    load_fleet(fleet, steady::now() + 1s);
    limited.set_limit(0);
    load_fleet(fleet, steady::now() + 3s);
    auto const ended = steady::now();
    CHECK(load_fleet(fleet, ended + 1s) == 0);
    CHECK(limited.count_since(ended) > 50);
}

TEST_CASE("a request beyond the rate of the only upstream is refused at once")
{
    limited_upstream limited(0.5);
    running_instance instance(make_catalog(), {limited.record("u1")});
    CHECK(answer_of(instance).rfind("HTTP/1.1 200", 0) == 0);
    auto const asked = steady::now();
    std::string const answer = answer_of(instance);
    // Requests may be held for an eighth of the target latency.
    CHECK(steady::now() - asked < 700ms);
    CHECK(answer.rfind("HTTP/1.1 503", 0) == 0);
    INFO(answer);
    std::string const field = "Retry-After: ";
    REQUIRE(answer.find(field) != std::string::npos);
    double const seconds =
        std::stod(answer.substr(answer.find(field) + field.size()));
    CHECK(seconds > 1.9);
    CHECK(seconds <= 2.0);
    CHECK(answer.find("rate_limited") != std::string::npos);
}
