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
    engines_by_id by_id;
    for (rollout_engine const& item : engines)
    {
        by_id[item.m_id] = &item;
    }
    end_rollouts(by_id, now, actions);
    drop_void_orders(by_id, now);
    usage use = current_usage(engines, now);
    order_drained(by_id, use, now, actions);
    std::vector<rollout_engine const*> const waiting =
        waiting_engines(engines, now);
    if (!are_orders_unanswered(now))
    {
        drain(waiting, by_id, use, now, actions);
    }
    order_in_service(waiting, use, now, actions);
    return actions;
}

bool rollout_planner::are_orders_unanswered(time_point now) const
{
    return m_last_unanswered_at &&
           now - *m_last_unanswered_at < m_options.m_max_order_delay;
}

bool rollout_planner::is_urgent(rollout_engine const& engine) const
{
    return engine.m_outdated_for > m_options.m_urgent_after;
}

/** @return engines that are out of service, or may be by the order just sent.
 */
double rollout_planner::out_of_service(usage const& use)
{
    return use.m_loading + static_cast<double>(use.m_late + use.m_draining);
}

/** @return probability that an order is answered, by the recent ones. */
double rollout_planner::answer_share(time_point now) const
{
    if (!are_orders_unanswered(now))
    {
        return 1;
    }
    auto const answered =
        std::count_if(m_answers.begin(), m_answers.end(),
                      [](auto const& entry) { return entry.second; });
    // One more answer, as a few orders prove little.
    return static_cast<double>(answered + 1) /
           static_cast<double>(m_answers.size() + 1);
}

void rollout_planner::note_answer(bool answered, time_point now)
{
    m_answers.emplace_back(now, answered);
    while (now - m_answers.front().first > m_options.m_max_order_delay)
    {
        m_answers.pop_front();
    }
    if (!answered)
    {
        m_last_unanswered_at = now;
    }
}

/** @return probability that an engine loads at a given moment because of one
 *          unanswered order. */
double rollout_planner::expected_share() const
{
    return std::chrono::duration<double>(m_options.m_expected_load_time) /
           std::chrono::duration<double>(m_options.m_max_order_delay);
}

/** Ends the rollouts of engines that have loaded or are gone, and those whose
 *  load or answer is overdue. */
void rollout_planner::end_rollouts(engines_by_id const& engines, time_point now,
                                   std::vector<rollout_action>& actions)
{
    for (auto it = m_rollouts.begin(); it != m_rollouts.end();)
    {
        auto const found = engines.find(it->first);
        engine_rollout const& item = it->second;
        bool const done = found == engines.end() ||
                          found->second->m_version >= m_target ||
                          (item.m_phase != phase::draining &&
                           found->second->m_version >= item.m_version);
        duration const age = now - item.m_since;
        bool const lost =
            (item.m_phase == phase::ordered &&
             age > m_options.m_max_answer_time) ||
            (item.m_phase == phase::loading && age > m_options.m_max_load_time);
        if (!done && !lost)
        {
            ++it;
            continue;
        }
        actions.push_back({it->first, rollout_step::ready, m_target});
        if (!done)
        {
            m_paused_until[it->first] = now + m_options.m_retry_delay;
        }
        it = m_rollouts.erase(it);
    }
}

/** Forgets orders that can no longer be carried out. */
void rollout_planner::drop_void_orders(engines_by_id const& engines,
                                       time_point now)
{
    std::erase_if(m_unanswered,
                  [&](auto const& entry)
                  {
                      auto const found = engines.find(entry.first);
                      return found == engines.end() ||
                             found->second->m_started !=
                                 entry.second.m_started ||
                             found->second->m_version != entry.second.m_weights;
                  });
    for (auto& [id, orders] : m_unanswered)
    {
        std::erase_if(orders.m_sent_at, [this, now](time_point sent_at)
                      { return now - sent_at > m_options.m_max_order_delay; });
    }
    if (!are_orders_unanswered(now))
    {
        // Orders are answered again, so these engines are drained first.
        std::erase_if(m_unanswered, [](auto const& entry)
                      { return entry.second.m_sent_at.empty(); });
    }
}

