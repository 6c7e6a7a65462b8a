/** @file Vote of an instance on the holders of leases. */
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

/** Lifetime of a lease after a committed write or a confirmation by a quorum,
 *  by the holder's clock from before it sent the request. */
constexpr duration default_lease_time = std::chrono::seconds(4);
/** All instances but the holder add this to the lease time. Clock rates that
 *  deviate by 1% either way need 2% of the lease time; the rest covers an
 *  action that the holder completes after it checked the lease. */
constexpr duration default_lease_margin = std::chrono::milliseconds(500);

/** Lease of a row as read from the table. */
struct observed_lease
{
    lease_claim m_claim;         ///< parsed value; empty token: free
    std::int64_t m_version = 0;  ///< of the row; 0: absent
    std::int64_t m_sequence = 0; ///< counts the holder's writes
};

/** Promises each row to at most one holder at a time.
 *
 *  A restart loses the promises. The voter therefore confirms nothing until the
 *  lease time plus margin has passed and it is informed: it has read the rows
 *  since, from the table or from enough peers. There are two exceptions:
 *  - A row that was read as free: its holder released it, and a promise to a
 *    later holder comes after that holder's write.
 *  - The first lease of a row, as read from the table: no lost promise can have
 *    been to another holder. It lets a new fleet start without the wait, and
 *    applies during the wait only, since a complete read is due afterwards. */
class lease_voter
{
public:
    /** @param started_at start of this process
     *  @param lease_time see default_lease_time
     *  @param margin see default_lease_margin */
    lease_voter(instance_id self, incarnation value, time_point started_at,
                duration lease_time = default_lease_time,
                duration margin = default_lease_margin);

    /** Handles a complete read of the table.
     *  @param sent_at when the read was sent */
    void table_read(std::vector<observed_lease> const& rows,
                    time_point sent_at);

    /** Handles the newest leases that a peer knows.
     *  @param sent_at when the request was sent
     *  @param needed number of informed peers that make this voter informed */
    void peer_claims_received(lease_confirm_reply const& reply,
                              time_point sent_at, std::size_t needed);

    /** Votes on the claims of a request. The instance's own claims are passed
     *  to its own voter too.
     *  @pre the sender's incarnation is not superseded
     *  @return reply to send back */
    lease_confirm_reply confirm(lease_confirm_request const& request,
                                time_point now);

    /** @return whether the voter knows the newest lease of every row. */
    bool is_informed() const;

    /** @return whether to ask peers for the newest leases that they know. */
    bool needs_peer_claims(time_point now) const;

    /** @return greatest fencing number seen for the row, 0 if none. */
    fence_number known_fence(std::string const& row) const;

private:
    struct promise
    {
        instance_id m_holder;      ///< confirmed instance
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
    time_point m_ready_at; ///< when all promises before the start end
    duration m_promise_time;
    bool m_informed = false;
    std::set<instance_id> m_informed_peers;
    std::map<std::string, lease_claim> m_known;
    std::map<std::string, promise> m_promises;
    /** Fencing numbers of rows that this incarnation read as free. */
    std::map<std::string, fence_number> m_free_fences;
    /** First leases of rows, as this incarnation read them from the table. */
    std::map<std::string, lease_claim> m_first_leases;
};

} // namespace daisylead::lease
