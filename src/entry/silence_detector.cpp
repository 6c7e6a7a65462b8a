/** @file Detection of requests on silent upstreams. */
#include "silence_detector.hpp"

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

/** Interval of checks; short against the minimum silence that counts. */
constexpr std::chrono::milliseconds check_interval = 100ms;

/** Timeout of a probe connection to an upstream: several round trips. */
constexpr std::chrono::milliseconds probe_timeout = 300ms;

/** Upstreams without bytes and probes for this long are dropped from the
 *  table. */
constexpr duration forget_after = 60s;

std::int64_t milliseconds_of(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

silence_detector::silence_detector(boost::asio::any_io_executor executor,
                                   fleet_state& state,
                                   upstream_connector& connector)
    : m_executor(std::move(executor)), m_state(state), m_connector(connector)
{
}

void silence_detector::start()
{
    keep_running(m_executor, "silence", [this] { return loop(); });
}

awaitable<void> silence_detector::loop()
{
    for (;;)
    {
        co_await pause(m_executor, check_interval);
        check(boot_time());
    }
}

void silence_detector::check(time_point now)
{
    for (watched_attempt& item : m_watched->m_attempts)
    {
        if (item.m_aborted != abort_reason::none)
        {
            continue;
        }
        if (!item.m_begun && !item.m_model.empty() &&
            m_state.m_upstream_pool.must_recall(item.m_upstream, item.m_model,
                                                now))
        {
            telemetry::log(
                severity::warning, "outdated_attempt_ended",
                {{"request", item.m_request},
                 {"upstream", item.m_upstream.value()},
                 {"waited_ms", milliseconds_of(now - item.m_last_bytes_at)}});
            abort(item, abort_reason::outdated);
        }
        else if (now - item.m_last_bytes_at >= m_options.m_min_overdue)
        {
            check_silence(item, now);
        }
    }
    std::erase_if(m_watched->m_upstreams,
                  [now](auto const& entry)
                  {
                      return now - entry.second.m_last_bytes_at >
                                 forget_after &&
                             now - entry.second.m_last_probe_at > forget_after;
                  });
}

void silence_detector::check_silence(watched_attempt& item, time_point now)
{
    auto& times = m_watched->m_upstreams[item.m_upstream];
    serving::silent_attempt attempt;
    attempt.m_silent = now - item.m_last_bytes_at;
    attempt.m_target = item.m_target;
    attempt.m_repeatable = item.m_repeatable;
    attempt.m_upstream_lost = m_state.m_upstream_pool.is_lost(item.m_upstream);
    attempt.m_upstream_silent = now - times.m_last_bytes_at;
    attempt.m_since_probe = now - times.m_last_probe_at;
    attempt.m_utilisation =
        m_state.m_upstream_pool.utilisation(item.m_upstream, item.m_capacity);
    switch (serving::decide_silent_attempt(m_options, attempt))
    {
    case serving::silence_action::wait:
        break;
    case serving::silence_action::probe:
        times.m_last_probe_at = now;
        run_once(m_executor, "silence_probe",
                 [this, id = item.m_upstream] { return probe(id); });
        break;
    case serving::silence_action::end:
        telemetry::log(
            severity::warning, "silent_attempt_ended",
            {{"request", item.m_request},
             {"upstream", item.m_upstream.value()},
             {"silent_ms", milliseconds_of(attempt.m_silent)},
             {"upstream_lost", attempt.m_upstream_lost},
             {"upstream_silent_ms", milliseconds_of(attempt.m_upstream_silent)},
             {"taken", attempt.m_utilisation}});
        abort(item, abort_reason::silent);
        break;
    }
}

void silence_detector::abort(watched_attempt& item, abort_reason reason)
{
    item.m_aborted = reason;
    item.m_abort();
}

awaitable<void> silence_detector::probe(upstream_id id)
{
    serving::upstream_record const* const listed =
        m_state.m_upstream_pool.find(id);
    if (listed == nullptr)
    {
        co_return;
    }
    bool const reached = co_await m_connector.reaches(*listed, probe_timeout);
    if (!reached)
    {
        m_state.m_upstream_pool.note_unreachable(id, boot_time());
    }
    telemetry::log(reached ? severity::info : severity::warning,
                   "silent_upstream_tested",
                   {{"upstream", id.value()}, {"reached", reached}});
}

silence_detector::watch::watch(silence_detector const& detector,
                               watched_attempt attempt)
    : m_watched(detector.m_watched)
{
    attempt.m_last_bytes_at = boot_time();
    // An upstream without pending requests cannot be silent; its silence starts
    // with this attempt.
    auto& times = m_watched->m_upstreams[attempt.m_upstream];
    bool const is_only_attempt =
        std::none_of(m_watched->m_attempts.begin(), m_watched->m_attempts.end(),
                     [&attempt](watched_attempt const& other)
                     { return other.m_upstream == attempt.m_upstream; });
    if (is_only_attempt)
    {
        times.m_last_bytes_at = attempt.m_last_bytes_at;
    }
    m_attempt = m_watched->m_attempts.insert(m_watched->m_attempts.end(),
                                             std::move(attempt));
}

silence_detector::watch::~watch()
{
    m_watched->m_attempts.erase(m_attempt);
}

void silence_detector::watch::note_bytes()
{
    m_attempt->m_begun = true;
    m_attempt->m_last_bytes_at = boot_time();
    m_watched->m_upstreams[m_attempt->m_upstream].m_last_bytes_at =
        m_attempt->m_last_bytes_at;
}

} // namespace daisylead::entry