rollout_planner::usage
rollout_planner::current_usage(std::vector<rollout_engine> const& engines,
                               time_point now) const
{
    usage use;
    duration const answer_time = are_orders_unanswered(now)
                                     ? m_options.m_answer_time
                                     : m_options.m_max_answer_time;
    for (auto const& [id, item] : m_rollouts)
    {
        duration const age = now - item.m_since;
        switch (item.m_phase)
        {
        case phase::draining:
            ++use.m_draining;
            break;
        case phase::ordered:
            use.m_loading += item.m_drained      ? 1
                             : age < answer_time ? answer_share(now)
                                                 : 0;
            break;
        case phase::loading:
            use.m_late += item.m_late ? 1 : 0;
            use.m_loading +=
                !item.m_late && age < m_options.m_load_slot_time ? 1 : 0;
            break;
        }
    }
    for (auto const& [id, orders] : m_unanswered)
    {
        use.m_expected +=
            static_cast<double>(orders.m_sent_at.size()) * expected_share();
    }
    use.m_at_once = share_of(engines.size(), m_options.m_load_share);
    use.m_max_out = max_out_of_service(engines, use.m_at_once);
    use.m_max_out_urgent =
        share_of(engines.size(), m_options.m_out_of_service_share);
    return use;
}

/** @return engines to load next, in this order. */
std::vector<rollout_engine const*>
rollout_planner::waiting_engines(std::vector<rollout_engine> const& engines,
                                 time_point now) const
{
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
    return waiting;
}

/** Orders drained engines to load, those with the fewest requests in flight
 *  first. */
void rollout_planner::order_drained(engines_by_id const& engines, usage& use,
                                    time_point now,
                                    std::vector<rollout_action>& actions)
{
    std::vector<rollout_engine const*> drained;
    for (auto const& [id, item] : m_rollouts)
    {
        rollout_engine const* const engine = engines.at(id);
        if (item.m_phase == phase::draining &&
            (engine->m_in_flight <= m_options.m_max_in_flight_at_order ||
             now - item.m_since > m_options.m_max_drain_time))
        {
            drained.push_back(engine);
        }
    }
    std::sort(drained.begin(), drained.end(),
              [](rollout_engine const* a, rollout_engine const* b)
              { return a->m_in_flight < b->m_in_flight; });
    for (rollout_engine const* engine : drained)
    {
        if (use.m_loading < static_cast<double>(use.m_at_once) ||
            is_urgent(*engine))
        {
            --use.m_draining;
            begin_order(engine->m_id, true, use, now, actions);
        }
    }
}

/** Takes engines out of service. */
void rollout_planner::drain(std::vector<rollout_engine const*> const& waiting,
                            engines_by_id const& engines, usage& use,
                            time_point now,
                            std::vector<rollout_action>& actions)
{
    // Drained engines that wait for a load slot are out of service to no
    // purpose, so no further engines are drained meanwhile.
    auto drained = static_cast<std::size_t>(
        std::count_if(m_rollouts.begin(), m_rollouts.end(),
                      [&engines](auto const& entry)
                      {
                          return entry.second.m_phase == phase::draining &&
                                 engines.at(entry.first)->m_in_flight == 0;
                      }));
    for (rollout_engine const* item : waiting)
    {
        if (m_unanswered.contains(item->m_id))
        {
            continue;
        }
        if (out_of_service(use) >= static_cast<double>(use.m_max_out) ||
            (drained >= use.m_at_once && !is_urgent(*item)))
        {
            break;
        }
        bool const is_idle = item->m_in_flight == 0;
        bool const is_probe = !m_last_order_at ||
                              now - *m_last_order_at > m_options.m_probe_after;
        actions.push_back({item->m_id, rollout_step::drain, m_target});
        if ((is_idle || is_probe) &&
            (use.m_loading < static_cast<double>(use.m_at_once) ||
             is_urgent(*item)))
        {
            begin_order(item->m_id, true, use, now, actions);
            continue;
        }
        m_rollouts[item->m_id] = {phase::draining, m_target, now};
        ++use.m_draining;
        drained += is_idle ? 1 : 0;
    }
}

