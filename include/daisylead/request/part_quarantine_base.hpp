/** @file Quarantine of prompt parts that crash upstreams. */
#pragma once

#include <daisylead/request/quarantine_base.hpp>

#include <bitset>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisylead::request
{

/** Hash of the id of a prompt part. */
enum class part_digest : std::uint64_t
{
};

/** @return the digest of a part with this id. */
part_digest digest_of_part(std::string const& id);

/** Prompt parts of the requests that an upstream was answering when it
 *  crashed, as seen by one instance. */
struct crash_report
{
    upstream_incarnation m_crash;     ///< the incarnation that ended
    std::vector<part_digest> m_parts; ///< without duplicates
};

/** A part that requests must not have. */
struct blocked_part
{
    part_digest m_part{};                        ///< the part
    std::vector<upstream_incarnation> m_crashes; ///< that are blamed on it
    bool m_stored = false;                       ///< recorded in the store
};

/** Thresholds and limits of part_quarantine. */
struct part_quarantine_options
{
    /** Crash moments without an answer in between after which a part is
     *  blocked. An unrelated part of a request that was in flight at a crash
     *  has a good chance to be in flight at a second one. */
    std::size_t m_moments_to_block = 3;
    /** Crashes that follow each other within this time count as one moment, as
     *  upstreams that share a rack or an availability zone fail together. */
    duration m_moment_length = std::chrono::milliseconds(300);
    /** An answer that began this long before a crash did not cause it: an
     *  upstream crashes when it begins to answer. */
    duration m_answer_begin = std::chrono::seconds(1);
    /** Age of a crash from which it no longer counts. */
    duration m_crash_ttl = std::chrono::minutes(5);
    /** A block ends when no request with the part has come for this long. */
    duration m_block_period = std::chrono::minutes(10);
    /** Max. parts with crashes that are remembered. */
    std::size_t m_max_suspects = 1024;
};

/** Finds the prompt part that crashes upstreams, whatever else the requests
 *  hold. A crash counts against all parts of the requests that the upstream was
 *  beginning to answer; one complete answer refutes all crashes of its parts.
 *
 *  The state merges in any order: a crash is identified by the incarnation that
 *  ended, so it counts once however many instances report it. */
class part_quarantine
{
public:
    explicit part_quarantine(part_quarantine_options options);

    /** Records the start of an attempt.
     *  @param parts of the prompt that other requests may share */
    void attempt_begun(attempt_id const& attempt,
                       std::vector<part_digest> parts,
                       upstream_incarnation const& target);

    /** Records the first bytes of the answer. */
    void answer_begun(attempt_id const& attempt, time_point now);

    /** Records the end of an attempt. A broken attempt is kept until its
     *  upstream is known to have crashed.
     *  @return parts whose crashes a complete answer refutes, for the peers */
    std::vector<part_digest> attempt_ended(attempt_id const& attempt,
                                           attempt_outcome outcome,
                                           time_point now);

    /** Records that an upstream crashed. Only attempts that broke off count: an
     *  upstream that is merely unreachable may still be answering the others.
     *  @return the report for the peers; without parts if no attempt of this
     *          instance can have caused it */
    crash_report upstream_crashed(upstream_incarnation const& crash,
                                  time_point now);

    /** Records that an upstream lives, so that its attempts that broke off are
     *  no sign of a crash. */
    void upstream_reached(upstream_incarnation const& target);

    /** Merges a crash that a peer reports. */
    void on_peer_crash(crash_report const& report, time_point now);

    /** Merges complete answers that a peer reports. */
    void on_peer_answers(std::span<part_digest const> parts);

    /** Merges the blocked parts of a peer or of the store.
     *  @return parts whose block is refuted here, for the peers */
    std::vector<part_digest>
    on_blocked_parts(std::span<blocked_part const> parts, time_point now);

    /** @return a part that forbids a request with these parts, if there is
     *          one; the request extends its block. */
    std::optional<part_digest> find_blocked(std::span<part_digest const> parts,
                                            time_point now);

    /** Records that the store holds the block of a part. */
    void note_stored(part_digest part);

    /** The store may have lost the records of blocks. */
    void note_store_restored();

    /** Ends the blocks of parts that are no longer requested.
     *  @return these parts */
    std::vector<part_digest> take_expired(time_point now);

    /** @return all blocked parts, in any order. */
    std::vector<blocked_part> blocked_parts() const;

    /** @return digest of blocked_parts(), equal at instances that agree; 0: no
     *          part is blocked. */
    std::uint64_t blocked_digest() const;

    /** @return number of parts with crashes, for metrics. */
    std::size_t suspects() const
    {
        return m_suspects.size();
    }

private:
    /** Max. crashes that are remembered. */
    static constexpr std::size_t max_crashes = 128;

    /** A set of remembered crashes, by slot. */
    using crash_set = std::bitset<max_crashes>;

    struct known_crash
    {
        upstream_incarnation m_crash;
        time_point m_at; ///< when this instance learnt of it
    };

    struct tracked_attempt
    {
        std::vector<part_digest> m_parts;
        upstream_incarnation m_target;
        std::optional<time_point> m_answer_begun_at;
        time_point m_broken_at{};
    };

    struct suspect
    {
        crash_set m_counted; ///< crashes without a complete answer since
        crash_set m_refuted; ///< crashes that a complete answer refuted
        bool m_blocked = false;
        bool m_stored = false; ///< see blocked_part
        time_point m_last_crash_at;
        time_point m_requested_at; ///< last request while blocked
    };

    std::size_t slot_of(upstream_incarnation const& crash, time_point now);
    void drop_slot(std::size_t slot);
    void add_crash(part_digest part, std::size_t slot, time_point now);
    suspect& get_or_insert(part_digest part, time_point now);
    void evict_one();
    bool refute(part_digest part);
    std::size_t count_moments(crash_set const& crashes, time_point now) const;
    bool is_blamed(part_digest part, suspect const& item,
                   std::span<part_digest const> parts, time_point now) const;

    part_quarantine_options m_options;
    std::unordered_map<attempt_id, tracked_attempt> m_in_flight;
    /** Broken attempts, oldest first. */
    std::list<tracked_attempt> m_recently_broken;
    std::vector<known_crash> m_crashes; ///< by slot
    std::unordered_map<part_digest, suspect> m_suspects;
};

} // namespace daisylead::request
