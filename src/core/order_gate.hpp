/** @file Orders to engines under the order lease. */
#pragma once

#include "limit_gate.hpp"
#include "outbox.hpp"

#include <daisylead/core/event_type.hpp>
#include <daisylead/orders/order_planner_base.hpp>

#include <optional>

namespace daisylead::core
{

/** Runs the order planner while this instance holds the order lease. */
class order_gate
{
public:
    /** The references must outlive this object. */
    order_gate(outbox& actions, limit_gate const& leases);

    void apply(config::configuration const& configuration, time_point now);
    void on_timer(time_point now);

    /** @return when on_timer() is needed next, if at all. */
    std::optional<time_point> next_timer() const
    {
        return m_planner.next_timer();
    }

    void on(load_read_ended const& item, time_point now);
    void on(engine_state_read const& item, time_point now);
    void on(order_ended const& item, time_point now);

    nlohmann::json dump() const;

private:
    void run(orders::order_planner::actions const& actions);
    void update_term(time_point now);

    outbox& m_actions;
    limit_gate const& m_leases;
    orders::order_planner m_planner;
};

} // namespace daisylead::core
