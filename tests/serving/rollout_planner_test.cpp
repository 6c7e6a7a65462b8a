/** @file Tests of the rollout of new weights. */
#include <daisylead/serving/rollout_planner_base.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);

/** Simulated engines with a fixed time to drain and a fixed time to load. */
class simulated_engines
{
public:
    simulated_engines(int count, duration drain_time)
        : m_planner({}), m_drain_time(drain_time)
    {
        for (int i = 0; i < count; ++i)
        {
            m_engines.push_back(
                {upstream_id("e" + std::to_string(i)), 1, 1, 7, 0ms});
        }
    }

    /** Runs the rollout until all engines have the version.
     *  @return its duration */
    duration roll_out(std::int64_t version, time_point from)
    {
        m_planner.set_target(version);
        time_point now = from;
        for (; now < from + 60s; now += 50ms)
        {
            step(now, from);
            if (std::all_of(m_engines.begin(), m_engines.end(),
                            [version](rollout_engine const& item)
                            { return item.m_version >= version; }))
            {
                break;
            }
        }
        return now - from;
    }

    std::size_t m_max_out = 0;
    std::size_t m_max_loading = 0;

private:
    void step(time_point now, time_point from)
    {
        std::size_t loading = 0;
        for (rollout_engine& item : m_engines)
        {
            item.m_outdated_for = now - from;
            auto const drained = m_drained_at.find(item.m_id);
            if (drained != m_drained_at.end() && now >= drained->second)
            {
                item.m_in_flight = 0;
            }
            auto const order = m_ordered_at.find(item.m_id);
            if (order != m_ordered_at.end() && item.m_in_flight == 0)
            {
                ++loading;
                order->second = std::max(order->second, now);
                if (!m_done_at.contains(item.m_id))
                {
                    m_done_at[item.m_id] = now + 570ms;
                }
                if (now >= m_done_at[item.m_id])
                {
                    item.m_version = m_planner.target();
                    item.m_in_flight = 7;
                    m_ordered_at.erase(item.m_id);
                    m_drained_at.erase(item.m_id);
                    m_done_at.erase(item.m_id);
                }
            }
        }
        for (rollout_action const& action : m_planner.plan(m_engines, now))
        {
            if (action.m_step == rollout_step::drain)
            {
                m_drained_at[action.m_engine] = now + m_drain_time;
            }
            else if (action.m_step == rollout_step::order)
            {
                m_ordered_at[action.m_engine] = now;
            }
        }
        m_max_loading = std::max(m_max_loading, loading);
        m_max_out = std::max(m_max_out, m_drained_at.size());
    }

    rollout_planner m_planner;
    duration m_drain_time;
    std::vector<rollout_engine> m_engines;
    std::map<upstream_id, time_point> m_drained_at;
    std::map<upstream_id, time_point> m_ordered_at;
    std::map<upstream_id, time_point> m_done_at;
};

} // namespace

TEST_CASE("short requests: the rollout ends well within 8 s with at least half "
          "of the engines in service")
{
    simulated_engines engines(18, 300ms);
    CHECK(engines.roll_out(2, start) < 6s);
    CHECK(engines.m_max_out <= 9);
    CHECK(engines.m_max_loading <= 3);
}

TEST_CASE(
    "long streams: the rollout ends within 11 s with at least half of the "
    "engines in service")
{
    // Guards against a rollout that takes nine of twelve engines out of
    // service, because engines that still finish streams block the loads.
    simulated_engines engines(12, 2000ms);
    CHECK(engines.roll_out(2, start) < 11s);
    CHECK(engines.m_max_out <= 6);
}

TEST_CASE("the engine with the oldest weights is first")
{
    rollout_planner planner({});
    planner.set_target(4);
    std::vector<rollout_engine> engines;
    engines.reserve(6);
    for (int i = 0; i < 6; ++i)
    {
        engines.push_back({upstream_id("e" + std::to_string(i)), 1, 3, 0, 1s});
    }
    engines[5].m_version = 1;
    engines[5].m_in_flight = 3;
    auto const actions = planner.plan(engines, start);
    REQUIRE_FALSE(actions.empty());
    CHECK(actions.front().m_engine == upstream_id("e5"));
}

