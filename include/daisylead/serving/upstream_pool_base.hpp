/** @file State of all upstreams and the choice among them. */
#pragma once

#include <daisylead/serving/catalog_type.hpp>

#include <array>
#include <functional>
#include <list>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisylead::serving
{

/** Constants of the choice. */
struct pool_options
{
    /** A read that comes this long after the last one ends an outage of the
     *  store; three intervals of the readers. */
    duration m_outage_after = std::chrono::milliseconds(1500);
    /** Time after an outage in which upstreams whose entries lapsed may be
     *  missing; from the users' pages, which say about two seconds. */
    duration m_lapse_grace = std::chrono::milliseconds(2300);
    /** First pause of an upstream that cannot be reached; doubles. */
    duration m_backoff = std::chrono::milliseconds(400);
    /** Longest such pause. */
    duration m_max_backoff = std::chrono::seconds(3);
    /** Weight of a request that waits for its first bytes; measured prefill of
     *  a caption with a cached prefix. */
    duration m_waiting_cost = std::chrono::milliseconds(40);
    /** Weight of a request in progress: what it adds to a step. */
    duration m_running_cost = std::chrono::milliseconds(4);
    /** Cost of a prompt token that has to be fetched or computed. */
    duration m_token_cost = std::chrono::microseconds(12);
    /** Cost of leaving the availability zone: the round trip, and the price of
     *  bytes between zones. */
    duration m_zone_cost = std::chrono::milliseconds(4);
    /** From this age of a newer version on, engines with older weights are
     *  used only when the others are busy; answers on older weights lose a
     *  part of their worth from 1.5 s on. */
    duration m_prefer_newest_after = std::chrono::milliseconds(700);
    /** Cost of older weights from that age on. */
    duration m_old_weights_cost = std::chrono::milliseconds(40);
    /** From this age of a newer version on, older weights are not used. */
    duration m_old_weights_limit = std::chrono::milliseconds(7000);
    /** Cost of an engine whose memory the prompts in progress would fill once
     *  more than it has: about what a request takes from start to end, for
     *  which the next one waits. */
    duration m_memory_cost = std::chrono::milliseconds(1500);
    /** Part of an engine's memory that prompts in progress can use. */
    double m_usable_memory_fraction = 0.7;
    /** The same for an engine without a free slot or with
     * m_usable_memory_fraction of its memory in use: a request waits there
     * before it begins. From half of either on, the limit falls with what is in
     * use. */
    duration m_old_weights_limit_full = std::chrono::milliseconds(4500);
    /** Requests at one upstream over all instances, per slot. */
    double m_max_per_slot = 2.0;
    /** An engine counts as loading for this long after the last news that it
     *  does; the holder of the order lease repeats the news. */
    duration m_switching_ttl = std::chrono::milliseconds(1500);
    /** Prompt prefixes remembered for each engine. */
    std::size_t m_max_prefixes = 1024;
};

/** What has to be placed. */
struct placement_request
{
    service_id m_service;             ///< where it goes
    model_id m_model;                 ///< empty for plain services
    std::uint64_t m_prefix = 0;       ///< hash of the shared prefix; 0: none
    token_count m_prefix_tokens;      ///< its size
    token_count m_tokens;             ///< all of its prompt and output
    token_count m_capacity;           ///< memory of an engine; 0: unknown
    std::set<upstream_id> m_excluded; ///< tried already
    zone_id m_zone;                   ///< of this instance
};

enum class no_placement
{
    none,        ///< there is one
    no_upstream, ///< the service has no upstream that may be used
    all_busy     ///< all have as many requests as permitted
};

/** Where a request goes. */
struct placement
{
    no_placement m_reason = no_placement::none; ///< why there is none
    upstream_record m_upstream;                 ///< the chosen one
    std::int64_t m_weights = 0;   ///< version that it serves; 0: unknown
    bool m_likely_cached = false; ///< it served the prefix lately
    duration m_cost{};            ///< estimate
    std::size_t m_candidates = 0; ///< that were weighed
    std::int64_t m_in_flight = 0; ///< requests at it, all instances
};

/** Weights of an engine that the holder of the order lease reports. */
struct weights_news
{
    upstream_id m_upstream;     ///< the engine
    std::int64_t m_started = 0; ///< its start, Unix ms
    model_id m_model;           ///< the model
    std::int64_t m_version = 0; ///< loaded version
    bool m_switching = false;   ///< takes no new work while it loads
};

/** An upstream that said in an answer that it leaves. */
struct leaving_upstream
{
    upstream_id m_upstream;     ///< which
    std::int64_t m_started = 0; ///< its start, Unix ms

    auto operator<=>(leaving_upstream const&) const = default;
};

/** Requests of one instance at an upstream. */
struct upstream_load
{
    upstream_id m_upstream;      ///< where they are
    std::int64_t m_requests = 0; ///< how many
    std::int64_t m_tokens = 0;   ///< of their prompts and outputs
};

/** Requests of one instance, by upstream. */
using in_flight_counts = std::vector<upstream_load>;

/** Upstreams by service, as listed and as seen by this instance and its peers.
 */
class upstream_pool
{
public:
    /** @param random uniform 64-bit numbers, for ties */
    upstream_pool(pool_options options, std::function<std::uint64_t()> random);

    /** Takes a list from service discovery.
     *  @param read_at when it was read
     *  @return ids that came (first) and that are no longer used (second) */
    std::pair<std::vector<upstream_id>, std::vector<upstream_id>>
    take_list(std::vector<upstream_record> const& list, time_point read_at);

    /** Newest version of a model's weights.
     *  @param named_at when it was named, or earlier */
    void set_newest(model_id const& model, std::int64_t version,
                    time_point named_at);

    /** Takes the time at which a known version was named from a peer that has
     *  seen it. */
    void correct_named_time(model_id const& model, std::int64_t version,
                            time_point named_at);

    /** @return versions of a model with the time at which each was named. */
    std::vector<std::pair<std::int64_t, time_point>>
    named(model_id const& model) const;

    /** Chooses an upstream. */
    placement place(placement_request const& request, time_point now);

    /** A request goes to the upstream. */
    void note_sent(upstream_id const& id, std::uint64_t prefix,
                   token_count tokens);

    /** The first bytes of its answer came. */
    void note_first_bytes(upstream_id const& id);

    /** The request ended.
     *  @param began whether note_first_bytes() was called for it
     *  @param tokens as of note_sent() */
    void note_ended(upstream_id const& id, bool began, token_count tokens);

    /** It cannot be reached, or it ended connections without an answer. */
    void note_unreachable(upstream_id const& id, time_point now);

    /** It answered. */
    void note_reachable(upstream_id const& id);

    /** It is full, or it is loading weights: a short pause. */
    void note_refused(upstream_id const& id, duration pause, time_point now);

    /** It serves this version. Older news of the same start is ignored. */
    void note_weights(weights_news const& news, time_point now);

    /** A read of the store or news of a peer shows the same list as before. */
    void note_list_unchanged(std::vector<upstream_record> const& list,
                             time_point read_at);

    /** It said itself that it leaves.
     *  @return whether that is new */
    bool note_leaving(upstream_id const& id, std::int64_t started);

    /** @return upstreams that said that they leave. */
    std::vector<leaving_upstream> announced_leaving() const;

    /** It wants no request of this instance until then. */
    void note_rejected_until(upstream_id const& id, time_point until);

    /** Takes the requests in flight of a peer; replaces the last ones.
     *  @param in_group this instance speaks for it */
    void note_peer(instance_id const& peer, in_flight_counts counts,
                   bool in_group = false);

    /** The peer has left. */
    void drop_peer(instance_id const& peer);

    /** @return requests in flight of this instance and of those that it speaks
     *          for. */
    in_flight_counts own_in_flight() const;

    /** @return requests in flight of all, without those of one peer, at
     *          upstreams that have at least @p min_share of their places
     *          taken. */
    in_flight_counts in_flight_without(instance_id const& peer,
                                       double min_share) const;

    /** @return upstreams of a service that may be used, with loaded weights. */
    std::vector<upstream_record> usable(service_id const& service) const;

    /** @return whether an engine that may be used has older weights. */
    bool has_older_weights(model_id const& model, std::int64_t version) const;

    /** @return the record, or null. */
    upstream_record const* find(upstream_id const& id) const;

    /** @return share of the places of the service that are taken. */
    double load(service_id const& service) const;

    /** @return requests at the upstream, of all instances. */
    std::int64_t in_flight(upstream_id const& id) const;

    /** @return whether it is not paused after failed connections. */
    bool is_reachable(upstream_id const& id, time_point now) const;

    /** @return whether connections to it failed since it last answered, or it
     *          is not listed. */
    bool is_lost(upstream_id const& id) const;

    /** @return the part of its places, or of an engine's memory if that is
     *          more, that requests of all instances need. */
    double utilisation(upstream_id const& id, token_count capacity) const;

    /** @return the part of an engine's memory that its requests need. */
    double memory_use(upstream_id const& id, token_count capacity) const;

    /** @return how long the engine's weights have been old, if they are. */
    std::optional<duration> outdated_for(upstream_id const& id,
                                         model_id const& model,
                                         time_point now) const;

    /** @return whether the engine takes no new work because it loads. */
    bool is_switching(upstream_id const& id, time_point now) const;

private:
    struct entry
    {
        upstream_record m_record;
        bool m_missing = false; ///< lapsed during an outage of the store
        std::int64_t m_waiting = 0;
        std::int64_t m_running = 0;
        std::int64_t m_tokens = 0;         ///< of own requests
        std::int64_t m_peer_requests = 0;  ///< requests of peers
        std::int64_t m_peer_tokens = 0;    ///< of requests of peers
        std::int64_t m_group_requests = 0; ///< of them, of the own group
        std::int64_t m_group_tokens = 0;   ///< of requests of the own group
        bool m_announced_leaving = false;  ///< in an answer, or to a peer
        time_point m_rejected_until;       ///< wants no request until then
        int m_failures = 0;
        time_point m_paused_until;
        time_point m_switching_until; ///< takes no new work until then
        /** Prefixes in order of last use, newest first. */
        std::list<std::uint64_t> m_prefixes;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
            m_prefix_index;

        /** @return requests at it, of all instances. */
        std::int64_t requests() const
        {
            return m_waiting + m_running + m_peer_requests;
        }
    };

    /** Versions of a model's weights with the time at which each was named,
     *  oldest first. An engine is judged by the first one that it lacks. */
    using named_versions = std::vector<std::pair<std::int64_t, time_point>>;

    /** Requests of a peer. */
    struct peer_load
    {
        in_flight_counts m_counts;
        bool m_in_group = false; ///< this instance speaks for it
    };

    void add_peer_load(peer_load const& load, int sign);
    void touch_prefix(entry& item, std::uint64_t prefix) const;
    duration cost(entry const& item, placement_request const& request,
                  std::size_t rank, time_point now) const;
    std::optional<duration> outdated_for(entry const& item,
                                         model_id const& model,
                                         time_point now) const;
    static double memory_use(entry const& item, token_count capacity,
                             token_count added);
    double occupancy(entry const& item, placement_request const& request) const;
    duration old_weights_limit(double occupancy) const;

    pool_options m_options;
    std::function<std::uint64_t()> m_random;
    std::unordered_map<upstream_id, entry> m_entries;
    std::unordered_map<service_id, std::vector<upstream_id>> m_by_service;
    std::unordered_map<model_id, named_versions> m_named;
    std::unordered_map<instance_id, peer_load> m_peers;
    std::optional<time_point> m_read_at;
    std::optional<time_point> m_grace_until;
};

} // namespace daisylead::serving
