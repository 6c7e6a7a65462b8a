/** @file Row of the upstream table: state of one upstream. */
#include "upstream_row.hpp"

#include <algorithm>
#include <chrono>

namespace daisylead::routing
{

namespace
{

constexpr duration initial_penalty = std::chrono::milliseconds(500);
/** A restarted engine is available again within seconds; a longer penalty would
 *  leave it idle. */
constexpr duration max_penalty = std::chrono::seconds(8);
constexpr int max_doublings = 4;
/** Bounds the memory for an upstream that never reports its load. */
constexpr std::size_t max_unreported_sends = 1024;

} // namespace

std::uint32_t name_interner::intern(std::string const& name)
{
    auto const next = static_cast<std::uint32_t>(m_numbers.size() + 1);
    return m_numbers.emplace(name, next).first->second;
}

std::uint32_t name_interner::find(std::string const& name) const
{
    auto const found = m_numbers.find(name);
    return found == m_numbers.end() ? unknown : found->second;
}

void backlog::add(time_point now, double prefill_rate, double tokens)
{
    m_tokens = at(now, prefill_rate) + tokens;
    m_at = std::max(m_at, now);
}

void backlog::reset(time_point now, double tokens)
{
    m_at = now;
    m_tokens = tokens;
}

void upstream_row::set_leaving(leaving_source source, bool leaving)
{
    auto const bit = static_cast<std::uint8_t>(source);
    m_leaving =
        static_cast<std::uint8_t>(leaving ? m_leaving | bit : m_leaving & ~bit);
}

std::int64_t upstream_row::load() const
{
    return m_has_report
               ? m_reported_requests +
                     static_cast<std::int64_t>(m_unreported_sends.size())
               : m_in_flight;
}

void upstream_row::apply_report(load_report const& report, time_point now)
{
    m_has_report = true;
    m_reported_at = now - report.m_age;
    m_state = report.m_state;
    m_reported_requests = report.m_running + report.m_waiting;
    set_leaving(leaving_source::load_report,
                report.m_state == engine_state::leaving);
    if (m_reported_at > m_refused_at)
    {
        set_leaving(leaving_source::refused, false);
    }
    while (!m_unreported_sends.empty() &&
           m_unreported_sends.front().m_at <= m_reported_at)
    {
        m_unreported_sends.pop_front();
    }
    m_backlog.reset(m_reported_at,
                    static_cast<double>(report.m_waiting_tokens.value()));
    for (unreported_send const& item : m_unreported_sends)
    {
        m_backlog.add(item.m_at, m_prefill_rate, item.m_tokens);
    }
}

void upstream_row::add_send(time_point now, double tokens)
{
    m_backlog.add(now, m_prefill_rate, tokens);
    m_unreported_sends.push_back({now, tokens});
    if (m_unreported_sends.size() > max_unreported_sends)
    {
        m_unreported_sends.pop_front();
    }
    ++m_in_flight;
}

void upstream_row::start_penalty(time_point now)
{
    m_probe_in_flight = false;
    if (now < m_penalty_until)
    {
        // When an engine crashes, all its requests fail together; that counts
        // as one failure.
        return;
    }
    int const doublings = std::min(m_consecutive_failures, max_doublings);
    m_penalty_until =
        now + std::min(max_penalty, initial_penalty * (1 << doublings));
    ++m_consecutive_failures;
}

void upstream_row::end_penalty()
{
    m_consecutive_failures = 0;
    m_probe_in_flight = false;
    m_penalty_until = time_point();
}

} // namespace daisylead::routing
