/** @file Owner side of the fleet token limits. */
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

/** Time for which a reservation can be used, from when its request was sent, by
 *  the clock of the requesting instance. It exceeds the round-trip time between
 *  regions, and bounds how long a new owner must wait before it grants. */
constexpr duration default_validity = std::chrono::milliseconds(500);

/** A lease that this instance currently holds. */
struct held_lease
{
    fence_number m_fence;     ///< fencing token of the lease
    time_point m_acquired_at; ///< by the local clock
};

/** Hooks of the owner. */
struct owner_hooks
{
    /** @return lease of the organisation's shard; none if it is not held */
    std::function<std::optional<held_lease>(organisation_id const&,
                                            time_point now)>
        m_lease;
};

/** Keeps one bucket for each organisation of its shards and answers reserve
 *  messages. Buckets are updated only when a message is handled, so idle
 *  organisations need no timer. */
class limit_owner
{
public:
    explicit limit_owner(owner_hooks hooks,
                         duration validity = default_validity);

    /** Applies a new configuration. A higher rate or burst does not raise the
     *  level of a bucket, and the bucket of an organisation that is added again
     *  after its removal starts empty. */
    void set_limits(std::vector<config::organisation> const& organisations,
                    int static_share_percent, time_point now);

    /** @param now local time, read after the message was received */
    reserve_reply handle(reserve_request const& request, time_point now);

    /** @param now local time, read after the message was received */
    void handle(settle const& message, time_point now);

    /** @return tokens that can be reserved now; none if this instance is not
     * the owner. Used by the state dump. */
    std::optional<double> level(organisation_id const& organisation,
                                time_point now);

private:
    using reservation_key =
        std::tuple<instance_id, incarnation, reservation_number>;

    struct reservation
    {
        double m_tokens = 0;            ///< granted
        double m_refunded = 0;          ///< total refunded
        double m_extra = 0;             ///< total charged beyond m_tokens
        bool m_pending = true;          ///< neither confirmed nor expired
        bucket_sequence m_sequence = 0; ///< valid if not pending
    };

    struct client_state
    {
        incarnation m_incarnation;  ///< highest received
        reservation_number m_last;  ///< highest received
        reserve_reply m_last_reply; ///< returned again for a duplicate
    };

    struct reservation_expiry
    {
        time_point m_expires_at; ///< the client cannot use it after this
        reservation_key m_key;   ///< the reservation
    };

    struct account
    {
        account(bucket_limit limit, held_lease lease)
            : m_fence(lease.m_fence), m_bucket(limit, lease.m_acquired_at)
        {
        }

        fence_number m_fence;  ///< lease under which it was created
        token_bucket m_bucket; ///< current level
        /** When the last reservation of a previous owner expires; none once
         *  that time has passed. */
        std::optional<time_point> m_blocked_until;
        double m_blocked_tokens = 0; ///< reserved until m_blocked_until
        std::map<reservation_key, reservation> m_reservations;
        std::deque<reservation_expiry> m_expiries; ///< in order of expiry
        std::map<instance_id, client_state> m_clients;
    };

    bool is_known(organisation_id const& organisation) const;
    /** @return account of the organisation, created if needed and advanced to
     *  now; nullptr if it is unknown or this instance is not the owner */
    account* refresh_account(organisation_id const& organisation,
                             time_point now);
    void advance(account& item, time_point now) const;
    /** Removes a confirmed reservation if there are too many. */
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
    /** @return validity of a reservation with an allowance for clock drift */
    duration reservation_lifetime() const;

    owner_hooks m_hooks;
    duration m_validity;
    std::map<organisation_id, bucket_limit> m_limits;
    std::set<organisation_id> m_removed; ///< have a zero limit in m_limits
    std::map<organisation_id, account> m_accounts;
};

} // namespace daisylead::limits
