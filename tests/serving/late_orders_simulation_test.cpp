/** @file Simulation of rollouts with orders that get no answer and are carried
 *  out late. */
#include <daisylead/serving/rollout_planner_base.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);

constexpr duration step = 50ms;
/** Time in which an engine finishes its requests. */
constexpr duration drain_time = 1200ms;
constexpr duration load_time = 570ms;
/** Timeout of an order. */
constexpr duration answer_timeout = 250ms;
/** Delay of an order that was not answered. */
constexpr duration min_order_delay = 2s;
constexpr duration max_order_delay = 12s;
/** Time after the publication within which engines must have a version. */
constexpr duration rollout_limit = 11s;

/** Engines that leave a share of their orders without an answer and carry these
 *  out later, if no other one was accepted meanwhile. */
class simulated_rollout
{
public:
    /** @param memory_use fraction of the engines' memory that requests need */
    simulated_rollout(int count, double lost_share, unsigned seed,
                      double memory_use = 0)
        : m_lost_share(lost_share), m_memory_use(memory_use), m_random(seed),
          m_planner({})
    {
        for (int i = 0; i < count; ++i)
        {
            m_engines[upstream_id("e" + std::to_string(i))];
        }
    }

    /** Publishes a version and plays until @p until. */
    void play(std::int64_t version, time_point until)
    {
        m_planner.set_target(version);
        m_published[version] = m_now;
        for (; m_now < until; m_now += step)
        {
            carry_out_orders();
            report_answers();
            plan();
        }
    }

    /** @return engines with an older version. */
    int outdated(std::int64_t version) const
    {
        return static_cast<int>(
            std::count_if(m_engines.begin(), m_engines.end(),
                          [version](auto const& entry)
                          { return entry.second.m_version < version; }));
    }

    std::size_t m_max_out = 0; ///< engines out of service at the same time
    int m_orders = 0;

private:
    struct sent_order
    {
        std::int64_t m_version = 0;
        int m_expected = 0; ///< accepted orders
        time_point m_carried_out_at;
    };

    struct engine
    {
        std::int64_t m_version = 1;
        int m_accepted = 0;
        std::int64_t m_loading = 0; ///< version; 0: none
        time_point m_loaded_at;
        std::optional<time_point> m_drained_since;
        std::vector<sent_order> m_late;
        std::optional<time_point> m_answer_due; ///< of an unanswered order
    };

    void accept(engine& item, std::int64_t version)
    {
        ++item.m_accepted;
        item.m_loading = version;
        duration const drained =
            item.m_drained_since ? m_now - *item.m_drained_since : 0s;
        item.m_loaded_at =
            m_now + std::max<duration>(drain_time - drained, 0s) + load_time;
    }

    void carry_out_orders()
    {
        std::size_t out = 0;
        for (auto& [id, item] : m_engines)
        {
            for (sent_order const& order : item.m_late)
            {
                if (order.m_carried_out_at <= m_now && item.m_loading == 0 &&
                    order.m_expected == item.m_accepted)
                {
                    accept(item, order.m_version);
                }
            }
            std::erase_if(item.m_late, [this](sent_order const& order)
                          { return order.m_carried_out_at <= m_now; });
            if (item.m_loading != 0 && item.m_loaded_at <= m_now)
            {
                item.m_version = item.m_loading;
                item.m_loading = 0;
                item.m_drained_since.reset();
                m_planner.note_failed(id, m_now);
            }
            out += item.m_loading != 0 || item.m_drained_since ? 1 : 0;
        }
        m_max_out = std::max(m_max_out, out);
    }

    void report_answers()
    {
        for (auto& [id, item] : m_engines)
        {
            if (item.m_answer_due && *item.m_answer_due <= m_now)
            {
                item.m_answer_due.reset();
                item.m_drained_since.reset();
                m_planner.note_unanswered(id, 1, item.m_version, m_now);
            }
        }
    }

