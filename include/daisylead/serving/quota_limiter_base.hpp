/** @file Limits of organisations over all instances, by exchange of use. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisylead::serving
{

/** Limit of one organisation over all instances. */
struct quota_limit
{
    double m_rate = 0;  ///< units per second; 0: no limit
    double m_burst = 0; ///< units

    bool operator==(quota_limit const&) const = default;
};

/** Use of an organisation at one instance since its start, in units. */
using quota_use = std::pair<organisation_id, std::int64_t>;

/** A limit with what is left of it at this instance. */
struct quota_state
{
    quota_limit m_limit; ///< in force
    double m_left = 0;   ///< units; below 0: a debt
};

/** A run of a peer's process. */
struct peer_run
{
    std::int64_t m_started = 0; ///< identifies the run
    duration m_uptime{};        ///< time since its start
};

/** What a peer's report of use stands for. */
struct use_source
{
    std::int64_t m_instances = 1; ///< that it speaks for
    bool m_forwards = false;      ///< this instance speaks for it
    /** Use that it told another relay before; the rest is new to the fleet. */
    std::optional<std::vector<quota_use>> m_reported_use;
};

/** A local bucket per organisation that is charged with the use of this
 *  instance at once and with that of peers as they tell it. While a peer is
 *  silent, it is charged with the equal share of the rate of the instances that
 *  it speaks for. What they use until their news arrives is charged ahead, at
 *  their latest pace. Near the limit, only a part of the requests is admitted,
 *  so that instances that hear late of each other do not admit all in turns.
 *
 *  Load that it answers: an organisation that asks for several times its rate
 *  at all instances at once. */
class quota_limiter
{
public:
    /** @param silence_timeout without news for this long, a peer counts as
     * silent
     *  @param opening a new bucket holds what its limit yields in this time */
    quota_limiter(duration silence_timeout, duration initial_fill_time);

    /** Takes the usual age of the news of peers, which is charged ahead. */
    void set_news_age(duration age);

    /** Until a time, this many instances count as running: those that have not
     *  told their use yet are charged with their equal share of the rate.
     *  @param count with this instance */
    void expect_instances(std::size_t count, time_point until);

    /** Takes the limit in force. A new bucket is not full: what the
     *  organisation used before this process started is not known. */
    void set_limit(organisation_id const& owner, quota_limit limit,
                   time_point now);

    /** Charges the organisation if it is within its limit.
     *  @return nothing if it is, else the time until it will be */
    std::optional<duration> charge(organisation_id const& owner,
                                   std::int64_t units, time_point now);

    /** @return the limit and what was left of it at the last use of it; nothing
     *          for an organisation without a limit */
    std::optional<quota_state> state_of(organisation_id const& owner) const;

    /** Returns units of a request that did not run. */
    void refund(organisation_id const& owner, std::int64_t units);

    /** A peer tells its use since its start. What it used before this process
     *  knew it is charged if the peer is the younger one.
     *  @param run the peer's process and its time since its start
     *  @param source what the report stands for */
    void note_peer(instance_id const& peer, peer_run run,
                   std::vector<quota_use> const& use, time_point now,
                   use_source source = {});

    /** The peer has left; it is no longer charged. */
    void drop_peer(instance_id const& peer);

    /** @return use since the start, of this instance and of those that it
     *          speaks for, for the peers. */
    std::vector<quota_use> own_use() const;

    /** A relay has taken what own_use() was at an earlier time. */
    void note_reported_use(std::vector<quota_use> use);

    /** @return use that a relay has taken. */
    std::vector<quota_use> const& reported_use() const
    {
        return m_reported_use;
    }

    /** @return use of the fleet since the start as far as known, without that
     *          of one peer, for that peer. */
    std::vector<quota_use> use_without(instance_id const& peer) const;

private:
    struct bucket
    {
        quota_limit m_limit;
        double m_level = 0;
        time_point m_opened;
        time_point m_updated_at;
        std::int64_t m_own = 0;       ///< charged here since the start
        std::int64_t m_forwarded = 0; ///< of peers that it speaks for
        std::int64_t m_peer_use = 0;  ///< of all peers since the start
        double m_use_rate = 0; ///< use of all peers per second, as expected
        double m_dropped_use_rate =
            0; ///< part of it by peers that were dropped
        double m_admitted_fraction =
            1; ///< of the requests that is admitted at most
        double m_admission_credit =
            0; ///< near the limit, a request needs a whole one
    };

    /** Use of a peer that was charged before it was told. */
    struct expected_use
    {
        double m_use_rate = 0; ///< units per second
        double m_charged = 0;  ///< units
    };

    struct peer_use
    {
        std::int64_t m_started = 0;
        time_point m_last_contact;
        use_source m_source;
        std::unordered_map<organisation_id, std::int64_t> m_use;
        /** Part of it that was charged here. */
        std::unordered_map<organisation_id, std::int64_t> m_counted;
        std::unordered_map<organisation_id, expected_use> m_expected_use;
    };

    void advance(organisation_id const& owner, bucket& item, time_point now);
    void note_use(bucket& item, peer_use& known, organisation_id const& owner,
                  std::int64_t units) const;
    void note_use_rate(bucket& item, peer_use& known,
                       organisation_id const& owner, double units,
                       duration since);

    duration m_silence_timeout;
    duration m_initial_fill_time;
    duration m_news_age{};
    std::vector<quota_use> m_reported_use;
    std::size_t m_expected_instances = 1;
    time_point m_expected_until;
    std::unordered_map<organisation_id, bucket> m_buckets;
    std::unordered_map<instance_id, peer_use> m_peers;
};

} // namespace daisylead::serving
