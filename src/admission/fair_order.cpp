/** @file Fair order of the organisations that have waiting requests. */
#include "fair_order.hpp"

#include <algorithm>

namespace daisylead::admission
{

std::int64_t cost_of(queued_request const& request)
{
    constexpr std::int64_t min_cost = 1;
    return std::max(request.m_cost.value(), min_cost);
}

fair_order::fair_order(token_count urgent_lead) : m_urgent_lead(urgent_lead) {}

void fair_order::set_urgent_lead(token_count urgent_lead)
{
    m_urgent_lead = urgent_lead;
}

/** @return start tag minus the lead of the first request's priority. The finish
 *          tag does not include the lead, so the advantage is bounded and is
 *          compensated later. */
double fair_order::order_tag(flow const& item) const
{
    constexpr int max_shift = 62;
    int const shift =
        std::clamp(item.m_requests.begin()->second.m_priority, 0, max_shift);
    auto const lead = static_cast<double>(m_urgent_lead.value() >> shift);
    return item.m_start_tag - lead / item.m_weight;
}

void fair_order::add_flow(organisation_id const& id, flow& item)
{
    if (item.m_requests.empty())
    {
        return;
    }
    item.m_in_order = true;
    item.m_order_tag = order_tag(item);
    m_order.emplace(item.m_order_tag, id);
    m_starts.insert(item.m_start_tag);
    m_waiting_weight += item.m_weight;
}

void fair_order::remove_flow(organisation_id const& id, flow& item)
{
    if (!item.m_in_order)
    {
        return;
    }
    item.m_in_order = false;
    m_order.erase({item.m_order_tag, id});
    m_starts.erase(m_starts.find(item.m_start_tag));
    m_waiting_weight -= item.m_weight;
}

void fair_order::advance_virtual_time(double fallback)
{
    double const earliest = m_starts.empty() ? fallback : *m_starts.begin();
    m_virtual_time = std::max(m_virtual_time, earliest);
}

void fair_order::limit_lag(organisation_id const& id, flow& item,
                           double served_tag)
{
    constexpr std::int64_t max_lag_leads = 4;
    double const lag =
        static_cast<double>(m_urgent_lead.value() * max_lag_leads) /
        item.m_weight;
    remove_flow(id, item);
    item.m_start_tag = std::max(item.m_start_tag, served_tag - lag);
    add_flow(id, item);
}

} // namespace daisylead::admission
