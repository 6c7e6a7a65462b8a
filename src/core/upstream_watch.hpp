/** @file Watches upstreams: load reports, cache events, leaving state. */
#pragma once

#include "outbox.hpp"

#include <daisylead/config/configuration_type.hpp>
#include <daisylead/core/control_base.hpp>
#include <daisylead/core/event_type.hpp>
#include <daisylead/prefix/prefix_index_base.hpp>
#include <daisylead/routing/upstream_table_base.hpp>

#include <map>
#include <memory>
#include <set>

namespace daisylead::core
{

/** Reads what engines report and keeps the upstream table and the prefix index
 *  up to date. */
class upstream_watch
{
public:
    /** @param actions must outlive this object */
    upstream_watch(control_options const& options, control_hooks const& hooks,
                   outbox& actions);

    void apply(config::configuration const& configuration);

    void on_timer(time_point now);

    /** @return when on_timer() is needed next. */
    time_point next_timer() const
    {
        return m_next_poll;
    }

    void on(machines_listed const& item);

    /** @return the engine, if the report shows a new incarnation of it. */
    bool on(load_read_ended const& item, time_point now);
    void on(cache_events_read const& item);
    void on(cache_snapshot_read const& item);

    routing::upstream_table& table()
    {
        return m_table;
    }

    prefix::prefix_index& index()
    {
        return m_index;
    }

    /** @return the incarnation that the last load report of an upstream named;
     *  0 if none came. */
    incarnation incarnation_of(upstream_id const& id) const;

    nlohmann::json dump(time_point now) const;

private:
    struct engine
    {
        std::string m_address;
        incarnation m_incarnation;
        bool m_reading_load = false;
        bool m_reading_events = false;
        bool m_reading_snapshot = false;
    };

    void poll(upstream_id const& id, engine& item);
    void read_snapshot(upstream_id const& id, engine& item);

    outbox& m_actions;
    routing::upstream_table m_table;
    prefix::prefix_index m_index;
    std::map<upstream_id, engine> m_engines;
    time_point m_next_poll;
};

} // namespace daisylead::core
