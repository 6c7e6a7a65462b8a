/** @file What one entry instance knows of the fleet. */
#pragma once

#include <daisylead/config/entry_settings_type.hpp>
#include <daisylead/entry/adapter_type.hpp>
#include <daisylead/entry/boot_time_func.hpp>
#include <daisylead/request/recent_map_base.hpp>
#include <daisylead/serving/catalog_index_base.hpp>
#include <daisylead/serving/fleet_roster_base.hpp>
#include <daisylead/serving/freshness_base.hpp>
#include <daisylead/serving/retry_throttle_base.hpp>
#include <daisylead/serving/upstream_list_base.hpp>
#include <daisylead/telemetry/metrics_base.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>

namespace daisylead::entry
{

/** State of one instance. Used by the instance's thread only. */
class fleet_state
{
public:
    /** @param started this process's start, Unix ms */
    fleet_state(config::entry_settings const& settings, adapter const& calls,
                telemetry::metrics& metrics,
                boost::asio::any_io_executor const& executor,
                std::int64_t started);

    /** Takes the configuration as read at @p read_at.
     *  @param source who read it, for the log */
    void take_rules(serving::document document, time_point read_at,
                    std::string const& source);

    /** Takes service discovery as the store sent it. */
    void take_upstreams(serving::document const& document, time_point read_at);

    /** Takes differences that a peer sent.
     *  @param told the state of the list at the peer
     *  @return whether they fit to the list of this instance */
    bool take_upstream_changes(serving::upstream_changes const& changes,
                               serving::document_state const& told,
                               time_point read_at, std::string const& source);

    /** A peer's proof that a document did not change. */
    void note_rules_unchanged(time_point read_at);
    void note_upstreams_unchanged(std::uint64_t revision, time_point read_at);

    /** @return whether requests with a key may be served. */
    bool is_key_knowledge_valid(time_point now) const;

    /** @return whether the load balancer should send callers here. */
    bool is_ready(time_point now) const;

    /** Adds or updates a peer, and logs it.
     *  @param from_itself it said so; else a list did, which may be old */
    void note_member(serving::member const& member, bool from_itself);

    /** Drops the sums of peers that count no longer, and takes the size of the
     *  fleet into account. */
    void refresh_peers(time_point now);

    /** @return use in the order of the configuration. */
    serving::use_totals
    to_totals(std::vector<serving::quota_use> const& use) const;

    /** @return use by organisation; nothing if it is in the order of another
     *          configuration. */
    std::optional<std::vector<serving::quota_use>>
    use_from(serving::use_totals const& totals) const;

    /** Takes news of weights from a peer.
     *  @return whether some of it was new */
    bool take_weights(serving::fleet_news const& news, time_point now);

    /** Publishes news of the holder of the order lease. */
    void publish_weights(std::uint64_t token, serving::weights_news const& news,
                         time_point now);

    /** Tells marks of loading engines again, so that they do not lapse. */
    void repeat_weights(time_point now);

    /** @return news of weights that a peer lacks. */
    std::vector<serving::numbered_weights>
    weights_for(std::uint64_t token, std::uint64_t number) const;

    /** An upstream said in an answer that it leaves; or a peer told so.
     *  @param from the peer; empty: this instance saw it */
    void note_leaving(serving::leaving_upstream const& item,
                      instance_id const& from);

    /** Queues news of suspects for the peers. */
    void note_suspects(std::vector<request::quarantine_news> news);

    /** @return when weights were named, for a peer that has just started;
     *          nothing if this process does not know it itself. */
    std::vector<serving::named_weights> named_weights(time_point now) const;

    /** Takes when weights were named, if this process has only assumed it. */
    void take_named(std::vector<serving::named_weights> const& named,
                    time_point sent_at);

    /** The KV cache store answered at @p seen_at. */
    void note_kv_store(std::int64_t epoch, time_point seen_at);

    /** The KV cache store gave no answer. */
    void note_kv_store_silent();

    /** @return whether the KV cache store can be used. */
    bool is_kv_store_up(time_point now) const;

    /** @return whether the prefix is not known to be in the KV cache store; it
     *          counts as saved from then on, here and at the peers */
    bool take_unsaved(std::uint64_t prefix);

    /** A peer saves the prefix. */
    void note_saved(std::uint64_t prefix);

    /** @return the state without keys or prompts. */
    nlohmann::json dump(time_point now) const;

    config::entry_settings const& m_settings;
    adapter const& m_calls;
    telemetry::metrics& m_metrics;
    std::shared_ptr<serving::catalog_index const> m_catalog; ///< may be null
    serving::document m_rules;
    serving::freshness m_rules_freshness;
    serving::upstream_list m_upstreams;
    std::uint64_t m_upstreams_revision = 0; ///< of the newest read
    std::optional<time_point> m_upstreams_read_at;
    serving::upstream_pool m_board;
    serving::quota_limiter m_quotas;
    serving::retry_throttle m_retries;
    request::quarantine m_quarantine;
    serving::fleet_roster m_roster;
    std::uint64_t m_weights_token = 0;  ///< of the newest holder heard of
    std::uint64_t m_weights_number = 0; ///< newest news of that holder
    std::optional<time_point> m_weights_heard; ///< news of another holder
    std::int64_t m_kv_store_epoch = 0;
    std::optional<time_point> m_kv_store_seen; ///< its last answer
    std::function<void()> m_on_urgent;         ///< news must not wait
    bool m_draining = false;
    /** Requests of which the first byte came and the answer has not ended;
     *  shared with the connections, which may end later than this state. */
    std::shared_ptr<std::size_t> m_active_requests =
        std::make_shared<std::size_t>(0);
    boost::asio::any_io_executor m_executor; ///< of the instance's thread

private:
    std::uint64_t m_unreadable_revision = 0; ///< logged last
    /** When the weights of the first configuration were named is assumed. */
    bool m_named_assumed = true;
    time_point m_started; ///< of this process
    /** News of the holder of the order lease. */
    std::map<upstream_id, serving::numbered_weights> m_weights;
    /** Prefixes in the KV cache store, with the time of the save. */
    request::recent_map<std::uint64_t, time_point> m_saved;
    void apply_catalog(serving::catalog catalog, time_point named_at);
    void apply_upstreams(bool changed, std::uint64_t revision,
                         time_point read_at, std::string const& source);
};

} // namespace daisylead::entry
