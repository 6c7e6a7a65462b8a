/** @file Plain types of upstream selection. */
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

/** Dense number of an upstream; also its number in prefix::prefix_index. */
using upstream_number = prefix::engine_number;

/** Identifies one send to an upstream; 0 is none. */
using send_number = std::uint64_t;

enum class engine_state
{
    serving, ///< takes work
    loading, ///< loads weights and takes no work yet
    leaving  ///< finishes its work
};

/** GET /engine/load, as read by this instance. */
struct load_report
{
    incarnation m_incarnation;                    ///< changes on restart
    engine_state m_state = engine_state::serving; ///< as the engine says
    std::int64_t m_running = 0;                   ///< requests being generated
    std::int64_t m_waiting = 0;                   ///< requests before prefill
    token_count m_waiting_tokens;                 ///< uncached prompt tokens
    duration m_age{};                             ///< when it was read
    /** Models and adapters with the weights version that is loaded. */
    std::vector<std::pair<model_id, weights_version>> m_models;
};

/** Who said that an upstream is leaving. Any one of them stops new work. */
enum class leaving_source : std::uint8_t
{
    configuration = 1, ///< state in the inventory
    instance_list = 2, ///< the platform's list
    load_report = 4,   ///< the engine itself
    refused = 8,       ///< it refused a connection
    peer = 16          ///< another instance
};

/** How an upstream is chosen. All but estimated_ttft are baselines. */
enum class policy
{
    estimated_ttft,    ///< lowest estimated time to first token
    round_robin,       ///< in turn
    least_load,        ///< fewest waiting tokens and requests
    bounded_rendezvous ///< rendezvous hashing of the prefix with a load bound
};

/** What has to be routed. */
struct choice_request
{
    model_id m_model;                  ///< base model; empty for a service
    weights_version m_weights_version; ///< of the base model
    adapter_id m_adapter;              ///< empty if none is used
    weights_version m_adapter_version; ///< of the adapter
    zone_id m_zone;                    ///< of this instance
    /** Services: the route's upstreams. Engines: empty. */
    std::span<upstream_id const> m_route_upstreams;
    std::span<upstream_id const> m_exclude; ///< already tried
    /** Hash chain of the prompt; empty for a service. */
    std::span<prefix::block_hash const> m_blocks;
    std::span<std::uint16_t const> m_cached; ///< prefix_index::lookup
    token_count m_prompt_tokens;             ///< whole prompt
    token_count m_block_tokens;              ///< of one block
};

enum class ineligibility
{
    none,            ///< can be chosen
    not_serving,     ///< wrong model, weights version or route
    excluded,        ///< on the exclusion list
    leaving,         ///< takes no new work
    loading,         ///< loads weights
    failing,         ///< in its penalty after failures
    at_in_flight_max ///< has as many requests as permitted
};

/** An upstream as it was weighed. */
struct candidate_view
{
    upstream_id m_id;                    ///< the upstream
    duration m_estimate{};               ///< time to first token
    duration m_wait{};                   ///< part before its prefill starts
    duration m_report_age{};             ///< of the load report; 0 if none
    token_count m_waiting_tokens;        ///< corrected by own sends
    token_count m_cached_tokens;         ///< of this prompt
    std::int64_t m_own_in_flight = 0;    ///< requests of this instance
    std::int64_t m_own_since_report = 0; ///< thereof sent since the report
};

/** Result of a choice, with what an explanation needs. */
struct choice
{
    std::optional<upstream_id> m_upstream; ///< none: hold or refuse it
    upstream_number m_number = 0;          ///< of the chosen upstream
    duration m_estimate{};                 ///< time to first token
    token_count m_cached_tokens;           ///< expected on the chosen upstream
    std::string m_reason;                  ///< rule that decided
    std::vector<candidate_view> m_candidates; ///< the best ones, in order
    /** Upstreams left out, by ineligibility. */
    std::vector<std::pair<ineligibility, std::int64_t>> m_left_out;
};

/** @return the name used in explanations and options. */
std::string to_string(policy item);
std::string to_string(ineligibility item); ///< see above

/** @return the policy of a name, or none. */
std::optional<policy> parse_policy(std::string const& name);

} // namespace daisylead::routing
