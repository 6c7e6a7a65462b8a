/** @file Confirmations that an instance gives to holders of leases. */
#pragma once

#include <daisylead/lease/lease_type.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisylead::lease
{

/** Time for which a write or a quorum makes an instance the holder, by its own
 *  clock from before it sent the request. */
constexpr duration default_lease_time = std::chrono::seconds(4);
/** Added by everybody but the holder. Clock rates that differ by 1% either way
 *  need 2% of the lease time; the rest covers an effect of the holder that
 *  follows its check of the lease. */
constexpr duration default_lease_margin = std::chrono::milliseconds(500);

/** Newest lease of one row, as the table showed it. */
struct observed_lease
{
    lease_claim m_claim;         ///< content; empty token: free
    std::int64_t m_version = 0;  ///< 0: absent
    std::int64_t m_sequence = 0; ///< number of the holder's write
};

/** Gives at most one holder of a row a promise at a time. After a restart it
 *  has forgotten its promises, so it confirms nothing until one lease time has
 *  passed and it has read the rows since, from the table or from enough peers.
 *  A row that the table shows as free needs no waiting: it was given back by
 *  its holder, and a promise to a later one follows that one's write. Nor does
 *  the first lease of a row that the table shows: no forgotten promise can have
 *  been to another holder, so a new fleet needs no wait. This holds during the
 *  wait only; afterwards a complete read is due anyway. */
class lease_voter
{
public:
    /** @param started_at start of this process
     *  @param lease_time see default_lease_time
     *  @param margin see default_lease_margin */
    lease_voter(instance_id self, incarnation value, time_point started_at,
                duration lease_time = default_lease_time,
                duration margin = default_lease_margin);

    /** The table was read completely.
     *  @param sent_at when the read was sent */
    void table_read(std::vector<observed_lease> const& rows,
                    time_point sent_at);

    /** A peer told what it knows.
     *  @param sent_at when it was asked
     *  @param needed number of such peers that makes this instance informed */
    void peer_claims_received(lease_confirm_reply const& reply,
                              time_point sent_at, std::size_t needed);

    /** @return reply to send back; own claims are put to it in the same way.
     *  @pre the sender's incarnation is not superseded */
    lease_confirm_reply confirm(lease_confirm_request const& request,
                                time_point now);

    /** @return whether it knows the newest lease of every row. */
    bool is_informed() const;

    /** @return whether peers have to be asked for what they know. */
    bool needs_peer_claims(time_point now) const;

    /** @return greatest fencing number seen for the row. */
    fence_number known_fence(std::string const& row) const;

private:
    struct promise
    {
        instance_id m_holder;      ///< supported instance
        incarnation m_incarnation; ///< its incarnation
        time_point m_until;        ///< end of the promise
    };

    void note_claim(lease_claim const& claim);
    bool may_confirm(lease_claim const& claim, time_point now) const;
    bool is_promised_to_other(std::string const& row,
                              lease_confirm_request const& request,
                              time_point now) const;

    instance_id m_self;
    incarnation m_incarnation;
    time_point m_ready_at; ///< when all forgotten promises have ended
    duration m_promise_time;
    bool m_informed = false;
    std::set<instance_id> m_informed_peers;
    std::map<std::string, lease_claim> m_known;
    std::map<std::string, promise> m_promises;
    /** Rows that this incarnation saw free, with their fencing number. */
    std::map<std::string, fence_number> m_free_fences;
    /** First leases of rows that this incarnation read in the table. */
    std::map<std::string, lease_claim> m_first_leases;
};

} // namespace daisylead::lease
