/** @file Routes, services and organisations that instances serve. */
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
    service_id m_service;      ///< where it goes
    std::int64_t m_weight = 1; ///< relative to the other shares
};

/** How requests on one host and path prefix are served. */
struct route
{
    route_id m_id;            ///< name
    std::string m_host;       ///< in lower case
    std::string m_prefix;     ///< begins and ends with a slash
    bool m_streaming = false; ///< answers are server-sent events
    bool m_resumable = false; ///< streams may go on at another upstream
    /** Requests may run more than once; streams: only if resumable. */
    bool m_repeatable = false;
    bool m_open = false;             ///< no key is needed
    bool m_prompted = false;         ///< requests carry a model and a prompt
    milliseconds m_timeout{};        ///< longest time that a request may take
    milliseconds m_target_latency{}; ///< time to a prompt answer
    int m_priority = 5;              ///< 0 is the most urgent
    int m_max_upstreams = 1;         ///< upstreams that may run one request
    std::vector<traffic_share> m_split; ///< not empty
};

/** An organisation, its keys and its limit over all instances. */
struct organisation
{
    organisation_id m_id;            ///< name
    std::vector<std::string> m_keys; ///< in clear, as the operator writes them
    std::optional<int> m_priority;   ///< replaces the route's priority
    bool m_isolated = false;         ///< shares no cached prompt with others
    bool m_counts_tokens = false;    ///< unit of rate and burst; else requests
    double m_rate = 0;               ///< per second; 0: no limit
    double m_burst = 0;              ///< on top of the rate
    token_count m_default_cost;      ///< of a request without token counts
};

/** A group of equal upstreams. */
struct service
{
    service_id m_id;                ///< name
    bool m_engine = false;          ///< model engines; else plain servers
    token_count m_capacity;         ///< memory of one engine
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

/** Weights that engines have to serve. */
struct weights_target
{
    model_id m_model;           ///< the model
    std::int64_t m_version = 0; ///< newest version
};

/** One version of the whole configuration. */
struct catalog
{
    config_version m_version;                  ///< of routes and organisations
    std::vector<route> m_routes;               ///< in any order
    std::vector<service> m_services;           ///< in any order
    std::vector<organisation> m_organisations; ///< empty: no keys are needed
    caller_limits m_limits;                    ///< for callers
    std::vector<weights_target> m_weights;     ///< newest weights by model
};

/** One upstream as service discovery lists it. */
struct upstream_record
{
    upstream_id m_id;           ///< unique among live upstreams
    service_id m_service;       ///< its service
    std::string m_address;      ///< "IP:port"
    zone_id m_zone;             ///< availability zone
    std::int64_t m_slots = 0;   ///< requests that it runs at once
    bool m_leaving = false;     ///< takes no new work
    std::int64_t m_started = 0; ///< its start, Unix ms; changes on restart
    std::map<model_id, std::int64_t> m_weights; ///< loaded version by model
};

/** One part of a prompt. Prompts share leading parts. */
struct prompt_part
{
    std::string m_id;     ///< equal parts have equal ids
    token_count m_tokens; ///< its size
};

/** What decisions need to know of a request. */
struct request_description
{
    std::string m_id;                 ///< unique per attempt of the caller
    std::string m_host;               ///< as received
    std::string m_path;               ///< without the query
    std::optional<std::string> m_key; ///< the caller's key
    std::optional<milliseconds> m_caller_timeout; ///< how long the caller waits
    model_id m_model;                             ///< empty for plain services
    std::optional<token_count> m_tokens; ///< prompt and most output tokens
    std::vector<prompt_part> m_parts;    ///< of the prompt, in order
    std::string m_last_event; ///< the caller resumes a stream after this event
};

} // namespace daisylead::serving
