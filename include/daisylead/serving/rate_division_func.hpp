/** @file Division of an upstream's request rate among the instances. */
#pragma once

#include <daisylead/base/id_type.hpp>

#include <map>
#include <vector>

namespace daisylead::serving
{

/** The instances that one instance divides a request rate with. */
struct rate_group
{
    instance_id m_self;                ///< this instance, a relay
    std::vector<instance_id> m_relays; ///< the other live relays
    /** Live instances that report to this one. */
    std::vector<instance_id> m_children;
};

/** Shares in a request rate, requests per second; an instance without one sends
 *  nothing. */
struct rate_division
{
    double m_own = 0;                         ///< share of this instance
    std::map<instance_id, double> m_children; ///< shares of the children
};

/** Divides the request rate of an upstream. Each sender may send one request at
 *  any time, so their number grows with the rate only: at most 1 + 1.5 x rate.
 *  All relays agree on the groups that get a part, and each relay chooses the
 *  senders of its group. The senders of different upstreams differ, so that the
 *  rates of several upstreams are spread over the fleet.
 *  @param per_second max. requests per second of all instances */
rate_division divide_rate(upstream_id const& upstream, double per_second,
                          rate_group const& group);

} // namespace daisylead::serving
