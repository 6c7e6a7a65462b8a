/** @file Moving average of the rate at which queued tokens are started. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <optional>

namespace daisylead::admission
{

/** Measures started tokens per second while requests are waiting. Periods with
 * an empty queue are not measured, since they do not show the capacity. */
class service_rate
{
public:
    /** Counts a started request.
     *  @param waiting requests that are still waiting after it */
    void note_start(token_count cost, std::size_t waiting, time_point now);

    /** Starts a window, if none is open, because requests are waiting. */
    void note_backlog(time_point now);

    /** Ends the window because the queue became empty. */
    void note_empty();

    /** @return tokens per second while requests were started; none until
     *  measured */
    std::optional<double> per_second() const
    {
        return m_rate;
    }

    /** @return how long requests have waited without any start; zero for
     *          pauses that are usual */
    duration stall(time_point now) const;

private:
    std::optional<double> m_rate;
    std::optional<time_point> m_window_start;
    time_point m_last_start; ///< or start of the first window after idle time
    double m_window_tokens = 0;
};

} // namespace daisylead::admission
