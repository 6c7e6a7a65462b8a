/** @file Vote of an instance on the holders of leases. */
#include <daisylead/lease/lease_voter_base.hpp>

#include <algorithm>
#include <utility>

namespace daisylead::lease
{

namespace
{

constexpr fence_number first_fence{1};

} // namespace

lease_voter::lease_voter(instance_id self, incarnation value,
                         time_point started_at, duration lease_time,
                         duration margin)
    : m_self(std::move(self)), m_incarnation(value),
      m_ready_at(started_at + lease_time + margin),
      m_promise_time(lease_time + margin)
{
}

void lease_voter::table_read(std::vector<observed_lease> const& rows,
                             time_point sent_at)
{
    for (observed_lease const& item : rows)
    {
        note_claim(item.m_claim);
        if (item.m_claim.m_token.empty())
        {
            m_free_fences[item.m_claim.m_row] = item.m_claim.m_fence;
        }
        else if (item.m_claim.m_fence == first_fence)
        {
            m_first_leases[item.m_claim.m_row] = item.m_claim;
        }
    }
    // A read that was sent before m_ready_at may miss a lease that a member of
    // its quorum confirmed and forgot in a restart meanwhile.
    m_informed = m_informed || sent_at >= m_ready_at;
}

void lease_voter::peer_claims_received(lease_confirm_reply const& reply,
                                       time_point sent_at, std::size_t needed)
{
    if (m_informed || !reply.m_informed || sent_at < m_ready_at)
    {
        return;
    }
    for (lease_claim const& claim : reply.m_known)
    {
        note_claim(claim);
    }
    m_informed_peers.insert(reply.m_sender);
    m_informed = m_informed_peers.size() >= needed;
}

lease_confirm_reply lease_voter::confirm(lease_confirm_request const& request,
                                         time_point now)
{
    lease_confirm_reply reply;
    reply.m_sender = m_self;
    reply.m_incarnation = m_incarnation;
    reply.m_round = request.m_round;
    reply.m_informed = m_informed;
    for (lease_claim const& claim : request.m_claims)
    {
        bool const is_newest = may_confirm(claim, now);
        // A claim is sent after its row was written, so older holders must not
        // be confirmed any more, even if this claim is rejected for now.
        note_claim(claim);
        if (is_newest && !is_promised_to_other(claim.m_row, request, now))
        {
            m_promises[claim.m_row] = {request.m_sender, request.m_incarnation,
                                       now + m_promise_time};
            reply.m_confirmed.push_back(claim.m_row);
        }
    }
    if (request.m_want_known)
    {
        for (auto const& [row, claim] : m_known)
        {
            reply.m_known.push_back(claim);
        }
    }
    return reply;
}

bool lease_voter::is_informed() const
{
    return m_informed;
}

bool lease_voter::needs_peer_claims(time_point now) const
{
    return !m_informed && now >= m_ready_at;
}

fence_number lease_voter::known_fence(std::string const& row) const
{
    auto const found = m_known.find(row);
    return found == m_known.end() ? fence_number() : found->second.m_fence;
}

void lease_voter::note_claim(lease_claim const& claim)
{
    lease_claim& known = m_known[claim.m_row];
    if (known.m_row.empty() || claim.m_fence > known.m_fence)
    {
        known = claim;
    }
}

bool lease_voter::may_confirm(lease_claim const& claim, time_point now) const
{
    auto const free_fence = m_free_fences.find(claim.m_row);
    bool const follows_free =
        free_fence != m_free_fences.end() && claim.m_fence > free_fence->second;
    auto const first_lease = m_first_leases.find(claim.m_row);
    bool const is_first = now < m_ready_at &&
                          first_lease != m_first_leases.end() &&
                          first_lease->second == claim;
    if (!m_informed && !follows_free && !is_first)
    {
        return false;
    }
    auto const known = m_known.find(claim.m_row);
    return known == m_known.end() || claim.m_fence > known->second.m_fence ||
           claim == known->second;
}

bool lease_voter::is_promised_to_other(std::string const& row,
                                       lease_confirm_request const& request,
                                       time_point now) const
{
    auto const found = m_promises.find(row);
    return found != m_promises.end() && now < found->second.m_until &&
           std::pair(found->second.m_holder, found->second.m_incarnation) !=
               std::pair(request.m_sender, request.m_incarnation);
}

} // namespace daisylead::lease
