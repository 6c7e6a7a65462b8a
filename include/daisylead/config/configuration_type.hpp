/** @file Inventory and rules, as kept by the platform and edited by operators.
 */
#pragma once

#include <daisylead/access/key_digest_type.hpp>
#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::config
{

using milliseconds = std::chrono::milliseconds;

/** A customer that owns keys and has a fleet-wide token limit. */
struct organisation
{
    organisation_id m_id;           ///< unique
    token_rate m_rate;              ///< tokens per second over the fleet
    token_count m_burst;            ///< tokens over the fleet
    int m_weight = 1;               ///< share under overload, at least 1
    std::vector<model_id> m_models; ///< permitted models and adapters
    std::vector<route_id> m_routes; ///< permitted service routes
};

/** A key of an organisation, stored as a digest. */
struct access_key
{
    access::key_digest m_digest;    ///< digest of the key
    organisation_id m_organisation; ///< owner
    std::string m_label;            ///< shown to operators
};

/** A model that engines serve. */
struct model
{
    model_id m_id;                     ///< unique among models and adapters
    weights_version m_weights_version; ///< version that requests must use
};

/** An adapter on top of a model; callers name it in place of a model. */
struct adapter
{
    adapter_id m_id;                   ///< unique among models and adapters
    model_id m_model;                  ///< base model
    weights_version m_weights_version; ///< version of the adapter's weights
    std::vector<organisation_id> m_organisations; ///< permitted; empty: all
};

enum class upstream_kind
{
    engine, ///< serves models
    service ///< serves plain routes
};

enum class upstream_state
{
    active, ///< takes new work
    leaving ///< finishes its work and gets no new work
};

/** An engine or a plain service. */
struct upstream
{
    upstream_id m_id;                             ///< unique
    upstream_kind m_kind = upstream_kind::engine; ///< engine or service
    std::string m_address;                        ///< "IP:port"
    zone_id m_zone;                               ///< availability zone
    std::vector<model_id> m_models;               ///< models an engine serves
    bool m_fenced_orders = false; ///< refuses orders with an old fence number
    upstream_state m_state = upstream_state::active; ///< set by operators
};

enum class idempotency_key_rule
{
    optional, ///< the caller may send one
    required  ///< a call without one is refused
};

/** A path prefix that is served by plain services. */
struct route
{
    route_id m_id;                        ///< unique
    std::string m_path;                   ///< path prefix, begins with '/'
    std::vector<upstream_id> m_upstreams; ///< services that serve it
    bool m_open = false;                  ///< open to callers without a key
    bool m_repeatable = true; ///< false: each call runs at most once
    idempotency_key_rule m_idempotency_key =
        idempotency_key_rule::optional;  ///< whether a key is required
    token_count m_cost = token_count(1); ///< tokens charged for each call
};

/** Priority of requests that match all the given fields. */
struct priority_rule
{
    std::optional<organisation_id> m_organisation; ///< any if absent
    std::optional<model_id> m_model;               ///< any if absent
    std::optional<route_id> m_route;               ///< any if absent
    int m_priority = 0;                            ///< 0 is the most urgent
};

/** Rules that hold for the whole fleet. */
struct rules
{
    token_count m_default_generated_tokens{256};    ///< if the caller sets none
    token_count m_max_generated_tokens{8192};       ///< upper bound for callers
    milliseconds m_default_deadline{60000};         ///< if the caller sets none
    milliseconds m_max_deadline{600000};            ///< upper bound for callers
    std::int64_t m_max_queued = 256;                ///< requests, per instance
    std::int64_t m_max_in_flight_per_upstream = 64; ///< requests, per instance
    std::int64_t m_max_attempts = 3;                ///< attempts of one request
    int m_retry_budget_percent = 10;  ///< retries per hundred successes
    int m_default_priority = 5;       ///< if no priority rule matches
    int m_static_share_percent = 5;   ///< of each limit, set aside for outages
    std::int64_t m_loads_at_once = 3; ///< weight loads over the whole fleet
    std::int64_t m_limit_shards = 16; ///< shards of the limit owners
    byte_count m_block_size{1024};    ///< prompt bytes of one prefix block
    int m_bytes_per_token = 4;        ///< estimate for prompts
    milliseconds m_quarantine{
        300000}; ///< how long a crashing request is refused
    int m_default_prefill_rate = 8000; ///< tokens per second, until measured
};

/** One version of inventory and rules. */
struct configuration
{
    config_version m_version; ///< assigned by the platform's table
    std::string m_hash;       ///< SHA-256 of the text, hex
    std::string m_text;       ///< the document as accepted
    std::vector<organisation> m_organisations; ///< customers
    std::vector<access_key> m_keys;            ///< keys, as digests
    std::vector<model> m_models;               ///< models
    std::vector<adapter> m_adapters;           ///< adapters
    std::vector<upstream> m_upstreams;         ///< engines and services
    std::vector<route> m_routes;               ///< service routes
    std::vector<priority_rule> m_priorities;   ///< first match wins
    rules m_rules;                             ///< fleet rules
};

} // namespace daisylead::config
