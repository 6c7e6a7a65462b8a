/** @file Traces of arrivals, upstream changes and faults. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>
#include <daisylead/prefix/block_chain_type.hpp>

#include <chrono>
#include <istream>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace daisylead::replay
{

using microseconds = std::chrono::microseconds;

/** Tokens of one prefix block: 1024 bytes at 4 bytes per token. */
constexpr std::int64_t block_tokens = 256;

/** An organisation of the site. */
struct trace_organisation
{
    organisation_id m_id; ///< unique
    token_rate m_rate;    ///< tokens per second over the fleet
    token_count m_burst;  ///< tokens over the fleet
    int m_weight = 1;     ///< share under overload
};

/** A model server of the site. */
struct trace_engine
{
    upstream_id m_id; ///< unique
    zone_id m_zone;   ///< availability zone
};

/** First line of a trace. */
struct site
{
    std::string m_name;                              ///< for example "tengri"
    std::vector<zone_id> m_zones;                    ///< availability zones
    std::int64_t m_instances = 0;                    ///< entry instances
    std::vector<trace_engine> m_engines;             ///< model servers
    std::vector<trace_organisation> m_organisations; ///< customers
};

/** One level of a nested prefix. */
struct path_segment
{
    std::string m_name;        ///< equal names have equal text
    std::int64_t m_tokens = 0; ///< length
};

/** A request reaches an instance. */
struct arrival
{
    microseconds m_at{};                 ///< since the start of the trace
    std::int64_t m_instance = 0;         ///< chosen by the load balancer
    organisation_id m_organisation;      ///< owner
    std::vector<path_segment> m_path;    ///< nested shared prefix
    std::int64_t m_prompt_tokens = 0;    ///< with the part that is not shared
    std::int64_t m_generated_tokens = 0; ///< of the answer
    int m_priority = 0;                  ///< 0 is the most urgent
    microseconds m_deadline{};           ///< for the first token, from arrival
};

/** The inventory or an engine says that an engine leaves. */
struct upstream_leaves
{
    microseconds m_at{};    ///< since the start of the trace
    upstream_id m_upstream; ///< engine
};

enum class fault_kind
{
    engine_crash, ///< all its requests and its cache are lost
    table_outage  ///< the platform's table does not answer
};

/** Something fails for a time. */
struct fault
{
    microseconds m_at{};     ///< since the start of the trace
    fault_kind m_kind{};     ///< what fails
    upstream_id m_upstream;  ///< engine; empty for the table
    microseconds m_length{}; ///< until it works again
};

using trace_event = std::variant<arrival, upstream_leaves, fault>;

/** A site and what happens there, in order of time. */
struct trace
{
    site m_site;                       ///< first line
    std::vector<trace_event> m_events; ///< further lines
};

/** Writes JSON lines. */
void write_trace(std::ostream& stream, trace const& item);

/** Reads JSON lines.
 *  @throws findings_error with the line of the first problem */
trace read_trace(std::istream& stream, std::string const& file_name);

/** @return time of an event since the start of the trace. */
microseconds time_of(trace_event const& event);

/** @return the hash chain of the whole blocks of the path. */
prefix::block_chain chain_of(arrival const& item);

/** Generates a trace of nested shared prefixes with a few hot ones that shift,
 *  one organisation at several times its rate, and an engine crash.
 *  @param site_name "tengri" or "wiegenwerk"
 *  @param seed equal seeds give equal traces
 *  @param length of the trace
 *  @param load factor on the site's usual requests and rates
 *  @throws error if the site is unknown */
trace generate_trace(std::string const& site_name, std::uint64_t seed,
                     std::chrono::seconds length, double load = 1);

} // namespace daisylead::replay
