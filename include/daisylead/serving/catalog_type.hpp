/** @file Types of the configuration, of upstreams and of requests. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::serving
{

using milliseconds = std::chrono::milliseconds;

/** Share of a route's traffic that goes to one service. */
struct traffic_share
{
    service_id m_service;      ///< target service
    std::int64_t m_weight = 1; ///< relative to the other shares
};

/** Rules for requests to one host and path prefix. */
struct route
{
    route_id m_id;            ///< unique id
    std::string m_host;       ///< in lower case
    std::string m_prefix;     ///< begins and ends with a slash
    bool m_streaming = false; ///< answers are server-sent events
    /** An interrupted stream can be resumed at another upstream. */
    bool m_resumable = false;
    /** Requests may be retried; a stream that has begun only if it is also
     *  resumable. */
    bool m_repeatable = false;
    bool m_open = false;                ///< requests need no API key
    bool m_prompted = false;            ///< requests carry a model and a prompt
    milliseconds m_timeout{};           ///< time limit of a request
    milliseconds m_target_latency{};    ///< latency target of an answer
    int m_priority = 5;                 ///< 0 is the most urgent
    int m_max_upstreams = 1;            ///< max. upstreams tried per request
    std::vector<traffic_share> m_split; ///< not empty
};

/** An organisation, its API keys and its fleet-wide rate limit. */
struct organisation
{
    organisation_id m_id;            ///< name
    std::vector<std::string> m_keys; ///< API keys in plain text
    std::optional<int> m_priority;   ///< overrides the route's priority
    /** Cached prompts are not shared with other organisations. */
    bool m_isolated = false;
    /** The limit counts tokens instead of requests. */
    bool m_counts_tokens = false;
    double m_rate = 0;          ///< units per second; 0: no limit
    double m_burst = 0;         ///< units; size of the bucket
    token_count m_default_cost; ///< charged for a request without token counts
};

/** A group of interchangeable upstreams. */
struct service
{
    service_id m_id; ///< name
    /** Kind of the upstreams: engine, else plain service. */
    bool m_engine = false;
    token_count m_capacity;         ///< KV cache memory of one engine
    std::string m_kv_store;         ///< "IP:port" if it is a KV cache store
    std::vector<model_id> m_models; ///< models that its engines serve
};

/** Bounds on what callers may send. */
struct caller_limits
{
    std::size_t m_max_header = 16384;    ///< bytes
    std::size_t m_max_body = 4194304;    ///< bytes
    milliseconds m_header_timeout{3000}; ///< to send the header
    milliseconds m_idle_timeout{15000};  ///< between requests
};

/** Target version of the weights of one model. */
struct weights_target
{
    model_id m_model;           ///< model id
    std::int64_t m_version = 0; ///< newest version
};

/** Snapshot of the whole configuration at one version. */
struct catalog
{
    config_version m_version;        ///< of routes and organisations
    std::vector<route> m_routes;     ///< in any order
    std::vector<service> m_services; ///< in any order
    /** Empty: no API key is needed. */
    std::vector<organisation> m_organisations;
    caller_limits m_limits;                ///< for callers
    std::vector<weights_target> m_weights; ///< newest weights by model
};

/** One upstream as service discovery lists it. */
struct upstream_record
{
    upstream_id m_id;         ///< unique among live upstreams
    service_id m_service;     ///< service that it belongs to
    std::string m_address;    ///< "IP:port"
    zone_id m_zone;           ///< availability zone
    std::int64_t m_slots = 0; ///< concurrent requests
    bool m_leaving = false;   ///< draining; takes no new requests
    /** Start time, Unix ms; identifies the run of the process. */
    std::int64_t m_started = 0;
    software_version m_software; ///< of the process, not of the weights
    std::map<model_id, std::int64_t> m_weights; ///< loaded version by model
};

/** One segment of a prompt. Prompts with equal leading segments share a cached
 *  prefix. */
struct prompt_part
{
    std::string m_id;     ///< equal content has an equal id
    token_count m_tokens; ///< length
};

/** Properties of a request that routing and admission depend on. */
struct request_description
{
    std::string m_id;                 ///< unique for each call of a caller
    std::string m_host;               ///< as received
    std::string m_path;               ///< without the query
    std::optional<std::string> m_key; ///< API key of the caller
    /** How long the caller waits for the answer. */
    std::optional<milliseconds> m_caller_timeout;
    model_id m_model; ///< empty for plain services
    /** Prompt tokens plus the limit of output tokens. */
    std::optional<token_count> m_tokens;
    std::vector<prompt_part> m_parts; ///< segments of the prompt, in order
    /** Id of the event after which the caller resumes a stream. */
    std::string m_last_event;
    /** Id of the request that brought the first event of the stream that the
     *  caller resumes; empty: it does not resume one. */
    std::string m_resumes;
};

} // namespace daisylead::serving
