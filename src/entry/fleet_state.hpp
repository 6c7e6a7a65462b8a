/** @file State of the fleet as seen by one entry instance. */
#pragma once

#include "answer_memory.hpp"

#include <daisylead/config/entry_settings_type.hpp>
#include <daisylead/entry/adapter_type.hpp>
#include <daisylead/entry/boot_time_func.hpp>
#include <daisylead/request/lru_map_base.hpp>
#include <daisylead/serving/catalog_index_base.hpp>
#include <daisylead/serving/fleet_roster_base.hpp>
#include <daisylead/serving/freshness_base.hpp>
#include <daisylead/serving/path_monitor_base.hpp>
#include <daisylead/serving/process_history_base.hpp>
#include <daisylead/serving/retry_throttle_base.hpp>
#include <daisylead/serving/software_history_base.hpp>
#include <daisylead/serving/stream_registry_base.hpp>
#include <daisylead/serving/upstream_list_base.hpp>
#include <daisylead/telemetry/metrics_base.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <set>

namespace daisylead::entry
{

/** State that the tasks of one instance share. Not thread-safe: only the
 *  thread of the instance uses it. */
class fleet_state
{
public:
    /** @param started start time of this process, Unix ms */
    fleet_state(config::entry_settings const& settings,
                adapter const& platform_adapter, telemetry::metrics& metrics,
                boost::asio::any_io_executor const& executor,
                std::int64_t started);

    /** Applies a configuration that was read at @p read_at. The content in
     *  force is never replaced by an older one, which a store that came back
     *  from a copy may show.
     *  @param source where it was read, for the log */
    void update_rules(serving::document document, time_point read_at,
                      std::string const& source);

    /** Replaces the upstreams by a service discovery document of the store. */
    void replace_upstreams(serving::document const& document,
                           time_point read_at);

    /** Applies differences of service discovery that a peer sent.
     *  @param sender_state state of the list at the peer
     *  @return whether they could be applied to the list of this instance */
    bool apply_upstream_changes(serving::upstream_changes const& changes,
                                serving::document_state const& sender_state,
                                time_point read_at, std::string const& source);

    /** @return whether a configuration is newer than the one in force. */
    bool is_newer_configuration(serving::document_state const& other) const;

    /** A peer has announced a newer configuration. */
    void note_newer_configuration(serving::document_state const& announced);

    /** @return whether a newer configuration is known to exist. */
    bool is_outdated(time_point now) const;

    /** @return whether requests must not be handled by the configuration in
     *          force: a newer one exists, and may have been accepted longer ago
     *          than changes may take to come into force. */
    bool is_superseded(time_point now) const;

    /** The content was confirmed to be the newest at @p read_at. */
    void note_rules_unchanged(time_point read_at);
    void note_upstreams_unchanged(std::uint64_t revision, time_point read_at);

    /** @return whether the configuration is recent enough to check keys. */
    bool are_keys_fresh(time_point now) const;

    /** @return whether the load balancer should send callers to this
     *  instance. */
    bool is_ready(time_point now) const;

    /** Adds or updates a peer and logs the change.
     *  @param from_itself the peer sent it; otherwise it is from a list,
     *  which may be outdated */
    void note_member(serving::member const& member, bool from_itself);

    /** Drops the totals of peers that no longer count, and updates
     *  everything that depends on the size of the fleet. */
    void refresh_peers(time_point now);

    /** @return use per organisation in the order of the configuration. */
    serving::use_totals
    to_totals(std::vector<serving::quota_use> const& use) const;

    /** @return use per organisation; nothing if the totals are in the order
     *  of another configuration. */
    std::optional<std::vector<serving::quota_use>>
    from_totals(serving::use_totals const& totals) const;

    /** Merges news of weights from a peer.
     *  @return whether any of it was new */
    bool merge_weights(serving::fleet_news const& news, time_point now);

    /** Publishes news of weights as the holder of the order lease. */
    void publish_weights(std::uint64_t token, serving::weights_news const& news,
                         time_point now);

    /** Renews the marks of loading engines, so that they do not expire at
     *  the peers. */
    void refresh_loading_marks(time_point now);

    /** @return news of weights that a peer lacks.
     *  @param token fencing token of the newest news that the peer has
     *  @param number newest number that the peer has under that token */
    std::vector<serving::numbered_weights>
    weights_since(std::uint64_t token, std::uint64_t number) const;

