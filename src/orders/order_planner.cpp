/** @file Controller that brings engines into their configured state. */
#include <daisylead/orders/order_planner_base.hpp>

#include <algorithm>

namespace daisylead::orders
{

namespace
{

constexpr int max_doublings = 10; ///< keeps the shift in range

} // namespace

order_planner::order_planner(order_options options) : m_options(options) {}

order_planner::actions
order_planner::set_configuration(config::configuration const& rules,
                                 time_point now)
{
    m_loads_at_once = static_cast<std::size_t>(
        std::max<std::int64_t>(1, rules.m_rules.m_loads_at_once));
    std::set<upstream_id> kept;
    for (config::upstream const& upstream : rules.m_upstreams)
    {
        if (upstream.m_kind != config::upstream_kind::engine ||
            upstream.m_state != config::upstream_state::active)
        {
            continue;
        }
        kept.insert(upstream.m_id);
        engine& item = m_engines[upstream.m_id];
        item.m_upstream = upstream;
        auto desired = desired_items(rules, upstream);
        if (std::exchange(item.m_desired, desired) != desired &&
            item.m_stage == stage::idle)
        {
            item.m_failures = 0;
            schedule(item, now);
        }
    }
    std::erase_if(m_engines,
                  [&](auto const& entry)
                  {
                      if (kept.contains(entry.first))
                      {
                          return false;
                      }
                      drop_engine(entry.second);
                      return true;
                  });
    return take_actions(now);
}

void order_planner::drop_engine(engine const& item)
{
    m_calls.erase(item.m_call);
    m_checks -= item.m_stage == stage::checking ? 1U : 0U;
    if (item.m_has_slot)
    {
        // Its load may continue until the deadline and still uses the store of
        // the weights, so it keeps counting.
        --m_used_slots;
        m_orphaned_loads.emplace(item.m_load_deadline, item.m_upstream.m_id);
    }
}

order_planner::actions order_planner::set_term(order_term const& term,
                                               time_point now)
{
    if (term.m_fence <= m_stale_fence)
    {
        return {};
    }
    bool const renewed = m_term && m_term->m_fence == term.m_fence;
    if (renewed)
    {
        m_term->m_valid_until = term.m_valid_until;
        return take_actions(now);
    }
    clear_term();
    m_term = term;
    // An order that the previous holder sent at the end of its lease may take
    // effect until the order timeout.
    m_orders_allowed_at =
        std::max(now, term.m_previous_end + m_options.m_order_timeout);
    for (auto& [id, item] : m_engines)
    {
        schedule(item, m_orders_allowed_at);
    }
    return take_actions(now);
}

void order_planner::clear_term()
{
    m_term.reset();
    m_calls.clear();
    m_slot_queue.clear();
    m_timers.clear();
    m_orphaned_loads.clear();
    m_used_slots = 0;
    m_checks = 0;
    for (auto& [id, item] : m_engines)
    {
        item.m_stage = stage::idle;
        item.m_call = 0;
        item.m_has_slot = false;
    }
}

order_planner::actions order_planner::on_load_report(
    upstream_id const& engine_id,
    std::map<std::string, std::string> const& versions, time_point now)
{
    auto const found = m_engines.find(engine_id);
    if (found == m_engines.end() || found->second.m_stage != stage::idle ||
        found->second.m_failures > 0 || found->second.m_due <= now)
    {
        return {};
    }
    if (find_missing(found->second.m_desired, {false, versions}) != nullptr)
    {
        schedule(found->second, now);
    }
    return take_actions(now);
}

bool order_planner::may_send(engine const& item, time_point now) const
{
    if (!m_term || now < m_orders_allowed_at)
    {
        return false;
    }
    duration const margin = item.m_upstream.m_fenced_orders
                                ? duration::zero()
                                : duration(m_options.m_unfenced_margin);
    return now + margin < m_term->m_valid_until;
}

order_planner::actions
order_planner::on_state(std::uint64_t read,
                        std::optional<engine_state> const& state,
                        time_point now)
{
    engine* const item = find_call(read);
    if (item == nullptr)
    {
        return {};
    }
    stage const read_stage = item->m_stage;
    end_call(*item);
    if (read_stage == stage::reading_after_order)
    {
        handle_read_after_order(*item, state, now);
    }
    else if (!state)
    {
        release_slot(*item);
        back_off(*item, now);
    }
    else if (read_stage == stage::checking)
    {
        handle_check(*item, *state, now);
    }
    else
    {
        handle_read_before_order(*item, *state, now);
    }
    return take_actions(now);
}

void order_planner::handle_check(engine& item, engine_state const& state,
                                 time_point now)
{
    if (state.m_loading)
    {
        // A load that this term did not order takes a slot too.
        item.m_has_slot = true;
        ++m_used_slots;
        item.m_last_order = {};
        item.m_is_outcome_unknown = false;
        item.m_load_deadline = now + m_options.m_order_timeout;
        poll(item, now);
        return;
    }
    finish_or_queue(item, state, now);
}

void order_planner::handle_read_before_order(engine& item,
                                             engine_state const& state,
                                             time_point now)
{
    order_item const* const missing = find_missing(item.m_desired, state);
    if (missing == nullptr || state.m_loading)
    {
        release_slot(item);
        handle_check(item, state, now);
        return;
    }
    if (!may_send(item, now))
    {
        // Retried after a renewal of the lease or in a new term.
        release_slot(item);
        queue_for_slot(item);
        return;
    }
    start_order(item, *missing, now);
}

void order_planner::start_order(engine& item, order_item const& wanted,
                                time_point now)
{
    duration const margin = item.m_upstream.m_fenced_orders
                                ? duration::zero()
                                : duration(m_options.m_unfenced_margin);
    item.m_stage = stage::sending_order;
    item.m_last_order = wanted;
    item.m_load_deadline = now + m_options.m_order_timeout;
    item.m_call = m_next_call++;
    m_calls.emplace(item.m_call, item.m_upstream.m_id);
    m_actions.emplace_back(
        send_order{item.m_call, item.m_upstream.m_id, item.m_upstream.m_address,
                   m_term->m_fence, wanted, m_term->m_valid_until - margin,
                   m_options.m_order_timeout});
}

order_planner::actions order_planner::on_order(std::uint64_t order,
                                               order_outcome outcome,
                                               time_point now)
{
    engine* const item = find_call(order);
    if (item == nullptr)
    {
        return {};
    }
    end_call(*item);
    switch (outcome)
    {
    case order_outcome::stale_fence:
        m_stale_fence = m_term->m_fence;
        clear_term();
        m_actions.emplace_back(end_term{m_stale_fence});
        break;
    case order_outcome::not_sent:
        release_slot(*item);
        back_off(*item, now);
        break;
    case order_outcome::accepted:
    case order_outcome::refused:
    case order_outcome::unknown:
        item->m_load_deadline = now + m_options.m_order_timeout;
        item->m_is_outcome_unknown = outcome == order_outcome::unknown;
        start_read(*item, stage::reading_after_order);
        break;
    }
    return take_actions(now);
}

void order_planner::handle_read_after_order(
    engine& item, std::optional<engine_state> const& state, time_point now)
{
    bool const ended = state && !state->m_loading;
    bool const carried_out =
        ended && (item.m_last_order.m_name.empty() ||
                  find_missing({item.m_last_order}, *state) == nullptr);
    // The load of an order with unknown outcome may start after this read.
    bool const may_begin = item.m_is_outcome_unknown && !carried_out;
    if ((!ended || may_begin) && now < item.m_load_deadline)
    {
        poll(item, now);
        return;
    }
    release_slot(item);
    if (!carried_out)
    {
        back_off(item, now);
        return;
    }
    item.m_failures = 0;
    finish_or_queue(item, *state, now);
}

void order_planner::finish_or_queue(engine& item, engine_state const& state,
                                    time_point now)
{
    if (find_missing(item.m_desired, state) != nullptr)
    {
        queue_for_slot(item);
        return;
    }
    item.m_failures = 0;
    item.m_stage = stage::idle;
    // An engine that does not check fencing numbers may still execute a delayed
    // old order; a read after the order timeout detects it.
    schedule(item, now + (item.m_upstream.m_fenced_orders
                              ? m_options.m_check_interval
                              : std::min(m_options.m_check_interval,
                                         m_options.m_order_timeout)));
}

void order_planner::queue_for_slot(engine& item)
{
    item.m_stage = stage::awaiting_slot;
    m_slot_queue.push_back(item.m_upstream.m_id);
}

void order_planner::release_slot(engine& item)
{
    if (std::exchange(item.m_has_slot, false))
    {
        --m_used_slots;
    }
}

void order_planner::back_off(engine& item, time_point now)
{
    auto const grown = m_options.m_initial_backoff *
                       (1 << std::min(item.m_failures, max_doublings));
    ++item.m_failures;
    item.m_stage = stage::idle;
    schedule(item, now + std::min(grown, m_options.m_max_backoff));
}

void order_planner::poll(engine& item, time_point now)
{
    item.m_stage = stage::polling;
    schedule(item, now + m_options.m_poll_interval);
}

void order_planner::schedule(engine& item, time_point due)
{
    // Without a term nothing is scheduled; a new term checks all engines.
    if (m_term)
    {
        item.m_due = std::max(due, m_orders_allowed_at);
        m_timers.emplace(item.m_due, item.m_upstream.m_id);
    }
}

void order_planner::start_read(engine& item, stage next)
{
    item.m_stage = next;
    item.m_call = m_next_call++;
    m_calls.emplace(item.m_call, item.m_upstream.m_id);
    m_checks += next == stage::checking ? 1U : 0U;
    m_actions.emplace_back(read_state{item.m_call, item.m_upstream.m_id,
                                      item.m_upstream.m_address});
}

void order_planner::end_call(engine& item)
{
    m_calls.erase(std::exchange(item.m_call, 0));
    m_checks -= item.m_stage == stage::checking ? 1U : 0U;
}

order_planner::engine* order_planner::find_call(std::uint64_t call)
{
    auto const known = m_calls.find(call);
    if (known == m_calls.end())
    {
        return nullptr;
    }
    auto const found = m_engines.find(known->second);
    return found == m_engines.end() ? nullptr : &found->second;
}

order_planner::actions order_planner::on_timer(time_point now)
{
    return take_actions(now);
}

order_planner::actions order_planner::take_actions(time_point now)
{
    run(now);
    return std::exchange(m_actions, {});
}

void order_planner::run(time_point now)
{
    if (!m_term)
    {
        return;
    }
    while (!m_orphaned_loads.empty() && m_orphaned_loads.begin()->first <= now)
    {
        m_orphaned_loads.erase(m_orphaned_loads.begin());
    }
    while (m_checks < m_options.m_max_checks && !m_timers.empty() &&
           m_timers.begin()->first <= now)
    {
        auto const [due, id] = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        auto const found = m_engines.find(id);
        if (found != m_engines.end() && found->second.m_due == due)
        {
            start_due_read(found->second, now);
        }
    }
    start_queued_orders(now);
}

void order_planner::start_due_read(engine& item, time_point now)
{
    if (item.m_stage == stage::idle && now >= m_orders_allowed_at)
    {
        start_read(item, stage::checking);
    }
    else if (item.m_stage == stage::polling)
    {
        start_read(item, stage::reading_after_order);
    }
}

void order_planner::start_queued_orders(time_point now)
{
    std::size_t tries = m_slot_queue.size();
    while (tries-- > 0 && loads_running() < m_loads_at_once)
    {
        upstream_id const id = m_slot_queue.front();
        m_slot_queue.pop_front();
        auto const found = m_engines.find(id);
        if (found == m_engines.end() ||
            found->second.m_stage != stage::awaiting_slot)
        {
            continue;
        }
        if (!may_send(found->second, now))
        {
            m_slot_queue.push_back(id);
            continue;
        }
        found->second.m_has_slot = true;
        found->second.m_load_deadline = now + m_options.m_order_timeout;
        ++m_used_slots;
        start_read(found->second, stage::reading_before_order);
    }
}

std::size_t order_planner::loads_running() const
{
    return m_used_slots + m_orphaned_loads.size();
}

std::optional<time_point> order_planner::next_timer() const
{
    if (!m_term)
    {
        return std::nullopt;
    }
    std::optional<time_point> next;
    if (!m_timers.empty() && m_checks < m_options.m_max_checks)
    {
        next = m_timers.begin()->first;
    }
    if (!m_orphaned_loads.empty() &&
        (!next || m_orphaned_loads.begin()->first < *next))
    {
        next = m_orphaned_loads.begin()->first;
    }
    return next;
}

} // namespace daisylead::orders
