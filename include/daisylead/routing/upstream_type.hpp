/** @file Data types of upstream selection. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>
#include <daisylead/prefix/prefix_index_base.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace daisylead::routing
{

/** Index of an upstream in the table and in prefix::prefix_index. */
using upstream_number = prefix::engine_number;

/** Identifies one request sent to an upstream; 0 is none. */
using send_number = std::uint64_t;

enum class engine_state
{
    serving, ///< accepts new requests
    loading, ///< loads weights; accepts no requests yet
    leaving  ///< finishes its requests; accepts no new ones
};

/** Response to GET /engine/load. */
struct load_report
{
    incarnation m_incarnation;                    ///< changes on restart
    engine_state m_state = engine_state::serving; ///< reported state
    std::int64_t m_running = 0;                   ///< requests being generated
    std::int64_t m_waiting = 0;                   ///< requests before prefill
    token_count m_waiting_tokens;                 ///< uncached prompt tokens
    duration m_age{};                             ///< time since it was taken
    /** Loaded models and adapters with their weights versions. */
    std::vector<std::pair<model_id, weights_version>> m_models;
};

/** Sources that can report an upstream as leaving. Any one of them stops new
 *  requests. The values are bits of a mask. */
enum class leaving_source : std::uint8_t
{
    configuration = 1, ///< state in the inventory
    instance_list = 2, ///< instance list of the platform
    load_report = 4,   ///< state that the engine reports
    refused = 8,       ///< refused connection
    peer = 16          ///< report of another instance
};

/** Selection rule. All but estimated_ttft are baselines for comparison. */
enum class policy
{
    estimated_ttft,    ///< lowest cost, from estimated time to first token
    round_robin,       ///< in rotation
    least_load,        ///< fewest waiting tokens and requests
    bounded_rendezvous ///< rendezvous hashing of the prefix with a load bound
};

/** Input of the selection of an upstream. */
struct choice_request
{
    model_id m_model;                  ///< base model; empty for a service
    weights_version m_weights_version; ///< of the base model
    adapter_id m_adapter;              ///< empty if none is used
    weights_version m_adapter_version; ///< of the adapter
    zone_id m_zone;                    ///< of this instance
    /** For a service: upstreams of the route. For an engine: empty. */
    std::span<upstream_id const> m_route_upstreams;
    std::span<upstream_id const> m_exclude; ///< already tried upstreams
    /** Hash chain of the prompt; empty for a service. */
    std::span<prefix::block_hash const> m_blocks;
    /** Cached leading blocks by upstream number, from prefix_index::lookup. */
    std::span<std::uint16_t const> m_cached;
    token_count m_prompt_tokens; ///< length of the prompt
    token_count m_block_tokens;  ///< length of one block
};

/** Why an upstream cannot be selected. */
enum class ineligibility
{
    none,            ///< eligible
    not_serving,     ///< other model, weights version or route
    excluded,        ///< in choice_request::m_exclude
    leaving,         ///< see leaving_source
    loading,         ///< still loads weights
    failing,         ///< penalty after failures, or a probe is pending
    at_in_flight_max ///< reached table_options::m_max_in_flight
};

/** Figures of one eligible upstream, for an explanation. */
struct candidate_view
{
    upstream_id m_id;                    ///< the upstream
    duration m_estimate{};               ///< estimated time to first token
    duration m_wait{};                   ///< part of it before prefill starts
    duration m_report_age{};             ///< age of the load report; 0 if none
    token_count m_waiting_tokens;        ///< reported, plus those sent since
    token_count m_cached_tokens;         ///< part of the prompt
    std::int64_t m_own_in_flight = 0;    ///< requests of this instance
    std::int64_t m_own_since_report = 0; ///< those sent since the load report
};

/** Result of a selection, with data for an explanation. */
struct choice
{
    std::optional<upstream_id> m_upstream; ///< none: hold or refuse the request
    upstream_number m_number = 0;          ///< of the selected upstream
    duration m_estimate{};                 ///< estimated time to first token
    token_count m_cached_tokens;           ///< expected on the upstream
    std::string m_reason;                  ///< rule that selected it
    std::vector<candidate_view> m_candidates; ///< in order of m_estimate
    /** Number of ineligible upstreams by reason. */
    std::vector<std::pair<ineligibility, std::int64_t>> m_left_out;
};

/** @return name used in explanations and options */
std::string to_string(policy item);
std::string to_string(ineligibility item); ///< same

/** @return policy with this name; none if there is none */
std::optional<policy> parse_policy(std::string const& name);

} // namespace daisylead::routing
