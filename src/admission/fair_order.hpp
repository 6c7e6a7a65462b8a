/** @file Fair order of the organisations that have waiting requests. */
#pragma once

#include <daisylead/admission/admission_queue_base.hpp>

#include <map>
#include <set>
#include <utility>

namespace daisylead::admission
{

/** Priority, then sequence number of arrival; orders the requests of a flow. */
using queue_key = std::pair<int, std::uint64_t>;

/** Waiting requests and fair queueing tags of one organisation. */
struct flow
{
    std::map<queue_key, queued_request> m_requests;
    std::int64_t m_tokens = 0; ///< of all its waiting requests
    int m_weight = 1;
    bool m_in_order = false; ///< is in fair_order
    double m_order_tag = 0;  ///< key in fair_order
    double m_start_tag = 0;  ///< start tag of its next request
    double m_finish_tag = 0; ///< finish tag of its last served request
};

/** @return tokens that the request is charged for, at least 1 */
std::int64_t cost_of(queued_request const& request);

/** Start-time fair queueing: the flow with the lowest order tag is next. */
class fair_order
{
public:
    explicit fair_order(token_count urgent_lead);

    void set_urgent_lead(token_count urgent_lead);

    /** Inserts the flow into the order if it has requests. */
    void add_flow(organisation_id const& id, flow& item);

    /** Removes a flow from the order. Required before its tags, weight or
     *  requests change. */
    void remove_flow(organisation_id const& id, flow& item);

    /** Sets the virtual time to the lowest start tag of the waiting flows. The
     *  start tag of the last served request would be too far ahead, because
     *  urgent requests are served early.
     *  @param fallback value if no flow waits */
    void advance_virtual_time(double fallback);

    /** Bounds how far the start tag of a flow that waits for a busy model lags
     *  behind. Without the bound the flow would block the others later.
     *  @param served_tag start tag of the request that is served before it */
    void limit_lag(organisation_id const& id, flow& item, double served_tag);

    double virtual_time() const
    {
        return m_virtual_time;
    }

    /** @return sum of the weights of the waiting flows */
    std::int64_t waiting_weight() const
    {
        return m_waiting_weight;
    }

    /** @return waiting flows by order tag */
    std::set<std::pair<double, organisation_id>> const& order() const
    {
        return m_order;
    }

private:
    double order_tag(flow const& item) const;

    token_count m_urgent_lead;
    std::set<std::pair<double, organisation_id>> m_order;
    std::multiset<double> m_starts; ///< start tags of the waiting flows
    std::int64_t m_waiting_weight = 0;
    double m_virtual_time = 0;
};

} // namespace daisylead::admission
