/** @file Requests on upstreams that fell silent. */
#include "silence_guard.hpp"

#include "http_connection.hpp"
#include "keep_running_func.hpp"
#include "pause_func.hpp"

#include <daisylead/telemetry/log_func.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;
using telemetry::severity;

/** Interval of the checks; short against the shortest silence that counts. */
constexpr std::chrono::milliseconds check_interval = 100ms;

/** Time for a connection that tests an upstream: several round trips. */
constexpr std::chrono::milliseconds probe_timeout = 300ms;

/** Upstreams without a request for this long are forgotten. */
constexpr duration forget_after = 60s;

std::int64_t milliseconds_of(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

silence_guard::silence_guard(boost::asio::any_io_executor executor,
                             fleet_state& state)
    : m_executor(std::move(executor)), m_state(state)
{
}

void silence_guard::start()
{
    keep_running(m_executor, "silence", [this] { return loop(); });
}

awaitable<void> silence_guard::loop()
{
    for (;;)
    {
        co_await pause(m_executor, check_interval);
        check(boot_time());
    }
}

void silence_guard::check(time_point now)
{
    for (open_attempt& item : m_open->m_attempts)
    {
        if (item.m_ended || now - item.m_heard < m_options.m_min_overdue)
        {
            continue;
        }
        auto& times = m_open->m_upstreams[item.m_upstream];
        serving::silent_attempt attempt;
        attempt.m_silent = now - item.m_heard;
        attempt.m_target = item.m_target;
        attempt.m_repeatable = item.m_repeatable;
        attempt.m_upstream_lost = m_state.m_board.is_lost(item.m_upstream);
        attempt.m_upstream_silent = now - times.m_heard;
        attempt.m_since_probe = now - times.m_probed;
        attempt.m_utilisation =
            m_state.m_board.utilisation(item.m_upstream, item.m_capacity);
        switch (serving::decide_silent_attempt(m_options, attempt))
        {
        case serving::silence_action::wait:
            break;
        case serving::silence_action::probe:
            times.m_probed = now;
            run_once(m_executor, "silence_probe",
                     [this, id = item.m_upstream, address = item.m_address]
                     { return probe(id, address); });
            break;
        case serving::silence_action::end:
            telemetry::log(severity::warning, "silent_attempt_ended",
                           {{"request", item.m_request},
                            {"upstream", item.m_upstream.value()},
                            {"silent_ms", milliseconds_of(attempt.m_silent)},
                            {"upstream_lost", attempt.m_upstream_lost},
                            {"upstream_silent_ms",
                             milliseconds_of(attempt.m_upstream_silent)},
                            {"taken", attempt.m_utilisation}});
            item.m_ended = true;
            item.m_end();
            break;
        }
    }
    std::erase_if(m_open->m_upstreams,
                  [now](auto const& entry)
                  {
                      return now - entry.second.m_heard > forget_after &&
                             now - entry.second.m_probed > forget_after;
                  });
}

awaitable<void> silence_guard::probe(upstream_id id, std::string address)
{
    auto const connection =
        std::make_shared<http_connection>(m_executor, address);
    bool const reached = co_await connection->connect(probe_timeout);
    connection->abort();
    if (!reached)
    {
        m_state.m_board.note_unreachable(id, boot_time());
    }
    telemetry::log(reached ? severity::info : severity::warning,
                   "silent_upstream_tested",
                   {{"upstream", id.value()}, {"reached", reached}});
}

silence_guard::watch::watch(silence_guard const& guard, open_attempt attempt)
    : m_open(guard.m_open)
{
    attempt.m_heard = boot_time();
    // An upstream without any request yet cannot be silent.
    auto& times = m_open->m_upstreams[attempt.m_upstream];
    bool const is_alone =
        std::none_of(m_open->m_attempts.begin(), m_open->m_attempts.end(),
                     [&attempt](open_attempt const& other)
                     { return other.m_upstream == attempt.m_upstream; });
    if (is_alone)
    {
        times.m_heard = attempt.m_heard;
    }
    m_attempt =
        m_open->m_attempts.insert(m_open->m_attempts.end(), std::move(attempt));
}

silence_guard::watch::~watch()
{
    m_open->m_attempts.erase(m_attempt);
}

void silence_guard::watch::note_bytes()
{
    m_attempt->m_heard = boot_time();
    m_open->m_upstreams[m_attempt->m_upstream].m_heard = m_attempt->m_heard;
}

} // namespace daisylead::entry
