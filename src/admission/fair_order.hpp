/** @file Order of the organisations that have waiting requests. */
#pragma once

#include <daisylead/admission/admission_queue_base.hpp>

#include <map>
#include <set>
#include <utility>

namespace daisylead::admission
{

/** Priority, then arrival. */
using queue_key = std::pair<int, std::uint64_t>;

/** Waiting requests and tags of one organisation. */
struct flow
{
    std::map<queue_key, queued_request> m_requests;
    std::int64_t m_tokens = 0; ///< of all its requests
    int m_weight = 1;
    bool m_in_order = false; ///< is part of the order
    double m_order_tag = 0;  ///< tag by which it is chosen
    double m_start_tag = 0;  ///< start tag of its next request
    double m_finish_tag = 0; ///< finish tag of its last started request
};

/** @return tokens that the request counts for, at least 1. */
std::int64_t cost_of(queued_request const& request);

/** Start-time fair queueing: the flow with the least tag is next. */
class fair_order
{
public:
    explicit fair_order(token_count urgent_lead);

    void set_urgent_lead(token_count urgent_lead);

    /** Enters the flow, if it has requests. */
    void add_flow(organisation_id const& id, flow& item);

    /** Takes a flow out of the order before its tags or requests change. */
    void remove_flow(organisation_id const& id, flow& item);

    /** The virtual time is the least start tag of the flows that wait. The
     *  start tag of the last started request would be too far ahead, because
     *  urgent requests start before their turn. */
    void advance_virtual_time(double fallback);

    /** A flow that waits for a busy model must not save up its share without
     *  bound, or it would hold up the others later.
     *  @param served_tag start tag of the request that went before it */
    void limit_lag(organisation_id const& id, flow& item, double served_tag);

    double virtual_time() const
    {
        return m_virtual_time;
    }

    /** @return sum of the weights of the flows that wait. */
    std::int64_t waiting_weight() const
    {
        return m_waiting_weight;
    }

    /** @return waiting flows by tag. */
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
