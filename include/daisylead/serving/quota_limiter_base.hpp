/** @file Fleet-wide rate limits of organisations, by exchange of use. */
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

/** Fleet-wide rate limit of one organisation. */
struct quota_limit
{
    double m_rate = 0;  ///< units per second; 0: no limit
    double m_burst = 0; ///< units; size of the bucket

    bool operator==(quota_limit const&) const = default;
};

/** Units that an organisation used at an instance since its start. */
using quota_use = std::pair<organisation_id, std::int64_t>;

/** State of a limit at this instance. */
struct quota_state
{
    quota_limit m_limit; ///< in force
    double m_left = 0;   ///< level of the bucket in units; negative: debt
};

/** One run of the process of a peer. */
struct peer_run
{
    std::int64_t m_started = 0; ///< start time; identifies the run
    duration m_uptime{};        ///< time since the start
};

/** Scope of a peer's report of use. */
struct use_source
{
    std::int64_t m_instances = 1; ///< instances whose use is included
    /** This instance includes the use in its own reports. */
    bool m_forwards = false;
    /** The peer reports the use of all other instances. */
    bool m_covers_fleet = false;
    /** Use that the peer has already reported to another relay; only the rest
     *  is new to the fleet. */
    std::optional<std::vector<quota_use>> m_reported_use;
};

/** Token bucket per organisation that is charged with the use of this instance
 *  immediately and with that of peers when they report it. Use that peers have
 *  not reported yet is charged in advance at their latest use rate. Without
 *  reports for the silence timeout, a peer is also charged with the equal share
 *  of the rate of the instances that it reports for. Near the limit, only a
 *  fraction of the requests is admitted; otherwise the delay of the reports
 *  makes the instances alternate between admitting all and refusing all.
 *
 *  Designed for an organisation that sends several times its rate to all
 *  instances at once. */
class quota_limiter
{
public:
    /** @param silence_timeout time without a report after which a peer counts
     *          as silent
     *  @param initial_fill_time a new bucket holds the refill of this time */
    quota_limiter(duration silence_timeout, duration initial_fill_time);

    /** Sets the usual age of reports of peers; the use in that time is charged
     *  in advance. */
    void set_news_age(duration age);

    /** Until @p until, assumes that this many instances are running: those
     *  without a report are charged with their equal share of the rate.
     *  @param count including this instance */
    void expect_instances(std::size_t count, time_point until);

    /** Sets the limit in force. A new bucket is not full, as the use before the
     *  start of this process is unknown. */
    void set_limit(organisation_id const& owner, quota_limit limit,
                   time_point now);

    /** Charges the organisation if it is within its limit.
     *  @return nothing if charged, else the time to wait */
    std::optional<duration> charge(organisation_id const& owner,
                                   std::int64_t units, time_point now);

    /** @return the limit and the bucket level when it was last updated; nothing
     *          for an organisation without a limit */
    std::optional<quota_state> state_of(organisation_id const& owner) const;

    /** Returns the units of a request that did not run. */
    void refund(organisation_id const& owner, std::int64_t units);

    /** Records a report of the use of a peer since its start. Use before its
     *  first report is charged only if the peer started after this process.
     *  @param run the run of the peer and its uptime
     *  @param source scope of the report */
    void note_peer(instance_id const& peer, peer_run run,
                   std::vector<quota_use> const& use, time_point now,
                   use_source source = {});

    /** Removes a peer that has left. */
    void drop_peer(instance_id const& peer);

    /** @return use since the start to report to peers, of this instance and of
     *          those that it reports for. */
    std::vector<quota_use> own_use() const;

    /** Records that a relay has counted an earlier result of own_use(). */
    void note_reported_use(std::vector<quota_use> use);

    /** @return use that a relay has counted. */
    std::vector<quota_use> const& reported_use() const
    {
        return m_reported_use;
    }

    /** @return known use of the fleet since the start, without that of one
     *          peer, to report to that peer. */
    std::vector<quota_use> use_without(instance_id const& peer) const;

private:
    struct bucket
    {
        quota_limit m_limit;
        double m_level = 0;
        time_point m_opened;
        time_point m_updated_at;
        std::int64_t m_own = 0;       ///< use at this instance since the start
        std::int64_t m_forwarded = 0; ///< use by peers that it reports for
        std::int64_t m_peer_use = 0;  ///< use by all peers since the start
        double m_use_rate = 0; ///< expected use by peers, units per second
        double m_dropped_use_rate = 0; ///< part of m_use_rate by removed peers
        /** Units charged in advance for peers that no longer report; returned
         *  when other peers report that use. */
        double m_dropped_charged = 0;
        double m_admitted_fraction = 1; ///< max. fraction of requests admitted
        double m_admission_credit = 0;  ///< sum of fractions; a request costs 1
    };

    /** Use of a peer that is charged before it is reported. */
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
        /** Part of m_use that was charged here. */
        std::unordered_map<organisation_id, std::int64_t> m_counted;
        std::unordered_map<organisation_id, expected_use> m_expected_use;
        /** Units charged because the peer was silent. */
        std::unordered_map<organisation_id, double> m_silent_charged;
    };

    void advance(organisation_id const& owner, bucket& item, time_point now);
    void drop_expected_use(peer_use& known);
    void limit_returns(organisation_id const& owner, bucket& item);
    void return_silent_charge(bucket& item, peer_use& known,
                              organisation_id const& owner, bool is_new_run);
    static void return_dropped_charge(bucket& item, double unexpected_units);
    void note_use(bucket& item, peer_use& known, organisation_id const& owner,
                  std::int64_t units) const;
    void note_use_rate(bucket& item, peer_use& known,
                       organisation_id const& owner, double units,
                       duration since);

    duration m_silence_timeout;
    duration m_initial_fill_time;
    duration m_news_age{};
    bool m_had_fleet_report = false; ///< see use_source::m_covers_fleet
    std::vector<quota_use> m_reported_use;
    std::size_t m_expected_instances = 1;
    time_point m_expected_until;
    std::unordered_map<organisation_id, bucket> m_buckets;
    std::unordered_map<instance_id, peer_use> m_peers;
};

} // namespace daisylead::serving
