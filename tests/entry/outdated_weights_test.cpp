/** @file Tests of requests and rollouts while engines have old weights. */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

using steady = std::chrono::steady_clock;

model_id const model("m");
constexpr std::int64_t old_version = 1;
constexpr std::int64_t new_version = 2;

/** @return a configuration that names new weights, with a route for prompts
 *          below "/prompt/" that may be retried. */
serving::catalog make_catalog()
{
    serving::catalog catalog = make_open_catalog(5s);
    serving::route& route = catalog.m_routes.front();
    route.m_prefix = "/prompt/";
    route.m_prompted = true;
    route.m_timeout = 8s;
    catalog.m_services.front().m_engine = true;
    catalog.m_services.front().m_models = {model};
    catalog.m_weights = {{model, new_version}};
    return catalog;
}

serving::upstream_record make_engine(std::string const& id,
                                     std::string const& address,
                                     std::int64_t version)
{
    serving::upstream_record record = make_upstream_record(id, address);
    record.m_weights = {{model, version}};
    return record;
}

/** Engines that leave the first orders that each gets without an answer and
 *  never carry them out. */
class engines_that_lose_orders
{
public:
    engines_that_lose_orders(int count, int lost_orders)
        : m_lost_orders(lost_orders)
    {
        for (int i = 0; i < count; ++i)
        {
            m_engines[upstream_id("e" + std::to_string(i))];
        }
    }

    std::vector<serving::upstream_record> records() const
    {
        std::vector<serving::upstream_record> list;
        list.reserve(m_engines.size());
        for (auto const& [id, engine] : m_engines)
        {
            list.push_back(make_engine(id.value(), "127.0.0.1:1", old_version));
        }
        return list;
    }

    engine_control control()
    {
        return {[this](upstream_id const& id) { return report(id); },
                [this](entry::load_order const& order)
                {
                    return take_order(order);
                }};
    }

    /** Waits until all engines have the new weights.
     *  @return whether they had within @p timeout */
    bool wait_until_loaded(std::chrono::milliseconds timeout)
    {
        steady::time_point const until = steady::now() + timeout;
        while (!all_loaded())
        {
            if (steady::now() > until)
            {
                return false;
            }
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }

private:
    struct engine
    {
        int m_orders = 0;
        std::uint64_t m_accepted = 0;
    };

    std::optional<entry::engine_report> report(upstream_id const& id)
    {
        std::lock_guard const lock(m_mutex);
        std::uint64_t const accepted = m_engines.at(id).m_accepted;
        return entry::engine_report{
            accepted,
            false,
            {{model, accepted > 0 ? new_version : old_version}}};
    }

    entry::order_outcome take_order(entry::load_order const& order)
    {
        std::lock_guard const lock(m_mutex);
        engine& target = m_engines.at(order.m_upstream);
        if (++target.m_orders <= m_lost_orders)
        {
            return entry::order_outcome::unknown;
        }
        if (order.m_expected_orders != target.m_accepted)
        {
            return entry::order_outcome::refused;
        }
        ++target.m_accepted;
        return entry::order_outcome::accepted;
    }

    bool all_loaded()
    {
        std::lock_guard const lock(m_mutex);
        return std::all_of(m_engines.begin(), m_engines.end(),
                           [](auto const& entry)
                           { return entry.second.m_accepted > 0; });
    }

    int m_lost_orders;
    std::mutex m_mutex;
    std::map<upstream_id, engine> m_engines; ///< guarded by m_mutex
};

} // namespace

TEST_CASE("orders without an answer do not hold up the rollout of weights")
{
    engines_that_lose_orders engines(6, 2);
    running_instance const instance(make_catalog(), engines.records(),
                                    engines.control());
    CHECK(engines.wait_until_loaded(8s));
}

TEST_CASE("a request that has not begun when the weights of its engine expire "
          "is sent to another engine")
{
    // A process that has just started assumes that the weights are 6 s old.
    std::atomic<bool> closed = false;
    scripted_upstream outdated(
        [&closed](served_connection& connection)
        {
            connection.read_request();
            closed = connection.wait_for_close(4s);
        });
    scripted_upstream loaded(
        [](served_connection& connection)
        {
            while (!connection.read_request().empty())
            {
                std::this_thread::sleep_for(400ms);
                connection.write("HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
                                 "Content-Length: 2\r\n\r\nok");
            }
        });
    std::vector<serving::upstream_record> engines = {
        make_engine("e1", outdated.address(), old_version),
        make_engine("e2", loaded.address(), new_version)};
    engines[1].m_slots = 1;
    running_instance instance(make_catalog(), engines);
    std::string const request =
        "GET /prompt/x HTTP/1.1\r\nHost: h\r\nId: a1\r\nModel: m\r\n"
        "Connection: close\r\n\r\n";
    // The first request takes the only slot of the engine with new weights, so
    // the second one goes to the other engine.
    std::thread first([&] { instance.exchange(request, 2s); });
    std::this_thread::sleep_for(100ms);
    std::string const answer = instance.exchange(request, 4s);
    first.join();
    CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
    CHECK(closed);
}

TEST_CASE("a request that may run only once is not ended because newer weights "
          "were named while it ran")
{
    // Guards against a long answer whose first bytes come at its end being
    // taken for a request that has not begun.
    scripted_upstream engine(
        [](served_connection& connection)
        {
            if (!connection.read_request().empty())
            {
                std::this_thread::sleep_for(8500ms);
                connection.write("HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
                                 "Content-Length: 2\r\n\r\nok");
            }
        });
    serving::catalog catalog = make_catalog();
    catalog.m_weights = {{model, old_version}};
    catalog.m_routes.front().m_repeatable = false;
    catalog.m_routes.front().m_timeout = 15s;
    running_instance instance(
        catalog, {make_engine("e1", engine.address(), old_version)});
    std::string answer;
    std::thread caller(
        [&]
        {
            answer = instance.exchange(
                "GET /prompt/x HTTP/1.1\r\nHost: h\r\nId: a1\r\nModel: m\r\n"
                "Connection: close\r\n\r\n",
                12s);
        });
    std::this_thread::sleep_for(100ms);
    catalog.m_weights = {{model, new_version}};
    instance.set_rules(2, catalog);
    caller.join();
    CHECK(answer.substr(0, 12) == "HTTP/1.1 200");
}
