/** @file How much of an instance's requests leaves its availability zone. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace daisylead::serving
{

/** Upstreams of a service in one availability zone. */
struct zone_load
{
    zone_id m_zone;     ///< availability zone
    double m_use = 0;   ///< used fraction of the slots or memory there
    double m_slots = 0; ///< slots of the usable upstreams there
};

/** Parameters of a zone_balance. */
struct zone_balance_options
{
    /** Use from which requests wait for each other. */
    double m_full_use = 0.6;
    /** A zone offers what it has free below the full use by more than this, so
     *  that its own callers keep some room. */
    double m_offer_margin = 0.1;
    /** Use below the full one at which requests begin to return; apart from
     *  it, so that they do not leave and return by turns. */
    double m_return_use = 0.5;
    /** Growth of the share per second for each unit of use beyond the full
     *  one, and its decline per second. A faster change would answer loads that
     *  the news does not show yet. */
    double m_growth = 1.0;
    double m_decline = 0.25;
    /** Loads that are older count as unknown. */
    duration m_max_age = std::chrono::seconds(2);
};

/** Decides whether a request leaves the zone of its instance. All instances of
 *  a zone work out nearly the same share from the same loads, and each applies
 *  it to its own requests, so that what leaves in sum fits what the other zones
 *  have free.
 *
 *  Designed for zones whose demand rises and falls at different times, and for
 *  a zone with fewer upstreams than its part of the callers. */
class zone_balance
{
public:
    zone_balance(zone_balance_options options, zone_id own);

    /** Works out the share from the present loads. */
    void update(std::vector<zone_load> const& zones, time_point now);

    /** @return share of the requests that leaves. */
    double leaving_share() const
    {
        return m_share;
    }

    /** @param random uniform 64-bit numbers
     *  @return the zone that a request goes to */
    zone_id choose(std::function<std::uint64_t()> const& random,
                   time_point now) const;

private:
    struct offer
    {
        zone_id m_zone;
        double m_slots = 0;
    };

    zone_balance_options m_options;
    zone_id m_own;
    double m_share = 0;
    std::vector<offer> m_offers;
    std::optional<time_point> m_updated_at;
};

} // namespace daisylead::serving