    void plan()
    {
        std::vector<rollout_engine> engines;
        for (auto const& [id, item] : m_engines)
        {
            bool const is_drained = item.m_drained_since &&
                                    m_now - *item.m_drained_since >= drain_time;
            engines.push_back({id, 1, item.m_version, is_drained ? 0 : 7,
                               outdated_for(item.m_version), true,
                               m_memory_use});
        }
        for (rollout_action const& action : m_planner.plan(engines, m_now))
        {
            engine& item = m_engines.at(action.m_engine);
            switch (action.m_step)
            {
            case rollout_step::drain:
                item.m_drained_since = m_now;
                break;
            case rollout_step::order:
            case rollout_step::check:
                ask(action.m_engine, item, action);
                break;
            case rollout_step::ready:
                break;
            }
        }
    }

    void ask(upstream_id const& id, engine& item, rollout_action const& action)
    {
        if (item.m_loading != 0)
        {
            m_planner.note_late_load(id, action.m_version, m_now);
            return;
        }
        if (action.m_step == rollout_step::check)
        {
            m_planner.note_checked(id, m_now);
            return;
        }
        ++m_orders;
        if (std::bernoulli_distribution(m_lost_share)(m_random))
        {
            std::uniform_real_distribution<double> delay(
                std::chrono::duration<double>(min_order_delay).count(),
                std::chrono::duration<double>(max_order_delay).count());
            item.m_late.push_back(
                {action.m_version, item.m_accepted,
                 m_now + std::chrono::duration_cast<duration>(
                             std::chrono::duration<double>(delay(m_random)))});
            item.m_answer_due = m_now + answer_timeout;
            return;
        }
        accept(item, action.m_version);
        m_planner.note_accepted(id, action.m_version, m_now);
    }

    duration outdated_for(std::int64_t version) const
    {
        auto const missed = m_published.upper_bound(version);
        return missed == m_published.end() ? duration::zero()
                                           : m_now - missed->second;
    }

    double m_lost_share;
    double m_memory_use;
    std::mt19937 m_random;
    rollout_planner m_planner;
    time_point m_now = start;
    std::map<std::int64_t, time_point> m_published;
    std::map<upstream_id, engine> m_engines;
};

constexpr unsigned draws = 100;

/** @return engines that may have older weights at the end of a rollout. */
int max_outdated(int count)
{
    return std::max(1, count / 10);
}

/** @return engines that may be out of service at the same time, as orders that
 *          are carried out late come at random moments. */
std::size_t max_out(int count)
{
    return static_cast<std::size_t>(count) * 3 / 4;
}

} // namespace

TEST_CASE("all engines get new weights in time while half of the orders are "
          "carried out late")
{
    int const count = GENERATE(12, 18, 90);
    for (unsigned seed = 1; seed <= draws; ++seed)
    {
        INFO("engines " << count << ", seed " << seed);
        simulated_rollout rollout(count, 0.5, seed);
        for (std::int64_t version = 2; version <= 4; ++version)
        {
            rollout.play(version, start + (version - 1) * 9s);
        }
        rollout.play(4, start + 18s + rollout_limit);
        CHECK(rollout.outdated(4) <= max_outdated(count));
        CHECK(rollout.m_max_out <= max_out(count));
    }
}

TEST_CASE("nearly all engines get new weights in time while all orders are "
          "carried out late")
{
    // All orders to an engine can draw long delays, so no draw is certain.
    int const count = GENERATE(12, 18);
    unsigned late = 0;
    for (unsigned seed = 1; seed <= draws; ++seed)
    {
        simulated_rollout rollout(count, 1, seed);
        rollout.play(2, start + rollout_limit);
        late += rollout.outdated(2) > max_outdated(count) ? 1 : 0;
    }
    CHECK(late <= draws / 20);
}

TEST_CASE("engines without free memory get new weights in time while most "
          "orders are carried out late")
{
    // Guards against a rollout that stalls because orders which are expected
    // to be carried out use up the few places for busy engines.
    int const count = GENERATE(12, 18);
    unsigned late = 0;
    for (unsigned seed = 1; seed <= draws; ++seed)
    {
        simulated_rollout rollout(count, 0.7, seed, 0.9);
        rollout.play(2, start + rollout_limit);
        late += rollout.outdated(2) > max_outdated(count) ? 1 : 0;
    }
    CHECK(late <= draws / 20);
}
