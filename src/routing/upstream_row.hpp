/** @file Row of the upstream table: state of one upstream. */
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

/** Maps names to numbers, so that the selection compares no strings. */
class name_interner
{
public:
    static constexpr std::uint32_t unknown = 0;

    /** @return number of the name, newly assigned if needed */
    std::uint32_t intern(std::string const& name);

    /** @return number of the name; unknown if it has none */
    std::uint32_t find(std::string const& name) const;

private:
    std::unordered_map<std::string, std::uint32_t> m_numbers;
};

/** Model or adapter with its weights version, as numbers of name_interner. */
struct loaded_model
{
    std::uint32_t m_model = name_interner::unknown;
    std::uint32_t m_version = name_interner::unknown;

    bool operator==(loaded_model const&) const = default;
};

/** A sent request that the current load report does not include. */
struct unreported_send
{
    time_point m_at;
    double m_tokens = 0;
};

/** Estimated tokens waiting for prefill. They decrease at the prefill rate. */
class backlog
{
public:
    /** @param prefill_rate tokens per second
     *  @return tokens waiting at this time */
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

/** State of one upstream. Members that every selection reads come first, to lie
 *  in the first cache line. */
struct alignas(64) upstream_row
{
    bool m_in_use = false;      ///< false: free slot of the table
    std::uint8_t m_leaving = 0; ///< mask of leaving_source
    bool m_has_report = false;
    bool m_probe_in_flight = false;
    int m_consecutive_failures = 0;
    engine_state m_state = engine_state::serving;
    config::upstream_kind m_kind = config::upstream_kind::engine;
    std::uint32_t m_zone = name_interner::unknown;
    std::int32_t m_in_flight = 0;
    double m_prefill_rate = 0; ///< tokens per second
    backlog m_backlog;
    std::uint64_t m_id_hash = 0;
    time_point m_peer_leaving_until; ///< expiry of a peer's report
    std::int64_t m_reported_requests = 0;
    time_point m_reported_at;   ///< time of the load report
    time_point m_penalty_until; ///< gets no requests before
    time_point m_refused_at;    ///< time of the last refused connection
    std::vector<std::uint32_t> m_configured_models; ///< in the inventory
    std::vector<loaded_model> m_loaded_models;      ///< in the load report
    std::deque<unreported_send> m_unreported_sends; ///< since the load report
    incarnation m_incarnation;
    upstream_id m_id;

    /** Sets or clears the flag of one source. */
    void set_leaving(leaving_source source, bool leaving);

    /** @return whether any source reports it as leaving */
    bool is_leaving(time_point now) const
    {
        return m_leaving != 0 || now < m_peer_leaving_until;
    }

    /** @return number of requests: those of the load report and those that this
     *  instance sent since; without a report, those of this instance */
    std::int64_t load() const;

    /** Applies a load report and rebuilds the backlog from it and the requests
     *  sent after it. */
    void apply_report(load_report const& report, time_point now);

    /** Counts a request sent by this instance. */
    void add_send(time_point now, double tokens);

    /** Starts a penalty after a failure. Its length doubles with each failure
     *  in a row; a failure during a penalty is not counted. */
    void start_penalty(time_point now);

    /** Clears the penalty and the count of failures. */
    void end_penalty();
};

} // namespace daisylead::routing
