/** @file Owner of the token levels of organisations. */
#pragma once

#include <daisylead/config/configuration_type.hpp>
#include <daisylead/limits/limit_type.hpp>
#include <daisylead/limits/token_bucket_base.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace daisylead::limits
{

/** How long a reservation can be used, by the clock of the instance that asked,
 *  from when it sent its message. It exceeds the round trip between regions
 *  and bounds what a new owner has to wait out. */
constexpr duration default_validity = std::chrono::milliseconds(500);

/** A lease that this instance holds now. */
struct held_lease
{
    fence_number m_fence;     ///< fencing number of the lease
    time_point m_acquired_at; ///< when it became the holder, own clock
};

/** Hooks of the owner. */
struct owner_hooks
{
    /** @return the lease of the organisation's shard, if it is held now. */
    std::function<std::optional<held_lease>(organisation_id const&,
                                            time_point now)>
        m_lease;
};

/** Keeps one bucket for each organisation of its shards and answers reserve
 *  messages. All work happens when a message comes; idle organisations need no
 *  timer. */
class limit_owner
{
public:
    explicit limit_owner(owner_hooks hooks,
                         duration validity = default_validity);

    /** A configuration came into force. A higher rate or burst does not raise
     *  the level of a bucket, and an organisation that returns after it was
     *  removed starts empty. */
    void set_limits(std::vector<config::organisation> const& organisations,
                    int static_share_percent, time_point now);

    /** @param now read after the message was received */
    reserve_reply handle(reserve_request const& request, time_point now);

    /** @param now read after the message was received */
    void handle(settle const& message, time_point now);

    /** @return tokens that can be reserved now, if this instance is the owner;
     *  for the state dump. */
    std::optional<double> level(organisation_id const& organisation,
                                time_point now);

private:
    using reservation_key =
        std::tuple<instance_id, incarnation, reservation_number>;

    struct reservation
    {
        double m_tokens = 0;            ///< granted
        double m_refunded = 0;          ///< so far
        double m_extra = 0;             ///< charged beyond m_tokens so far
        bool m_pending = true;          ///< not confirmed, not expired
        bucket_sequence m_sequence = 0; ///< valid once it is not pending
    };

    struct client_state
    {
        incarnation m_incarnation;  ///< newest seen
        reservation_number m_last;  ///< newest seen
        reserve_reply m_last_reply; ///< repeated for a duplicate
    };

    struct reservation_expiry
    {
        time_point m_expires_at; ///< when it cannot be used any more
        reservation_key m_key;   ///< the reservation
    };

    struct account
    {
        account(bucket_limit limit, held_lease lease)
            : m_fence(lease.m_fence), m_bucket(limit, lease.m_acquired_at)
        {
        }

        fence_number m_fence;  ///< lease it belongs to
        token_bucket m_bucket; ///< level
        /** End of the time in which reservations of an earlier owner can be
         *  used; absent afterwards. */
        std::optional<time_point> m_blocked_until;
        double m_blocked_tokens = 0; ///< reserved until then
        std::map<reservation_key, reservation> m_reservations;
        std::deque<reservation_expiry> m_expiries; ///< in order of time
        std::map<instance_id, client_state> m_clients;
    };

    bool is_known(organisation_id const& organisation) const;
    account* refresh_account(organisation_id const& organisation,
                             time_point now);
    void advance(account& item, time_point now) const;
    static void evict_confirmed(account& item);
    static void expire(account& item, reservation_key const& key);
    void apply_report(account& item, instance_id const& sender,
                      incarnation sender_incarnation,
                      usage_report const& report) const;
    static void settle_pending(account& item, reservation& entry,
                               double refund);
    static void settle_confirmed(account& item, reservation& entry,
                                 double refund);
    static void charge_extra(account& item, reservation& entry, double extra);
    void grant(account& item, reserve_request const& request, time_point now,
               reserve_reply& reply) const;
    duration reservation_lifetime() const;

    owner_hooks m_hooks;
    duration m_validity;
    std::map<organisation_id, bucket_limit> m_limits;
    std::set<organisation_id> m_removed; ///< m_limits has zero for them
    std::map<organisation_id, account> m_accounts;
};

} // namespace daisylead::limits