    /** Records that an upstream shuts down, as it stated in an answer.
     *  @param from peer that reported it; empty: this instance saw the
     *  answer */
    void note_leaving(serving::leaving_upstream const& item,
                      instance_id const& from);

    /** Records the request rate limit of an upstream.
     *  @param started start of the run that stated it, Unix ms
     *  @param from peer that reported it; empty: this instance saw the
     *  answer */
    void note_rate(serving::rate_statement const& statement,
                   std::int64_t started, instance_id const& from);

    /** Adds the known request rate limits to news.
     *  @param receiver peer whose share in each is added if it reports to this
     *  instance; may be null */
    void add_rates(serving::load_news& news,
                   serving::peer_state const* receiver, time_point now);

    /** Applies the request rate limits that a peer sent.
     *  @param from_relay it is the relay of this instance
     *  @param sent_at when this instance sent the call that they reply to;
     *  nothing: the peer sent them on its own */
    void apply_rates(serving::load_news const& news, instance_id const& from,
                     bool from_relay, std::optional<time_point> sent_at);

    /** Records the end of an attempt to connect directly to an upstream. */
    void note_direct_connect(serving::upstream_record const& upstream,
                             bool connected);

    /** @return whether the path from this instance to the service is cut. */
    bool is_cut_from(service_id const& service) const;

    /** @return services whose path is cut. */
    std::vector<service_id> cut_services() const;

    /** @return whether a failure to connect may be one of the path. */
    bool is_path_suspect(serving::upstream_record const& upstream,
                         time_point now) const;

    /** Records that an upstream refuses connections, so that its attempts that
     *  broke off count as crashes. */
    void note_crash(request::upstream_incarnation const& crash);

    /** Records that no process listens at the address of an upstream. Another
     *  one may serve there before its record is written. */
    void note_process_ended(serving::upstream_record const& upstream);

    /** @return upstreams of a service that may run other software than their
     *          records say, for a stream that needs @p software. */
    std::set<upstream_id>
    doubtful_upstreams(service_id const& service,
                       software_version const& software) const;

    /** Records the end of an attempt for the quarantine of prompt parts. */
    void note_attempt_ended(attempt_id const& attempt,
                            request::attempt_outcome outcome);

    /** Applies the crashes, answers and blocked prompt parts of a peer. */
    void apply_crash_evidence(serving::fleet_news const& news);

    /** Applies the blocked prompt parts that the store holds. */
    void apply_stored_blocks(std::vector<request::blocked_part> const& parts);

    /** Ends the blocks of prompt parts that are no longer requested. */
    void expire_blocked_parts();

    /** Prompt parts that were blocked and whose record in the store must be
     *  removed. */
    std::set<request::part_digest> m_unblocked_parts;

    /** Logs news of suspect requests and queues it for the peers. */
    void note_suspects(std::vector<request::quarantine_update> news);

    /** @return when weights versions were first named, for a peer that has
     *  just started; nothing if this process has only assumed times. */
    std::vector<serving::named_weights> named_weights(time_point now) const;

    /** Replaces assumed times at which weights versions were first named. */
    void apply_named_weights(std::vector<serving::named_weights> const& named,
                             time_point sent_at);

    /** @return the software versions in use, for a peer that has just started;
     *          nothing before the first list of upstreams. */
    std::optional<serving::software_news> software_news(time_point now) const;

    /** Adds what a peer knows of the software versions in use.
     *  @param sent_at when this instance sent the call that they reply to */
    void apply_software_news(serving::software_news const& news,
                             time_point sent_at);

    /** Records the era of the store in one of its answers.
     *  @param source what was read, or the peer, for the log */
    void note_store_era(std::uint64_t era, std::string const& source);

    /** Applies what a peer knows of the era of the store. */
    void apply_store_era(serving::fleet_news const& news);

    /** A KV cache store answered at @p answered_at. */
    void note_kv_store(std::string const& address, std::int64_t epoch,
                       time_point answered_at);

    /** A KV cache store did not answer. */
    void note_kv_store_silent(std::string const& address);

    /** Adds the state of the KV cache stores to news. */
    void add_kv_stores(serving::fleet_news& news, time_point now) const;

