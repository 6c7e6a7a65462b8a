/** @file How much of an instance's requests leaves its availability zone. */
#include "random_fraction.hpp"

#include <daisylead/serving/zone_balance_base.hpp>

#include <algorithm>

namespace daisylead::serving
{

zone_balance::zone_balance(zone_balance_options options, zone_id own)
    : m_options(options), m_own(std::move(own))
{
}

void zone_balance::update(std::vector<zone_load> const& zones, time_point now)
{
    bool const is_known =
        m_updated_at && now - *m_updated_at <= m_options.m_max_age;
    double const passed =
        is_known ? std::chrono::duration<double>(now - *m_updated_at).count()
                 : 0.0;
    m_updated_at = now;
    m_offers.clear();
    if (!is_known)
    {
        m_share = 0;
    }
    double offered = 0;
    double wanted = 0;
    zone_load own{m_own, 0, 0};
    for (zone_load const& zone : zones)
    {
        if (zone.m_zone == m_own)
        {
            own = zone;
        }
        wanted +=
            std::max(0.0, zone.m_use - m_options.m_full_use) * zone.m_slots;
        double const free =
            (m_options.m_full_use - m_options.m_offer_margin - zone.m_use) *
            zone.m_slots;
        if (zone.m_zone != m_own && free > 0)
        {
            m_offers.push_back({zone.m_zone, free});
            offered += free;
        }
    }
    if (own.m_slots <= 0)
    {
        // No upstream is left in the zone: all go where there are some.
        m_share = 1;
        for (zone_load const& zone : zones)
        {
            if (offered <= 0 && zone.m_slots > 0)
            {
                m_offers.push_back({zone.m_zone, zone.m_slots});
            }
        }
        return;
    }
    double const excess = own.m_use - m_options.m_full_use;
    if (excess > 0 && !m_offers.empty())
    {
        // The zones that want to send divide what the others have free.
        double const part = excess * own.m_slots / wanted;
        double const most =
            std::min(1.0, m_share + offered * part / (own.m_use * own.m_slots));
        m_share =
            std::min(most, m_share + m_options.m_growth * excess * passed);
    }
    else if (m_offers.empty() || own.m_use < m_options.m_return_use)
    {
        m_share = std::max(0.0, m_share - m_options.m_decline * passed);
    }
}

zone_id zone_balance::choose(std::function<std::uint64_t()> const& random,
                             time_point now) const
{
    bool const is_known =
        m_updated_at && now - *m_updated_at <= m_options.m_max_age;
    if (!is_known || m_offers.empty() || m_share <= 0 ||
        fraction_of(random()) >= m_share)
    {
        return m_own;
    }
    double sum = 0;
    for (offer const& item : m_offers)
    {
        sum += item.m_slots;
    }
    double point = fraction_of(random()) * sum;
    for (offer const& item : m_offers)
    {
        point -= item.m_slots;
        if (point < 0)
        {
            return item.m_zone;
        }
    }
    return m_offers.back().m_zone;
}

} // namespace daisylead::serving
