/** @file Watches upstreams. */
#include "upstream_watch.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace daisylead::core
{

namespace
{

/** Engines report their load with a lag of this order anyway. */
constexpr std::chrono::milliseconds poll_interval{250};

/** A quarter of the 256 MB that control may use on a node. */
constexpr byte_count index_memory{64 << 20};

routing::table_options make_table_options(config::rules const& rules)
{
    routing::table_options options;
    options.m_default_prefill_rate = token_rate(rules.m_default_prefill_rate);
    options.m_max_in_flight = rules.m_max_in_flight_per_upstream;
    return options;
}

} // namespace

upstream_watch::upstream_watch(control_options const&,
                               control_hooks const& hooks, outbox& actions)
    : m_actions(actions), m_table({}, hooks.m_random), m_index(index_memory)
{
}

void upstream_watch::apply(config::configuration const& configuration)
{
    m_table.set_options(make_table_options(configuration.m_rules));
    for (routing::upstream_number const number :
         m_table.apply_configuration(configuration.m_upstreams))
    {
        m_index.drop(number);
    }
    std::map<upstream_id, engine> engines;
    for (config::upstream const& item : configuration.m_upstreams)
    {
        if (item.m_kind != config::upstream_kind::engine)
        {
            continue;
        }
        auto const known = m_engines.find(item.m_id);
        engine& entry = engines[item.m_id];
        if (known != m_engines.end() &&
            known->second.m_address == item.m_address)
        {
            entry = known->second;
        }
        entry.m_address = item.m_address;
    }
    m_engines = std::move(engines);
}

void upstream_watch::on_timer(time_point now)
{
    if (now < m_next_poll)
    {
        return;
    }
    m_next_poll = now + poll_interval;
    for (auto& [id, item] : m_engines)
    {
        poll(id, item);
    }
}

void upstream_watch::poll(upstream_id const& id, engine& item)
{
    if (!item.m_reading_load)
    {
        item.m_reading_load = true;
        m_actions.push(read_load{id, item.m_address});
    }
    auto const number = m_table.number_of(id);
    if (!item.m_reading_events && !item.m_reading_snapshot && number)
    {
        item.m_reading_events = true;
        m_actions.push(
            read_cache_events{id, item.m_address, m_index.last_seq(*number)});
    }
}

void upstream_watch::on(machines_listed const& item)
{
    if (!item.m_machines)
    {
        return;
    }
    std::vector<upstream_id> leaving;
    for (table::listed_instance const& machine : *item.m_machines)
    {
        if (machine.m_role == table::instance_role::upstream &&
            machine.m_leaving)
        {
            leaving.emplace_back(machine.m_id);
        }
    }
    m_table.apply_instance_list(leaving);
}

bool upstream_watch::on(load_read_ended const& item, time_point now)
{
    auto const found = m_engines.find(item.m_upstream);
    if (found == m_engines.end())
    {
        return false;
    }
    found->second.m_reading_load = false;
    if (!item.m_report)
    {
        if (item.m_refused)
        {
            m_table.note_refused(item.m_upstream, now);
        }
        return false;
    }
    incarnation const reported = item.m_report->m_incarnation;
    bool const is_restart = found->second.m_incarnation != incarnation(0) &&
                            found->second.m_incarnation != reported;
    found->second.m_incarnation = reported;
    m_table.apply_load_report(item.m_upstream, *item.m_report, now);
    if (auto const number = m_table.number_of(item.m_upstream))
    {
        m_index.note_incarnation(*number, reported);
    }
    return is_restart;
}

void upstream_watch::on(cache_events_read const& item)
{
    auto const found = m_engines.find(item.m_upstream);
    auto const number = m_table.number_of(item.m_upstream);
    if (found == m_engines.end() || !number)
    {
        return;
    }
    found->second.m_reading_events = false;
    if (item.m_incarnation == incarnation(0))
    {
        return;
    }
    if (m_index.apply(*number, item.m_incarnation, item.m_events))
    {
        read_snapshot(item.m_upstream, found->second);
    }
}

void upstream_watch::read_snapshot(upstream_id const& id, engine& item)
{
    if (!item.m_reading_snapshot)
    {
        item.m_reading_snapshot = true;
        m_actions.push(read_cache_snapshot{id, item.m_address});
    }
}

void upstream_watch::on(cache_snapshot_read const& item)
{
    auto const found = m_engines.find(item.m_upstream);
    auto const number = m_table.number_of(item.m_upstream);
    if (found == m_engines.end() || !number)
    {
        return;
    }
    found->second.m_reading_snapshot = false;
    if (item.m_snapshot)
    {
        m_index.apply(*number, *item.m_snapshot);
    }
}

incarnation upstream_watch::incarnation_of(upstream_id const& id) const
{
    auto const found = m_engines.find(id);
    return found == m_engines.end() ? incarnation(0)
                                    : found->second.m_incarnation;
}

nlohmann::json upstream_watch::dump(time_point now) const
{
    return {{"upstreams", m_table.dump(now)},
            {"prefix_index",
             {{"blocks", m_index.blocks()},
              {"entries", m_index.entries()},
              {"bytes", m_index.memory_bytes()}}}};
}

} // namespace daisylead::core