    /** Applies what a peer knows of the KV cache stores.
     *  @param sent_at when this instance sent the call that they reply to */
    void apply_kv_stores(serving::fleet_news const& news, time_point sent_at);

    /** Marks a prefix as saved to a KV cache store, here and at the peers.
     *  @param prefix see kv_store_set::save_key()
     *  @return whether it was not marked before, so that the caller must
     *  save it */
    bool claim_prefix_save(std::uint64_t prefix);

    /** A peer has claimed the save of the prefix. */
    void note_saved(std::uint64_t prefix);

    /** Sets the metrics that are read from the state. */
    void update_gauges(time_point now) const;

    /** @return the state as JSON, without keys or prompts. */
    nlohmann::json dump(time_point now) const;

    config::entry_settings const& m_settings;
    adapter const& m_adapter;
    telemetry::metrics& m_metrics;
    std::shared_ptr<serving::catalog_index const> m_catalog; ///< null at start
    serving::document m_rules;
    serving::freshness m_rules_freshness;
    serving::upstream_list m_upstreams;
    std::uint64_t m_upstreams_revision = 0; ///< revision of the newest read
    std::optional<time_point> m_upstreams_read_at;
    serving::upstream_pool m_upstream_pool;
    serving::software_history m_software;
    serving::process_history m_processes;
    serving::stream_registry m_streams; ///< of all instances
    serving::quota_limiter m_quotas;
    serving::retry_throttle m_retries;
    request::quarantine m_quarantine;
    request::part_quarantine m_part_quarantine;
    bool m_knows_blocked_parts = false; ///< from the store or a peer
    serving::fleet_roster m_roster;
    std::uint64_t m_weights_token = 0;  ///< of the newest known holder
    std::uint64_t m_weights_number = 0; ///< newest news of that holder
    std::optional<time_point> m_last_weights_news_at; ///< of another holder
    std::uint64_t m_store_era = 0; ///< newest known era of the store
    /** Since when the store is known to be in that era. */
    time_point m_store_era_since;
    /** When this instance learnt that the store came back from a copy. */
    std::optional<time_point> m_store_restored_at;
    serving::kv_store_set m_kv_stores;
    std::function<void()> m_on_urgent_news;   ///< sends news immediately
    std::function<void()> m_on_upstreams;     ///< a list was read or confirmed
    std::function<void()> m_on_configuration; ///< another one is in force
    bool m_draining = false;
    time_point m_drain_ends_at; ///< while draining: end of the process
    /** Requests whose first byte has arrived and whose answer is not
     *  complete. Shared with the connections, which may outlive this state. */
    std::shared_ptr<std::size_t> m_active_requests =
        std::make_shared<std::size_t>(0);
    boost::asio::any_io_executor m_executor; ///< of the instance's thread
    /** Shared with requests, which may outlive this object. */
    std::shared_ptr<answer_limiter> m_answers;

private:
    std::uint64_t m_unreadable_revision = 0;   ///< last one that was logged
    serving::document_state m_announced_rules; ///< by a peer, newest
    time_point m_announced_rules_at;           ///< last time
    /** Whether the times at which the first configuration named its weights
     *  are assumed. */
    bool m_naming_times_assumed = true;
    time_point m_started; ///< start of this process
    /** News of weights by the holder of the order lease, by engine. */
    std::map<upstream_id, serving::numbered_weights> m_weights;
    /** Prefixes saved to the KV cache stores, with the time of the save. */
    request::lru_map<std::uint64_t, time_point> m_saved;
    std::map<service_id, serving::path_monitor> m_paths;
    double rate_share(upstream_id const& id, double per_second,
                      time_point now) const;
    void keep_newer_weights(serving::catalog& catalog) const;
    void note_software(time_point read_at, std::string const& source);
    void send_to_peers(serving::news_outbox const& items,
                       instance_id const& from);
    /** Logs which prompt parts were blocked or unblocked since the last call,
     *  and queues the records of the latter for removal. */
    void note_block_changes(std::string const& source);
    std::set<request::part_digest> m_noted_blocks; ///< at the last call
    void apply_catalog(serving::catalog catalog, time_point named_at);
    void apply_upstreams(bool changed, std::uint64_t revision,
                         time_point read_at, std::string const& source);
};

} // namespace daisylead::entry
