/** @file Quarantine of requests that are suspected of crashing upstreams. */
#pragma once

#include <daisylead/request/lru_map_base.hpp>
#include <daisylead/request/request_type.hpp>

#include <chrono>
#include <set>
#include <utility>
#include <vector>

namespace daisylead::request
{

/** Identity of a suspected request: organisation and digest of its body.
 *  Requests of other organisations are never affected. */
struct suspect_id
{
    organisation_id m_organisation; ///< organisation that sent the request
    std::string m_digest;           ///< request_info::m_body_digest

    bool operator==(suspect_id const&) const = default;
};

/** One incarnation of an upstream. */
struct upstream_incarnation
{
    upstream_id m_upstream;    ///< the upstream
    incarnation m_incarnation; ///< changes with each restart

    auto operator<=>(upstream_incarnation const&) const = default;
};

/** Change of a suspect's state, sent to the peers. */
struct quarantine_update
{
    suspect_id m_suspect;         ///< the suspected request
    upstream_incarnation m_crash; ///< incarnation on which it ran; crashed
                                  ///< unless m_cleared is set
    /** The request completed, so its suspicion is withdrawn. */
    bool m_cleared = false;
};

enum class quarantine_verdict
{
    allowed,  ///< not a suspect
    isolated, ///< may run only on an upstream that runs no suspect
    refused   ///< must not run until the period ends
};

/** Result of quarantine::check. */
struct quarantine_decision
{
    /** Whether the request may run. */
    quarantine_verdict m_verdict = quarantine_verdict::allowed;
    duration m_retry_after{}; ///< remaining time of a refusal
};

/** Limits of the quarantine. */
struct quarantine_options
{
    /** Duration of a suspicion or a refusal. */
    duration m_period = std::chrono::minutes(5);
    /** Limit of organisations with suspects. */
    std::size_t m_max_organisations = 256;
    /** Limit of suspects per organisation, so that one organisation cannot
     *  evict the suspects of another. */
    std::size_t m_max_digests = 128;
};

/** Counts the upstream crashes per request. A crash makes every request a
 *  suspect that was in flight on the upstream. A request is refused after
 *  crashes of two distinct incarnations. A suspect that completes is cleared.
 */
class quarantine
{
public:
    explicit quarantine(quarantine_options options);

    /** Sets the period; it applies from the next crash. */
    void set_period(duration period);

    /** Records the start of an attempt.
     *  @param target incarnation of the upstream as known at this time */
    void attempt_begun(attempt_id const& attempt, suspect_id const& request,
                       upstream_incarnation const& target);

    /** Records the end of an attempt. A broken attempt is kept for a short
     *  time, because a crash is detected some time after its connections broke.
     *  @return updates for the peers */
    std::vector<quarantine_update> attempt_ended(attempt_id const& attempt,
                                                 attempt_outcome outcome,
                                                 time_point now);

    /** Records a crash: the upstream reports a new incarnation, or its
     *  connection broke and a new one was refused. Repeated reports of a crash
     *  have no further effect.
     *  @param crash the incarnation that ended
     *  @return updates for the peers */
    std::vector<quarantine_update>
    upstream_crashed(upstream_incarnation const& crash, time_point now);

    /** Applies an update of a peer. */
    void on_peer_update(quarantine_update const& update, time_point now);

    /** @return whether the request may run now, and where. */
    quarantine_decision check(suspect_id const& request, time_point now);

    /** @return whether a suspect is in flight on the upstream. Called for an
     *  isolated request before its attempt begins. */
    bool has_suspect_in_flight(upstream_id const& upstream, time_point now);

    /** @return number of tracked attempts, for metrics. */
    std::size_t attempts_tracked() const
    {
        return m_in_flight.size() + m_recently_broken.size();
    }

private:
    struct tracked_attempt
    {
        suspect_id m_request;          ///< request of the attempt
        upstream_incarnation m_target; ///< incarnation that runs it
        time_point m_broken_at{};      ///< set when the attempt broke
    };

    struct suspect
    {
        /** Distinct incarnations, at most two. */
        std::set<upstream_incarnation> m_crashes;
        time_point m_expires_at; ///< end of the suspicion or refusal
    };

    using digest_map = lru_map<std::string, suspect>;

    suspect* find(suspect_id const& request, time_point now);
    bool is_suspected(suspect_id const& request, time_point now);
    void add_crash(suspect_id const& request, upstream_incarnation const& crash,
                   time_point now);
    bool clear(suspect_id const& request, time_point now);

    quarantine_options m_options;
    std::unordered_map<attempt_id, tracked_attempt> m_in_flight;
    /** Broken attempts, oldest first. */
    std::list<tracked_attempt> m_recently_broken;
    lru_map<organisation_id, digest_map> m_suspects;
};

} // namespace daisylead::request
