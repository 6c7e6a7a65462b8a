/** @file Messages between the clients and the owner of fleet token limits. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <vector>

namespace daisylead::limits
{

/** Sequence number of a reserve message, increasing within an incarnation of
 * its sender. */
using reservation_number = quantity<struct reservation_tag>;

/** Usage of one granted reservation. The counts are cumulative and never
 *  decrease, so lost, duplicated and reordered reports do no harm. */
struct usage_report
{
    organisation_id m_organisation; ///< organisation it was granted to
    /** Lease under which it was granted; 0 if no reply was received. */
    fence_number m_fence;
    reservation_number m_reservation; ///< the reservation
    token_count m_refund;             ///< cumulative unused tokens
    token_count m_extra;              ///< cumulative use beyond the reservation
    bool m_closed = false;            ///< this is the last report
};

/** Requests tokens from the owner. Each report in it also confirms that the
 * rest of its reservation, after the refund, counts as used. */
struct reserve_request
{
    instance_id m_sender;                ///< requesting instance
    incarnation m_incarnation;           ///< its incarnation
    organisation_id m_organisation;      ///< organisation to charge
    reservation_number m_reservation;    ///< number of this message
    std::int64_t m_sent_at = 0;          ///< sender's clock, ns; only echoed
    std::vector<token_count> m_amounts;  ///< one per waiting call
    std::vector<usage_report> m_reports; ///< of earlier reservations
};

enum class reserve_status
{
    decided,     ///< m_granted and m_retry_after are valid
    not_owner,   ///< the receiver does not hold the lease of the shard
    unknown,     ///< the organisation is not configured on the receiver
    out_of_date, ///< older than a message already handled; nothing granted
};

/** Answer to a reserve_request. */
struct reserve_reply
{
    reserve_status m_status = reserve_status::not_owner; ///< outcome
    organisation_id m_organisation;                      ///< echoed
    reservation_number m_reservation;                    ///< echoed
    std::int64_t m_sent_at = 0;                          ///< echoed
    fence_number m_fence; ///< lease under which the tokens were granted
    /** One per amount: whether it was granted. */
    std::vector<bool> m_granted;
    /** The bucket is less than half full. Unconfirmed reservations do not
     * refill, so the sender should confirm without waiting for its next call.
     */
    bool m_confirm_soon = false;
    /** One per amount, nanoseconds: 0 if granted, else the time until the
     * bucket has that many tokens, provided that no other call takes any. */
    std::vector<std::int64_t> m_retry_after;
};

/** Returns unused tokens, possibly of several organisations. The reply is
 *  empty. */
struct settle
{
    instance_id m_sender;                ///< reporting instance
    incarnation m_incarnation;           ///< its incarnation
    std::vector<usage_report> m_reports; ///< of reservations of the sender
};

} // namespace daisylead::limits
