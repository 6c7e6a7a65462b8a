/** @file State of the upstreams, and load balancing among them. */
#pragma once

#include <daisylead/serving/catalog_type.hpp>
#include <daisylead/serving/room_share_base.hpp>
#include <daisylead/serving/upstream_rates_base.hpp>
#include <daisylead/serving/zone_balance_base.hpp>

#include <array>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisylead::serving
{

/** Costs, limits and timeouts of the load balancing. */
struct upstream_pool_options
{
    /** A gap of this length between two reads counts as an outage of the store;
     *  three read intervals. */
    duration m_outage_after = std::chrono::milliseconds(1500);
    /** Time after an outage for which missing upstreams are kept: entries that
     *  lapsed in the outage may be missing for about 2 s after it. */
    duration m_lapse_grace = std::chrono::milliseconds(2300);
    /** Time after a restore of the store in which the runs that were removed
     *  before stay removed: entries without heartbeats lapse within it. */
    duration m_restore_grace = std::chrono::seconds(6);
    /** Age from which a removed run is forgotten. */
    duration m_removed_ttl = std::chrono::minutes(1);
    /** Initial backoff of an unreachable upstream; doubles with each
     *  failure. */
    duration m_backoff = std::chrono::milliseconds(400);
    /** Max. backoff. */
    duration m_max_backoff = std::chrono::seconds(3);
    /** Cost of a request that waits for its first bytes: the prefill of a
     *  caption with a cached prefix. */
    duration m_waiting_cost = std::chrono::milliseconds(40);
    /** Cost of a request in progress: the time that it adds to an engine
     *  step. */
    duration m_running_cost = std::chrono::milliseconds(4);
    /** Cost of a prompt token that is not cached and must be fetched or
     *  computed. */
    duration m_token_cost = std::chrono::microseconds(12);
    /** Cost of an upstream in another availability zone: the round trip and the
     *  price of traffic between zones. */
    duration m_zone_cost = std::chrono::milliseconds(4);
    /** Interval of working out how many requests leave a zone. */
    duration m_zone_interval = std::chrono::milliseconds(200);
    /** Time after the publication of newer weights from which engines with
     *  older weights are used only when the others are busy; answers on older
     *  weights lose part of their value from 1.5 s on. */
    duration m_prefer_newest_after = std::chrono::milliseconds(700);
    /** Cost of older weights from that time on. */
    duration m_old_weights_cost = std::chrono::milliseconds(40);
    /** Time after the publication of newer weights from which no request may
     *  begin on older ones. */
    duration m_max_weights_age = std::chrono::milliseconds(8000);
    /** Margin before that time in which no request is sent to an engine with
     *  older weights. */
    duration m_send_margin = std::chrono::milliseconds(1000);
    /** Counterpart for an engine without a free slot or with
     *  m_usable_memory_fraction of its memory in use: a request waits there
     *  before it begins. From half of either on, the margin grows linearly. A
     *  request that may not be repeated always needs it, as it cannot be taken
     *  back. */
    duration m_send_margin_full = std::chrono::milliseconds(3500);
    /** Margin before that time in which a request that has not begun is taken
     *  back. */
    duration m_recall_margin = std::chrono::milliseconds(250);
    /** Cost of an excess of requests by the whole memory of an engine: about
     *  the duration of a request, for which the next one waits. */
    duration m_memory_cost = std::chrono::milliseconds(1500);
    /** Fraction of an engine's memory that requests in progress can use. */
    double m_usable_memory_fraction = 0.7;
    /** Max. requests at an upstream per slot, over all instances. */
    double m_max_per_slot = 2.0;
    /** Upstreams compared in a sampled choice: those that come first in the
     *  order of the hash of the prompt prefix, so that few engines keep it. */
    std::size_t m_home_candidates = 3;
    /** Further ones, drawn anew for each request. */
    std::size_t m_random_candidates = 2;
    /** Part of the memory up to the room limit below which the free rest is
     *  divided among the instances. */
    double m_scarce_room = 0.5;
    /** TTL of the state that an engine is loading; the holder of the order
     *  lease refreshes it. */
    duration m_switching_ttl = std::chrono::milliseconds(1500);
    /** Max. recent prompt prefixes remembered per engine. */
    std::size_t m_max_prefixes = 1024;
    /** Time without a byte to any request in progress, beyond the usual age of
     *  the news of peers, from which an upstream is silent. A sound engine
     *  sends bytes every few milliseconds; the rest covers a pause of a second,
     *  as of a TCP retransmission. */
    duration m_silent_after = std::chrono::milliseconds(1500);
    /** Min. time between two trial requests of this instance to silent
     *  upstreams of a service: each may be lost, and one answer to any instance
     *  brings an upstream back for all. */
    duration m_trial_interval = std::chrono::seconds(1);
};

/** Properties of a request that the choice of an upstream depends on. */
struct placement_request
{
    service_id m_service; ///< target service
    model_id m_model;     ///< empty for plain services
    /** Set if only upstreams of this version may take the request. */
    std::optional<software_version> m_software;
    std::uint64_t m_prefix = 0;  ///< hash of the shared prefix; 0: none
    token_count m_prefix_tokens; ///< length of that prefix
    token_count m_tokens;        ///< prompt and output tokens
    token_count m_capacity;      ///< KV cache memory of an engine; 0: unknown
    std::set<upstream_id> m_excluded; ///< upstreams already tried
    bool m_repeatable = true;         ///< another upstream may run it, too
    zone_id m_zone;                   ///< zone of this instance
    /** Max. fraction of an engine's memory that the requests there may need
     *  with this one, see room_limit(); nothing: no limit. */
    std::optional<double> m_max_memory_use;
};

/** Why no upstream was chosen. */
enum class no_placement
{
    none,        ///< an upstream was chosen
    no_upstream, ///< the service has no usable upstream
    all_busy     ///< all usable ones are at their limit or paused
};

/** Result of the choice of an upstream. */
struct placement
{
    no_placement m_reason = no_placement::none; ///< why none was chosen
    upstream_record m_upstream;                 ///< the chosen upstream
    std::int64_t m_weights = 0;   ///< its loaded version; 0: unknown
    bool m_likely_cached = false; ///< it recently received the prefix
    duration m_cost{};            ///< estimated cost
    std::size_t m_candidates = 0; ///< number of upstreams compared
    /** Share of the requests to the service that leaves the zone; 0 if zones
     *  do not matter for this request. */
    double m_leaving_share = 0;
    std::int64_t m_in_flight = 0; ///< requests at it, of all instances
    /** Its request rate limit, if one is known. */
    std::optional<double> m_rate_limit;
    /** Set if only request rate limits keep the request from all upstreams:
     * when this instance may send it; time_point::max(): it has no share. */
    std::optional<time_point> m_next_send;
    /** With m_next_send: time until some instance may send a request. */
    duration m_rate_wait{};
};

/** Weights of an engine, as reported by the holder of the order lease. */
struct weights_news
{
    upstream_id m_upstream;     ///< engine id
    std::int64_t m_started = 0; ///< its start, Unix ms
    model_id m_model;           ///< model id
    std::int64_t m_version = 0; ///< loaded version
    bool m_switching = false;   ///< draining or loading; takes no new requests
};

/** An upstream that announced in a response that it is leaving. */
struct leaving_upstream
{
    upstream_id m_upstream;     ///< upstream id
    std::int64_t m_started = 0; ///< its start, Unix ms

    auto operator<=>(leaving_upstream const&) const = default;
};

/** Requests in flight at an upstream. */
struct upstream_load
{
    upstream_id m_upstream;      ///< upstream id
    std::int64_t m_requests = 0; ///< number of requests
    std::int64_t m_tokens = 0;   ///< their prompt and output tokens
    /** Since it last sent bytes, or since the first of the requests was sent;
     *  nothing: not known. */
    std::optional<duration> m_silence{};
};

/** Requests in flight by upstream. */
using in_flight_counts = std::vector<upstream_load>;

/** Upstreams by service: their service discovery records, load and health as
 *  known to this instance and its peers. */
class upstream_pool
{
public:
    /** @param random uniform 64-bit numbers, to break ties
     *  @param share see upstream_rates */
    upstream_pool(upstream_pool_options options,
                  std::function<std::uint64_t()> random,
                  rate_share_hook share = {});

    /** Replaces the list of service discovery.
     *  @param read_at when it was read
     *  @return added (first) and removed (second) ids */
    std::pair<std::vector<upstream_id>, std::vector<upstream_id>>
    take_list(std::vector<upstream_record> const& list, time_point read_at);

    /** The store came back from an older copy: its list may lack upstreams
     *  that are there, and hold some that have left, until the upstreams have
     *  written their entries again. */
    void note_store_restored(time_point now);

    /** Records that a newer version of a model's weights was published.
     *  @param named_at time of publication, or earlier
     *  @return whether the version is newer than the known ones */
    bool set_newest(model_id const& model, std::int64_t version,
                    time_point named_at);

    /** Corrects the publication time of a version by the time that a peer
     *  observed. */
    void correct_named_time(model_id const& model, std::int64_t version,
                            time_point named_at);

    /** @return versions of a model with their publication times. */
    std::vector<std::pair<std::int64_t, time_point>>
    named(model_id const& model) const;

    /** From now on, a request is compared on a sample of the upstreams only,
     *  and the free memory of engines is divided among the instances: the news
     *  of a large fleet is late, and if each instance compared all upstreams,
     *  all would choose the same one until it is overloaded.
     *  @param instances of the fleet
     *  @param news_age usual age of what is known of the others */
    void set_sampled(std::int64_t instances, duration news_age);

    /** From now on, a request is compared on all upstreams.
     *  @param news_age usual age of what is known of the others */
    void set_unsampled(duration news_age)
    {
        m_sampled = false;
        m_news_age = news_age;
    }

    /** Sets the memory of one engine of a service; 0: unknown. */
    void set_capacity(service_id const& service, token_count capacity);

    /** Chooses the upstream with the lowest estimated cost, or in a sample the
     * cheapest one that is not used more than usual. The request counts
     * as sent to it as far as its request rate limit is concerned. */
    placement place(placement_request const& request, time_point now);

    /** Records a request that is sent to the upstream. */
    void note_sent(upstream_id const& id, std::uint64_t prefix,
                   token_count tokens, time_point now);

    /** Records bytes of the upstream to any request of this instance. */
    void note_bytes(upstream_id const& id, time_point now);

    /** Sets the services that this instance cannot reach: the silence of their
     *  upstreams is that of the path and is not reported. */
    void set_cut_services(std::vector<service_id> const& services);

    /** @return whether no request in progress, of any instance, has had bytes
     *          for longer than a sound upstream pauses. */
    bool is_silent(upstream_id const& id, time_point now) const;

    /** Records the first bytes of the response to a request. */
    void note_first_bytes(upstream_id const& id);

    /** Records the end of a request.
     *  @param began whether note_first_bytes() was called for it
     *  @param tokens as of note_sent() */
    void note_ended(upstream_id const& id, bool began, token_count tokens);

    /** Records a failed connection, or one closed without a response; starts or
     *  extends the backoff. */
    void note_unreachable(upstream_id const& id, time_point now);

    /** Ends the backoffs of a service's upstreams, as another way to them is
     *  used from now on. */
    void forget_failures(service_id const& service);

    /** Records a response. */
    void note_reachable(upstream_id const& id);

    /** Records a rejection, as the upstream is full or loads weights; pauses
     *  it. */
    void note_refused(upstream_id const& id, duration pause, time_point now);

    /** Records the weights that an engine serves. Updates on another run of the
     *  engine are ignored, and a version never decreases. */
    void note_weights(weights_news const& news, time_point now);

    /** Records that a read of the store, or a peer, confirmed the list. */
    void note_list_unchanged(std::vector<upstream_record> const& list,
                             time_point read_at);

    /** Records that an upstream announced that it is leaving.
     *  @return whether that is new */
    bool note_leaving(upstream_id const& id, std::int64_t started);

    /** @return upstreams that announced that they are leaving. */
    std::vector<leaving_upstream> announced_leaving() const;

    /** Records that the upstream rejects requests of this instance until
     *  then. */
    void note_rejected_until(upstream_id const& id, time_point until);

    /** Records the request rate limit of an upstream, see upstream_rates.
     *  @param started start of the run that stated it, Unix ms
     *  @return whether a limit appeared, ended or changed noticeably */
    bool note_rate(rate_statement const& statement, std::int64_t started);

    /** @return known request rate limits. */
    upstream_rates& rates()
    {
        return m_rates;
    }

    upstream_rates const& rates() const
    {
        return m_rates;
    }

    /** Replaces the requests in flight of a peer.
     *  @param received_at when they were received
     *  @param in_group this instance includes them in its own counts */
    void note_peer(instance_id const& peer, in_flight_counts counts,
                   time_point received_at, bool in_group = false);

    /** Removes a peer that has left. */
    void drop_peer(instance_id const& peer);

    /** @return requests in flight of this instance and of its group. An
     *          upstream without any is included if a peer reports it silent and
     *          it recently sent bytes. */
    in_flight_counts own_in_flight(time_point now) const;

    /** @return requests in flight of all instances but one peer, at upstreams
     *          with at least @p min_share of their slots or of their memory in
     *          use, at silent ones, and at those that the peer reports
     *          silent. */
    in_flight_counts in_flight_without(instance_id const& peer,
                                       double min_share, time_point now) const;

    /** @return upstreams of a service that are not leaving, with their loaded
     *          weights. */
    std::vector<upstream_record> usable(service_id const& service) const;

    /** @return whether an engine that is not leaving has older weights. */
    bool has_older_weights(model_id const& model, std::int64_t version) const;

    /** @return the record, or null. */
    upstream_record const* find(upstream_id const& id) const;

    /** @return whether it rejects requests of this instance now, as it
     *          said. */
    bool is_rejecting(upstream_id const& id, time_point now) const;

    /** @return number of listed upstreams of a service. */
    std::size_t size(service_id const& service) const;

    /** @return used fraction of all slots of the service. */
    double load(service_id const& service) const;

    /** @return requests in flight at the upstream, of all instances. */
    std::int64_t in_flight(upstream_id const& id) const;

    /** @return whether it is listed and not in backoff after failed
     *          connections. */
    bool is_reachable(upstream_id const& id, time_point now) const;

    /** @return whether a connection failed since its last response, or it is
     *          not listed. */
    bool is_lost(upstream_id const& id) const;

    /** @return fraction of its slots, or of the memory of an engine if that is
     *          more, that requests of all instances need. */
    double utilisation(upstream_id const& id, token_count capacity) const;

    /** @return fraction of an engine's memory that requests of all instances
     *          need. */
    double memory_use(upstream_id const& id, token_count capacity) const;

    /** @return how long the engine's weights have been outdated, if they
     *          are. */
    std::optional<duration> outdated_for(upstream_id const& id,
                                         model_id const& model,
                                         time_point now) const;

    /** @return whether a request may still be sent to the engine, as far as the
     *          age of its weights is concerned. */
    bool may_send(upstream_id const& id, model_id const& model,
                  time_point now) const;

    /** @return whether a request that has not begun at the engine must be taken
     *          back, as its weights are about to be too old. */
    bool must_recall(upstream_id const& id, model_id const& model,
                     time_point now) const;

    /** @return whether the engine takes no new requests because it loads. */
    bool is_switching(upstream_id const& id, time_point now) const;

private:
    /** Report of a peer on when an upstream last sent bytes. */
    struct peer_silence
    {
        time_point m_since;      ///< time of these bytes
        bool m_silent = false;   ///< it was silent when reported
        bool m_in_group = false; ///< included in the own report
    };

    struct entry
    {
        upstream_record m_record;
        bool m_missing = false; ///< its entry lapsed in an outage of the store
        std::int64_t m_waiting = 0;
        std::int64_t m_running = 0;
        std::int64_t m_tokens = 0;         ///< tokens of own requests
        std::int64_t m_peer_requests = 0;  ///< requests of peers
        std::int64_t m_peer_tokens = 0;    ///< tokens of requests of peers
        std::int64_t m_group_requests = 0; ///< part of them by the own group
        std::int64_t m_group_tokens = 0;   ///< tokens of these
        bool m_announced_leaving = false;  ///< to this instance or a peer
        time_point m_rejected_until; ///< rejects requests before this time
        std::optional<time_point> m_last_bytes_at; ///< to own requests
        /** Since when own requests are in progress without interruption. */
        time_point m_busy_since;
        time_point m_run_seen_at; ///< when this run was first listed
        std::unordered_map<instance_id, peer_silence> m_peer_silences;
        int m_failures = 0;
        time_point m_paused_until;
        time_point m_switching_until; ///< TTL of the state that it loads
        /** Prefixes, most recently used first. */
        std::list<std::uint64_t> m_prefixes;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
            m_prefix_index;

        /** @return requests in flight at it, of all instances. */
        std::int64_t requests() const
        {
            return m_waiting + m_running + m_peer_requests;
        }
    };

    /** Versions of a model's weights with their publication times, oldest
     *  first. The age of an engine's weights counts from the first one that it
     *  lacks. */
    using named_versions = std::vector<std::pair<std::int64_t, time_point>>;

    /** Requests in flight of a peer. */
    struct peer_load
    {
        in_flight_counts m_counts;
        bool m_in_group = false;  ///< included in the own counts
        time_point m_received_at; ///< when they were received
    };

    /** Latest trial request to a silent upstream of a service. */
    struct trial
    {
        upstream_id m_upstream;
        time_point m_sent_at;
    };

    /** An upstream that can take a request. */
    struct candidate
    {
        std::uint64_t m_weight = 0; ///< weight of rendezvous hashing
        std::size_t m_rank = 0;     ///< in the order of the weights
        entry* m_entry = nullptr;
        bool m_silent = false; ///< see is_silent()
    };

    void add_peer_load(instance_id const& peer, peer_load const& load,
                       int sign);
    duration silence_limit() const;
    std::optional<duration>
    silence(entry const& item, time_point now,
            std::function<bool(instance_id const&, peer_silence const&)> const&
                counts) const;
    bool is_silent(entry const& item, time_point now) const;
    void drop_silent(std::vector<candidate>& candidates,
                     placement_request const& request, bool has_sound,
                     time_point now) const;
    bool may_try_silent(service_id const& service, time_point now) const;
    bool has_room(entry const& item, placement_request const& request) const;
    static void number_candidates(std::vector<candidate>& candidates);
    double keep_zone(std::vector<candidate>& candidates,
                     placement_request const& request, time_point now);
    zone_balance& zone_balance_of(placement_request const& request,
                                  time_point now);
    void keep_sample(std::vector<candidate>& candidates,
                     placement_request const& request, time_point now);
    std::size_t choose_sampled(std::vector<candidate> const& sample,
                               placement_request const& request,
                               double usual_use, time_point now);
    std::size_t choose_cheapest(std::vector<candidate> const& candidates,
                                placement_request const& request,
                                time_point now) const;
    double mean_use(std::vector<candidate> const& candidates,
                    placement_request const& request) const;
    bool take_room(std::vector<candidate> const& candidates,
                   placement_request const& request, time_point now);
    duration fixed_cost(entry const& item, placement_request const& request,
                        std::size_t rank, time_point now) const;
    token_count capacity_of(service_id const& service) const;
    void touch_prefix(entry& item, std::uint64_t prefix) const;
    duration cost(entry const& item, placement_request const& request,
                  std::size_t rank, time_point now) const;
    std::optional<duration> outdated_for(entry const& item,
                                         model_id const& model,
                                         time_point now) const;
    static double memory_use(entry const& item, token_count capacity,
                             token_count added);
    double occupancy(entry const& item, placement_request const& request) const;
    duration old_weights_limit(double occupancy, bool repeatable) const;
    duration latest(duration margin) const;
    void note_rate_obstacle(placement& result, upstream_id const& id,
                            time_point next_send, time_point now) const;

    upstream_pool_options m_options;
    std::function<std::uint64_t()> m_random;
    std::unordered_map<upstream_id, entry> m_entries;
    std::unordered_map<service_id, std::vector<upstream_id>> m_by_service;
    std::unordered_map<service_id, token_count> m_capacities;
    bool m_sampled = false;
    std::unordered_map<service_id, room_share> m_room_shares;
    /** How many requests to a service leave the zone, with the time at which
     *  that was worked out. */
    struct balanced_zone
    {
        zone_balance m_balance;
        std::optional<time_point> m_updated_at;
    };
    std::unordered_map<service_id, balanced_zone> m_zones;
    std::int64_t m_instances = 1;
    duration m_news_age{};
    std::unordered_map<model_id, named_versions> m_named;
    std::unordered_map<instance_id, peer_load> m_peers;
    std::unordered_map<service_id, trial> m_trials;
    std::set<service_id> m_cut_services;
    upstream_rates m_rates;
    std::optional<time_point> m_read_at;
    std::optional<time_point> m_grace_until;
    /** Start of the runs that were removed from the list, with the time. */
    std::map<upstream_id, std::pair<std::int64_t, time_point>> m_removed;
    std::optional<time_point> m_restore_grace_until;
};

} // namespace daisylead::serving