TEST_CASE("an engine with the target version is skipped, and a failed order is "
          "retried after a delay")
{
    rollout_planner planner({});
    planner.set_target(2);
    std::vector<rollout_engine> const engines = {
        {upstream_id("e0"), 1, 2, 0, 0ms}, {upstream_id("e1"), 1, 1, 0, 0ms}};
    auto const first = planner.plan(engines, start);
    REQUIRE(first.size() == 2);
    CHECK(first[1].m_engine == upstream_id("e1"));
    CHECK(first[1].m_step == rollout_step::order);
    planner.note_failed(upstream_id("e1"), start);
    CHECK(planner.plan(engines, start + 100ms).empty());
    CHECK_FALSE(planner.plan(engines, start + 400ms).empty());
}

namespace
{

/** @return engines that the first plan takes out of service. */
std::vector<upstream_id> taken_out(std::vector<rollout_engine> const& engines)
{
    rollout_planner planner({});
    planner.set_target(2);
    std::vector<upstream_id> taken;
    for (rollout_action const& action : planner.plan(engines, start))
    {
        if (action.m_step == rollout_step::drain)
        {
            taken.push_back(action.m_engine);
        }
    }
    return taken;
}

std::vector<rollout_engine> busy_engines(int count)
{
    std::vector<rollout_engine> engines;
    engines.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        engines.push_back({upstream_id("e" + std::to_string(i)), 1, 1, 7, 0ms});
    }
    return engines;
}

} // namespace

TEST_CASE("unreachable engines reduce the number taken out of service")
{
    // Guards against a rollout during a loss of engines that leaves too few in
    // service: half of 18 taken out of service while 6 are down.
    auto engines = busy_engines(18);
    for (std::size_t i = 0; i < 6; ++i)
    {
        engines[i].m_reachable = false;
    }
    auto const taken = taken_out(engines);
    // A third of the twelve reachable ones, and none of the others.
    CHECK(taken.size() == 5);
    for (upstream_id const& id : taken)
    {
        auto const found =
            std::find_if(engines.begin(), engines.end(),
                         [&id](auto const& item) { return item.m_id == id; });
        CHECK(found->m_reachable);
    }
}

TEST_CASE("no engine is drained ahead while the others have no free memory")
{
    auto engines = busy_engines(18);
    CHECK(taken_out(engines).size() == 7);
    for (rollout_engine& item : engines)
    {
        item.m_memory_use = 0.9;
    }
    // As many as may load at once, so that the rollout makes progress.
    CHECK(taken_out(engines).size() == 3);
}

TEST_CASE(
    "an engine that accepted an order just after a newer version was named "
    "is ordered again at once")
{
    // Guards against an accepted order that is taken for one to load the newer
    // version, so that its engine counts as loading until max_load_time.
    rollout_planner planner({});
    upstream_id const id("e0");
    planner.set_target(2);
    REQUIRE(planner.plan({{id, 1, 1, 0, 0ms}}, start).back().m_step ==
            rollout_step::order);
    planner.set_target(3);
    planner.plan({{id, 1, 1, 0, 50ms}}, start + 50ms);
    planner.note_accepted(id, 2, start + 100ms);
    // The load of version 2 has ended.
    std::vector<rollout_action> actions;
    time_point now = start + 1s;
    for (; now < start + 3s; now += 50ms)
    {
        auto const taken = planner.plan({{id, 1, 2, 0, now - start}}, now);
        actions.insert(actions.end(), taken.begin(), taken.end());
    }
    REQUIRE_FALSE(actions.empty());
    CHECK(actions.back().m_step == rollout_step::order);
    CHECK(actions.back().m_version == 3);
}

TEST_CASE("an engine is drained before its order again once its unanswered "
          "orders can no longer be carried out")
{
    // Guards against engines that are ordered in service for good after a time
    // in which orders were not answered.
    rollout_planner planner({});
    upstream_id const id("e0");
    planner.set_target(2);
    planner.plan({{id, 1, 1, 7, 0ms}}, start);
    planner.note_unanswered(id, 1, 1, start + 250ms);
    auto const actions = planner.plan({{id, 1, 1, 7, 0ms}}, start + 13s);
    REQUIRE(actions.size() == 2);
    CHECK(actions.front().m_step == rollout_step::drain);
    CHECK(actions.back().m_step == rollout_step::order);
}
