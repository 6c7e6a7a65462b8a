/** @file Moving average of the rate at which queued tokens are started. */
#include "service_rate.hpp"

#include <algorithm>
#include <chrono>

namespace daisylead::admission
{

namespace
{

/** Starts come in bursts when an upstream reports free capacity. A window has
 * to cover several bursts. */
constexpr duration measurement_window = std::chrono::milliseconds(500);
/** Shorter pauses between starts occur when the few waiting requests need the
 *  same busy engine. */
constexpr duration stall_timeout = std::chrono::seconds(2);
/** Weight of one window in the moving average. */
constexpr double smoothing_factor = 0.3;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void service_rate::note_start(token_count cost, std::size_t waiting,
                              time_point now)
{
    if (!m_window_start)
    {
        return;
    }
    m_last_start = now;
    m_window_tokens += static_cast<double>(cost.value());
    duration const length = now - *m_window_start;
    if (length >= measurement_window)
    {
        double const measured = m_window_tokens / seconds(length);
        m_rate = m_rate ? *m_rate + smoothing_factor * (measured - *m_rate)
                        : measured;
        m_window_start = now;
        m_window_tokens = 0;
    }
    if (waiting == 0)
    {
        note_empty();
    }
}

void service_rate::note_backlog(time_point now)
{
    if (!m_window_start)
    {
        m_window_start = now;
        m_window_tokens = 0;
        m_last_start = now;
    }
}

void service_rate::note_empty()
{
    m_window_start.reset();
    m_window_tokens = 0;
}

duration service_rate::stall(time_point now) const
{
    if (!m_window_start || now - m_last_start < stall_timeout)
    {
        return duration();
    }
    return now - m_last_start;
}

} // namespace daisylead::admission
