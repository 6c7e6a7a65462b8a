/** @file Order in which engines drain and load new weights. */
#include <daisylead/serving/rollout_planner_base.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace daisylead::serving
{

namespace
{

/** @return share of a count, rounded up, at least 1. */
std::size_t share_of(std::size_t count, double share)
{
    return static_cast<std::size_t>(
        std::max(1.0, std::ceil(static_cast<double>(count) * share - 1e-9)));
}

} // namespace

rollout_planner::rollout_planner(rollout_options options) : m_options(options)
{
}

void rollout_planner::set_target(std::int64_t target)
{
    if (target > m_target)
    {
        m_target = target;
        m_paused_until.clear();
    }
}

std::vector<rollout_action>
rollout_planner::plan(std::vector<rollout_engine> const& engines,
                      time_point now)
{
    std::vector<rollout_action> actions;
    std::size_t loading = 0;
    std::size_t draining = 0;
    std::unordered_map<upstream_id, rollout_engine const*> by_id;
    for (rollout_engine const& item : engines)
    {
        by_id[item.m_id] = &item;
    }
    for (auto it = m_rollouts.begin(); it != m_rollouts.end();)
    {
        auto const found = by_id.find(it->first);
        bool const done = found == by_id.end() ||
                          found->second->m_version >= m_target ||
                          (it->second.m_ordered &&
                           found->second->m_version >= it->second.m_version);
        bool const lost = it->second.m_ordered &&
                          now - it->second.m_since > m_options.m_max_load_time;
        if (done || lost)
        {
            actions.push_back({it->first, rollout_step::ready, m_target});
            if (!done)
            {
                m_paused_until[it->first] = now + m_options.m_retry_delay;
            }
            it = m_rollouts.erase(it);
            continue;
        }
        ++(it->second.m_ordered ? loading : draining);
        ++it;
    }

    std::size_t const at_once =
        share_of(engines.size(), m_options.m_load_share);
    std::size_t const max_out = max_out_of_service(engines, at_once);
    auto const is_urgent = [this](rollout_engine const& item)
    {
        return item.m_outdated_for > m_options.m_urgent_after;
    };

    // Engines with the fewest requests in flight load first.
    std::vector<std::pair<upstream_id, engine_rollout*>> loadable;
    for (auto& [id, item] : m_rollouts)
    {
        if (!item.m_ordered &&
            (by_id.at(id)->m_in_flight <= m_options.m_max_in_flight_at_order ||
             now - item.m_since > m_options.m_max_drain_time))
        {
            loadable.emplace_back(id, &item);
        }
    }
    std::sort(loadable.begin(), loadable.end(),
              [&by_id](auto const& a, auto const& b) {
                  return by_id.at(a.first)->m_in_flight <
                         by_id.at(b.first)->m_in_flight;
              });
    for (auto const& [id, item] : loadable)
    {
        if (loading >= at_once && !is_urgent(*by_id.at(id)))
        {
            continue;
        }
        item->m_ordered = true;
        item->m_version = m_target;
        item->m_since = now;
        ++loading;
        --draining;
        actions.push_back({id, rollout_step::order, m_target});
    }

    std::vector<rollout_engine const*> waiting;
    for (rollout_engine const& item : engines)
    {
        auto const paused = m_paused_until.find(item.m_id);
        if (item.m_version < m_target && !m_rollouts.contains(item.m_id) &&
            (paused == m_paused_until.end() || paused->second <= now))
        {
            waiting.push_back(&item);
        }
    }
    // Each version has its own deadline, so the oldest weights go first.
    std::sort(
        waiting.begin(), waiting.end(),
        [](rollout_engine const* a, rollout_engine const* b)
        {
            return std::tuple(!a->m_reachable, a->m_version, a->m_in_flight) <
                   std::tuple(!b->m_reachable, b->m_version, b->m_in_flight);
        });
    // Drained engines that wait for a load slot are out of service to no
    // purpose, so no further engines are drained meanwhile.
    auto drained = static_cast<std::size_t>(
        std::count_if(m_rollouts.begin(), m_rollouts.end(),
                      [&by_id](auto const& entry)
                      {
                          return !entry.second.m_ordered &&
                                 by_id.at(entry.first)->m_in_flight == 0;
                      }));
    for (rollout_engine const* item : waiting)
    {
        bool const starts =
            item->m_in_flight == 0 && (loading < at_once || is_urgent(*item));
        if (loading + draining >= max_out ||
            (drained >= at_once && !is_urgent(*item)))
        {
            break;
        }
        m_rollouts[item->m_id] = {starts, m_target, now};
        ++(starts ? loading : draining);
        drained += !starts && item->m_in_flight == 0 ? 1 : 0;
        actions.push_back({item->m_id, rollout_step::drain, m_target});
        if (starts)
        {
            actions.push_back({item->m_id, rollout_step::order, m_target});
        }
    }
    return actions;
}

std::size_t
rollout_planner::max_out_of_service(std::vector<rollout_engine> const& engines,
                                    std::size_t at_once) const
{
    std::size_t reachable = 0;
    std::size_t in_service = 0;
    double memory_use = 0;
    for (rollout_engine const& item : engines)
    {
        reachable += item.m_reachable ? 1 : 0;
        if (item.m_reachable && !m_rollouts.contains(item.m_id))
        {
            ++in_service;
            memory_use += item.m_memory_use;
        }
    }
    if (memory_use >
        m_options.m_busy_fraction * static_cast<double>(in_service))
    {
        return at_once;
    }
    return share_of(reachable, m_options.m_out_of_service_share);
}

void rollout_planner::note_failed(upstream_id const& engine, time_point now)
{
    m_rollouts.erase(engine);
    m_paused_until[engine] = now + m_options.m_retry_delay;
}

void rollout_planner::reset()
{
    m_rollouts.clear();
    m_paused_until.clear();
}

} // namespace daisylead::serving
