/** @file Detection of upstreams that crashed. */
#include "crash_detector.hpp"

#include "keep_running_func.hpp"

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;

/** Timeout of the connection; a port without a listener refuses it at once. */
constexpr std::chrono::milliseconds probe_timeout = 300ms;

/** Streams of a process that ends break off within this time. */
constexpr duration broken_together = 100ms;

} // namespace

crash_detector::crash_detector(boost::asio::any_io_executor executor,
                               fleet_state& state,
                               upstream_connector& connector)
    : m_executor(std::move(executor)), m_state(state), m_connector(connector)
{
}

void crash_detector::check(serving::upstream_record const& upstream)
{
    if (m_in_progress.insert(upstream.m_id).second)
    {
        run_once(m_executor, "crash_probe",
                 [this, upstream] { return probe(upstream); });
    }
}

void crash_detector::note_stream_broken(
    serving::upstream_record const& upstream)
{
    time_point const now = boot_time();
    if (m_last_broken == upstream.m_id &&
        now - m_last_broken_at <= broken_together &&
        m_end_probes.insert(upstream.m_id).second)
    {
        run_once(m_executor, "end_probe",
                 [this, upstream] { return probe_end(upstream); });
    }
    m_last_broken = upstream.m_id;
    m_last_broken_at = now;
}

awaitable<void> crash_detector::probe(serving::upstream_record upstream)
{
    bool const reached = co_await m_connector.reaches(upstream, probe_timeout);
    m_in_progress.erase(upstream.m_id);
    request::upstream_incarnation const run{upstream.m_id,
                                            incarnation(upstream.m_started)};
    if (reached)
    {
        m_state.m_part_quarantine.upstream_reached(run);
        co_return;
    }
    m_state.m_upstream_pool.note_unreachable(upstream.m_id, boot_time());
    m_state.note_crash(run);
}

awaitable<void> crash_detector::probe_end(serving::upstream_record upstream)
{
    // The connector notes the end of the process.
    co_await m_connector.reaches(upstream, probe_timeout);
    m_end_probes.erase(upstream.m_id);
}

} // namespace daisylead::entry
