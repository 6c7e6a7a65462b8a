/** @file Orders to engines under the order lease. */
#include "order_gate.hpp"

#include <nlohmann/json.hpp>

namespace daisylead::core
{

order_gate::order_gate(outbox& actions, limit_gate const& leases)
    : m_actions(actions), m_leases(leases), m_planner({})
{
}

void order_gate::apply(config::configuration const& configuration,
                       time_point now)
{
    run(m_planner.set_configuration(configuration, now));
}

void order_gate::update_term(time_point now)
{
    auto const grant = m_leases.order_lease(now);
    if (!grant)
    {
        if (m_planner.has_term())
        {
            m_planner.clear_term();
        }
        return;
    }
    // The keeper takes a lease only after its predecessor's has ended.
    run(m_planner.set_term(
        {grant->m_fence, grant->m_until, grant->m_acquired_at}, now));
}

void order_gate::on_timer(time_point now)
{
    update_term(now);
    run(m_planner.on_timer(now));
}

void order_gate::on(load_read_ended const& item, time_point now)
{
    if (!item.m_report)
    {
        return;
    }
    std::map<std::string, std::string> versions;
    for (auto const& [model, version] : item.m_report->m_models)
    {
        versions.emplace(model.value(), version.value());
    }
    update_term(now);
    run(m_planner.on_load_report(item.m_upstream, versions, now));
}

void order_gate::on(engine_state_read const& item, time_point now)
{
    update_term(now);
    run(m_planner.on_state(item.m_read, item.m_state, now));
}

void order_gate::on(order_ended const& item, time_point now)
{
    update_term(now);
    run(m_planner.on_order(item.m_order, item.m_outcome, now));
}

void order_gate::run(orders::order_planner::actions const& actions)
{
    for (orders::order_action const& item : actions)
    {
        if (auto const* order = std::get_if<orders::send_order>(&item))
        {
            m_actions.push(*order);
        }
        else if (auto const* read = std::get_if<orders::read_state>(&item))
        {
            m_actions.push(*read);
        }
        else
        {
            // An engine knows a newer fence number, so another instance holds
            // the lease and this one loses it with the next read of the row.
            m_actions.push(write_log{true,
                                     "order_term_ended",
                                     "an engine has seen a newer fence number",
                                     {}});
        }
    }
}

nlohmann::json order_gate::dump() const
{
    return {{"holds_term", m_planner.has_term()},
            {"loads_running", m_planner.loads_running()}};
}

} // namespace daisylead::core
