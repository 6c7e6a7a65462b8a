/** @file State of one upstream inside the table. */
#pragma once

#include <daisylead/routing/upstream_table_base.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisylead::routing
{

/** Gives small numbers to names, so that a choice compares no strings. */
class name_interner
{
public:
    static constexpr std::uint32_t unknown = 0;

    /** @return the number of the name, a new one if needed. */
    std::uint32_t intern(std::string const& name);

    /** @return the number of the name; unknown if it has none. */
    std::uint32_t find(std::string const& name) const;

private:
    std::unordered_map<std::string, std::uint32_t> m_numbers;
};

/** A model or adapter with its weights version, as numbers. */
struct loaded_model
{
    std::uint32_t m_model = name_interner::unknown;
    std::uint32_t m_version = name_interner::unknown;

    bool operator==(loaded_model const&) const = default;
};

/** A send that a later report may or may not include. */
struct unreported_send
{
    time_point m_at;
    double m_tokens = 0;
};

/** Tokens that wait for prefill, which drain at the prefill speed. */
class backlog
{
public:
    /** @param prefill_rate tokens per second */
    double at(time_point now, double prefill_rate) const
    {
        double const drained =
            prefill_rate * std::chrono::duration<double>(now - m_at).count();
        return now > m_at ? std::max(0.0, m_tokens - drained) : m_tokens;
    }

    void add(time_point now, double prefill_rate, double tokens);
    void reset(time_point now, double tokens);

private:
    time_point m_at;
    double m_tokens = 0;
};

/** State of one upstream. What every choice reads is in the first cache line.
 */
struct alignas(64) upstream_row
{
    bool m_in_use = false;
    std::uint8_t m_leaving = 0; ///< bits of leaving_source
    bool m_has_report = false;
    bool m_probe_in_flight = false;
    int m_consecutive_failures = 0; ///< in a row
    engine_state m_state = engine_state::serving;
    config::upstream_kind m_kind = config::upstream_kind::engine;
    std::uint32_t m_zone = name_interner::unknown;
    std::int32_t m_in_flight = 0;
    double m_prefill_rate = 0; ///< tokens per second
    backlog m_backlog;
    std::uint64_t m_id_hash = 0;
    time_point m_peer_leaving_until; ///< a peer's report counts until then
    std::int64_t m_reported_requests = 0;
    time_point m_reported_at;   ///< when the report was taken
    time_point m_penalty_until; ///< no work before this
    time_point m_refused_at;    ///< last refused connection
    std::vector<std::uint32_t> m_configured_models; ///< models of the inventory
    std::vector<loaded_model> m_loaded_models; ///< models of the load report
    std::deque<unreported_send> m_unreported_sends; ///< since the report
    incarnation m_incarnation;
    upstream_id m_id;

    void set_leaving(leaving_source source, bool leaving);

    /** @return whether a source calls it leaving. */
    bool is_leaving(time_point now) const
    {
        return m_leaving != 0 || now < m_peer_leaving_until;
    }

    /** @return requests, of the report and own ones since. */
    std::int64_t load() const;

    /** Rebuilds the backlog from a report and the sends after it. */
    void apply_report(load_report const& report, time_point now);

    /** Counts a request that this instance sends. */
    void add_send(time_point now, double tokens);

    /** Starts or prolongs the penalty after a failure. */
    void start_penalty(time_point now);

    void end_penalty();
};

} // namespace daisylead::routing
