/** @file State that instances exchange with their peers. */
#pragma once

#include <daisylead/request/part_quarantine_base.hpp>
#include <daisylead/request/quarantine_base.hpp>
#include <daisylead/serving/kv_store_set_base.hpp>
#include <daisylead/serving/quota_limiter_base.hpp>
#include <daisylead/serving/stream_registry_base.hpp>
#include <daisylead/serving/upstream_pool_base.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::serving
{

/** An instance of the fleet. */
struct member
{
    instance_id m_id;      ///< unique id
    std::string m_address; ///< "IP:port" for peers
    /** Start time, Unix ms; identifies the run of the process. */
    std::int64_t m_started = 0;
    zone_id m_zone;          ///< availability zone
    std::int64_t m_size = 0; ///< CPU share, thousandths of a core
    /** "IP:port" where it opens tunnels to upstreams; empty: it does not. */
    std::string m_tunnel_address{};
};

/** A document as read from the store; each instance parses it itself. */
struct document
{
    std::uint64_t m_revision = 0; ///< see make_store_revision()
    /** Grows with the versions that operators give the content; 0: unknown. A
     *  restored store can show an older content under a newer revision. */
    std::uint64_t m_content_order = 0;
    std::string m_bytes; ///< raw content
};

/** Units that each organisation used since the sender's start, in the order of
 *  the organisations in a configuration version. */
struct use_totals
{
    config_version m_configuration;     ///< version that defines the order
    std::vector<std::int64_t> m_totals; ///< units
};

/** Load of the upstream at one position of the upstream list. */
struct position_load
{
    std::uint16_t m_position = 0; ///< index in the list, see load_news
    std::uint16_t m_requests = 0; ///< requests in flight
    std::uint32_t m_tokens = 0; ///< prompt and output tokens of these requests
    /** Since it last sent bytes to one of these requests, or since the first of
     *  them was sent; 0: not known. */
    std::uint16_t m_silence_ms = 0;
};

/** Request rate limit of the upstream at one position of the upstream list. */
struct position_rate
{
    std::uint16_t m_position = 0; ///< index in the list, see load_news
    /** Max. requests per second of all instances; nothing: the limit ended. */
    std::optional<double> m_per_second;
    std::int64_t m_age_ms = 0; ///< since the upstream stated it
    double m_granted = 0;      ///< share of the receiver, from its relay
};

/** Requests in flight and rate limits by position in the upstream list, which
 * is sorted by id. */
struct load_news
{
    std::uint64_t m_list_digest = 0; ///< digest of that list
    std::vector<position_load> m_loads;
    std::vector<position_rate> m_rates;
};

/** Difference between two upstream lists of service discovery. */
struct upstream_changes
{
    /** Digest of the older list; 0: the change holds the full list. */
    std::uint64_t m_base = 0;
    std::vector<upstream_record> m_changed; ///< added or modified
    std::vector<upstream_id> m_removed;     ///< no longer listed
};

/** Weights of an engine with the sequence number of the update. */
struct numbered_weights
{
    weights_news m_news;
    std::uint64_t m_number = 0; ///< sequence number
};

/** Revision of a document at the sender; its age refers to the time of
 *  sending. */
struct document_state
{
    std::uint64_t m_revision = 0; ///< 0: none
    /** Of a configuration its content order, see document; of service
     *  discovery the digest of the list. */
    std::uint64_t m_digest = 0;
    /** Since the store was last seen to hold this revision. */
    std::optional<std::int64_t> m_age_ms;
};

/** Time since a weights version of a model was published ("named"). */
struct named_weights
{
    model_id m_model;           ///< model id
    std::int64_t m_version = 0; ///< version of the weights
    std::int64_t m_age_ms = 0;  ///< lower bound of the time since then
};

/** Software version in use at a service, see software_history. */
struct software_use_news
{
    service_id m_service;                ///< the service
    software_version m_software;         ///< version of its upstreams
    std::int64_t m_last_used_age_ms = 0; ///< since it was last in use
};

/** Software versions in use, as known to the sender. */
struct software_news
{
    std::int64_t m_since_age_ms = 0; ///< start of the known time
    std::int64_t m_until_age_ms = 0; ///< its end
    std::vector<software_use_news> m_uses;
};

/** State of one instance; request and reply have the same form. A relay sends
 *  the sums over its group: itself and the instances that report to it. */
struct fleet_news
{
    member m_member;              ///< the sender
    std::int64_t m_uptime_ms = 0; ///< uptime of the sender
    bool m_leaving = false;       ///< the sender shuts down
    bool m_is_relay = false;      ///< the sender is a relay
    std::int64_t m_group = 1;     ///< instances in its group
    std::int64_t m_fleet = 0;     ///< live instances, as known to the sender
    /** Services whose upstreams the sender cannot reach, though its peers may
     *  reach them. */
    std::vector<service_id> m_cut_services;
    /** Digest of the live relays, as known to the sender. */
    std::uint64_t m_relays_digest = 0;
    std::uint64_t m_store_era = 0; ///< era of the store, as known to the sender
    /** Since when the sender knows that the store is in that era. */
    std::optional<std::int64_t> m_store_era_age_ms;
    document_state m_rules;     ///< configuration
    document_state m_upstreams; ///< service discovery
    /** Use by the group; in a reply of a relay to a child: use by all other
     *  instances. */
    use_totals m_use;
    /** First report to a new relay: use that the previous relay has already
     *  counted. */
    use_totals m_reported_use;
    load_news m_load; ///< requests in flight, of the same instances as m_use
    std::uint64_t m_weights_token = 0; ///< fencing token of the order lease
    /** Sequence number of the newest weights update of the sender. */
    std::uint64_t m_weights_number = 0;
    /** Weights updates that the peer lacks. */
    std::vector<numbered_weights> m_weights;
    /** Since the last message. */
    std::vector<request::quarantine_update> m_suspects;
    /** Since the last message. */
    std::vector<request::crash_report> m_crashes;
    /** Prompt parts with crashes that had a complete answer since; since the
     *  last message. */
    std::vector<request::part_digest> m_answered_parts;
    /** The sender knows which prompt parts are blocked. */
    bool m_knows_blocked_parts = false;
    std::uint64_t m_blocked_digest = 0; ///< of the blocked prompt parts
    /** All blocked prompt parts, if the peer's digest differs. */
    std::vector<request::blocked_part> m_blocked_parts;
    /** Since the last message. */
    std::vector<leaving_upstream> m_leaving_upstreams;
    /** Streams that have begun at some instance, while the upstreams of their
     *  service have several software versions; since the last message. */
    std::vector<begun_stream> m_begun_streams;
    /** KV cache stores that answered. */
    std::vector<kv_store_report> m_kv_stores;
    /** For builds that know only one KV cache store, the last one of the
     *  configuration: changes when it restarts. */
    std::int64_t m_kv_store_epoch = 0;
    /** Since that store last answered. */
    std::optional<std::int64_t> m_kv_store_age_ms;
    /** Prefixes saved in the KV cache stores, see kv_store_set::save_key(). */
    std::vector<std::uint64_t> m_saved;
    bool m_wants_members = false;            ///< reply with m_members
    bool m_wants_rules = false;              ///< reply with m_rules_document
    bool m_wants_upstreams = false;          ///< reply with m_upstream_changes
    std::vector<named_weights> m_named;      ///< sent with m_members
    std::optional<software_news> m_software; ///< sent with m_members
    std::vector<member> m_members;           ///< on request
    /** On request, for builds that do not ask for parts of it. */
    std::string m_rules_document;
    /** The sender answers document_request. */
    bool m_sends_parts = false;
    std::optional<upstream_changes> m_upstream_changes; ///< on request
};

} // namespace daisylead::serving
