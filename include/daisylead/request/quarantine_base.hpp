/** @file Requests that are suspected of crashing upstreams. */
#pragma once

#include <daisylead/request/lru_map_base.hpp>
#include <daisylead/request/request_type.hpp>

#include <chrono>
#include <set>
#include <utility>
#include <vector>

namespace daisylead::request
{

/** What a request is known by: organisation and digest of its body. Requests of
 *  other organisations are never affected. */
struct suspect_id
{
    organisation_id m_organisation; ///< owner
    std::string m_digest;           ///< request_info::m_body_digest

    bool operator==(suspect_id const&) const = default;
};

/** A crashed life of an upstream. */
struct upstream_incarnation
{
    upstream_id m_upstream;    ///< the upstream
    incarnation m_incarnation; ///< the life that ended

    auto operator<=>(upstream_incarnation const&) const = default;
};

/** What peers have to know of a suspect. */
struct quarantine_update
{
    suspect_id m_suspect;         ///< the request
    upstream_incarnation m_crash; ///< crash during which it ran
    bool m_cleared = false;       ///< it finished since; no crash is reported
};

enum class quarantine_verdict
{
    allowed,  ///< not a suspect
    isolated, ///< may run on an upstream where no suspect runs
    refused   ///< is not run for now
};

/** Whether a request may run now. */
struct quarantine_decision
{
    quarantine_verdict m_verdict = quarantine_verdict::allowed; ///< the answer
    duration m_retry_after{}; ///< when refused: until the end of the period
};

/** Limits of the quarantine. */
struct quarantine_options
{
    duration m_period = std::chrono::minutes(5); ///< of refusal and suspicion
    std::size_t m_max_organisations = 256;       ///< with suspects
    std::size_t m_max_digests = 128; ///< of one organisation, so that it cannot
                                     ///< displace the suspects of another
};

/** Counts the crashes in which a request took part. A crash makes all requests
 *  suspects that were in flight on the upstream; two crashes of distinct lives
 *  refuse a request; a suspect that finishes is cleared. */
class quarantine
{
public:
    explicit quarantine(quarantine_options options);

    /** Takes the period of a new configuration; it holds from the next crash.
     */
    void set_period(duration period);

    /** An attempt is sent.
     *  @param target life of the upstream as known at this time */
    void attempt_begun(attempt_id const& attempt, suspect_id const& request,
                       upstream_incarnation const& target);

    /** An attempt ended. A broken one is remembered for a short time, because
     *  crashes are noticed late.
     *  @return news for the peers */
    std::vector<quarantine_update> attempt_ended(attempt_id const& attempt,
                                                 attempt_outcome outcome,
                                                 time_point now);

    /** The upstream has a new incarnation, or its connection broke and a new
     *  one was refused. May be told more than once.
     *  @param crash the life that ended
     *  @return news for the peers */
    std::vector<quarantine_update>
    upstream_crashed(upstream_incarnation const& crash, time_point now);

    /** Takes news of a peer. */
    void on_peer_update(quarantine_update const& update, time_point now);

    /** @return whether the request may run now. */
    quarantine_decision check(suspect_id const& request, time_point now);

    /** @return whether a suspect is in flight on the upstream. Asked for a
     *  request that must run alone, before its attempt begins. */
    bool has_suspect_in_flight(upstream_id const& upstream, time_point now);

    /** @return attempts that are tracked, for metrics. */
    std::size_t attempts_tracked() const
    {
        return m_in_flight.size() + m_recently_broken.size();
    }

private:
    struct tracked_attempt
    {
        suspect_id m_request;          ///< what runs
        upstream_incarnation m_target; ///< where it runs
        time_point m_broken_at{};      ///< set once it broke
    };

    struct suspect
    {
        std::set<upstream_incarnation>
            m_crashes;           ///< distinct lives, at most two
        time_point m_expires_at; ///< end of suspicion or refusal
    };

    using digest_map = lru_map<std::string, suspect>;

    suspect* find(suspect_id const& request, time_point now);
    bool is_suspected(suspect_id const& request, time_point now);
    void add_crash(suspect_id const& request, upstream_incarnation const& crash,
                   time_point now);
    bool clear(suspect_id const& request, time_point now);
    void drop_expired(time_point now);

    quarantine_options m_options;
    std::unordered_map<attempt_id, tracked_attempt> m_in_flight;
    std::list<tracked_attempt>
        m_recently_broken; ///< ended lately, oldest first
    lru_map<organisation_id, digest_map> m_suspects;
};

} // namespace daisylead::request