/** Orders engines that stay in service, as their orders are not answered. Those
 *  with the fewest orders go first, so that all have similar chances. */
void rollout_planner::order_in_service(
    std::vector<rollout_engine const*> const& waiting, usage& use,
    time_point now, std::vector<rollout_action>& actions)
{
    bool const are_unanswered = are_orders_unanswered(now);
    std::vector<std::pair<std::size_t, rollout_engine const*>> due;
    for (rollout_engine const* item : waiting)
    {
        auto const orders = m_unanswered.find(item->m_id);
        bool const is_due = orders == m_unanswered.end()
                                ? are_unanswered
                                : now >= orders->second.m_next_at;
        if (is_due && !m_rollouts.contains(item->m_id))
        {
            due.emplace_back(orders == m_unanswered.end()
                                 ? 0
                                 : orders->second.m_sent_at.size(),
                             item);
        }
    }
    std::stable_sort(due.begin(), due.end(),
                     [](auto const& a, auto const& b)
                     { return a.first < b.first; });
    for (auto const& [count, item] : due)
    {
        bool const is_bearable = is_order_bearable(use, *item, now);
        unanswered_orders& orders =
            m_unanswered
                .try_emplace(item->m_id,
                             unanswered_orders{
                                 item->m_started, item->m_version, {}, now})
                .first->second;
        if (is_bearable)
        {
            use.m_expected += expected_share();
            begin_order(item->m_id, false, use, now, actions);
        }
        else if (now - orders.m_next_at >= m_options.m_check_interval)
        {
            orders.m_next_at = now + m_options.m_max_answer_time;
            actions.push_back({item->m_id, rollout_step::check, m_target});
        }
    }
}

/** @return whether an order to an engine in service leaves enough engines in
 *          service, as far as can be expected. An urgent engine is about to be
 *          out of use in any case. */
bool rollout_planner::is_order_bearable(usage const& use,
                                        rollout_engine const& engine,
                                        time_point now) const
{
    double const share = answer_share(now);
    bool const is_negligible = share < m_options.m_negligible_share;
    double const out = out_of_service(use) + share;
    if (is_urgent(engine))
    {
        return is_negligible ||
               out <= static_cast<double>(use.m_max_out_urgent);
    }
    auto const max_out = static_cast<double>(use.m_max_out);
    return use.m_expected < max_out &&
           (is_negligible || out + use.m_expected <= max_out);
}

void rollout_planner::begin_order(upstream_id const& engine, bool is_drained,
                                  usage& use, time_point now,
                                  std::vector<rollout_action>& actions)
{
    m_rollouts[engine] = {phase::ordered, m_target, now, is_drained};
    m_last_order_at = now;
    use.m_loading += is_drained ? 1 : answer_share(now);
    actions.push_back({engine, rollout_step::order, m_target});
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

void rollout_planner::note_accepted(upstream_id const& engine,
                                    std::int64_t version, time_point now)
{
    note_answer(true, now);
    m_rollouts[engine] = {phase::loading, version, now};
}

void rollout_planner::note_late_load(upstream_id const& engine,
                                     std::int64_t version, time_point now)
{
    m_rollouts[engine] = {phase::loading, version, now, false, true};
}

void rollout_planner::note_unanswered(upstream_id const& engine,
                                      std::int64_t started,
                                      std::int64_t weights, time_point now)
{
    m_rollouts.erase(engine);
    note_answer(false, now);
    unanswered_orders& orders = m_unanswered[engine];
    if (orders.m_started != started || orders.m_weights != weights)
    {
        orders = {started, weights, {}, now};
    }
    orders.m_sent_at.push_back(now);
    orders.m_next_at = now + m_options.m_repeat_interval;
}

void rollout_planner::note_checked(upstream_id const& engine, time_point now)
{
    auto const orders = m_unanswered.find(engine);
    if (orders != m_unanswered.end())
    {
        orders->second.m_next_at = now + m_options.m_repeat_interval;
    }
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
    m_unanswered.clear();
}

} // namespace daisylead::serving
