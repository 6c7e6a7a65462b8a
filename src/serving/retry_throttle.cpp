/** @file This instance's share of the fleet-wide retry budget. */
#include <daisylead/serving/retry_throttle_base.hpp>

#include <algorithm>

namespace daisylead::serving
{

retry_throttle::retry_throttle(retry_budget budget) : m_budget(budget) {}

void retry_throttle::set_instances(std::size_t instances)
{
    m_instances = std::max<std::size_t>(1, instances);
}

void retry_throttle::note_request(service_id const& service, time_point now)
{
    window& counts = m_windows[service];
    drop_old(counts, now);
    counts.m_requests.push_back(now);
}

bool retry_throttle::take(service_id const& service, time_point now)
{
    window& counts = m_windows[service];
    drop_old(counts, now);
    double const allowed =
        m_budget.m_ratio * static_cast<double>(counts.m_requests.size()) +
        m_budget.m_extra / static_cast<double>(m_instances);
    if (static_cast<double>(counts.m_repeats.size() + 1) > allowed)
    {
        return false;
    }
    counts.m_repeats.push_back(now);
    return true;
}

void retry_throttle::drop_old(window& counts, time_point now) const
{
    for (auto* entries : {&counts.m_requests, &counts.m_repeats})
    {
        while (!entries->empty() && entries->front() + m_budget.m_window <= now)
        {
            entries->pop_front();
        }
    }
}

} // namespace daisylead::serving
