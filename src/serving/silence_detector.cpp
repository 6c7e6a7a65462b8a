/** @file Detection of upstreams that stop answering. */
#include <daisylead/serving/silence_detector_func.hpp>

#include <algorithm>

namespace daisylead::serving
{

silence_action decide_silent_attempt(silence_options const& options,
                                     silent_attempt const& attempt)
{
    // If the request must not be retried, a late answer is better than none, so
    // it keeps waiting.
    if (attempt.m_repeatable)
    {
        duration const overdue = std::max(
            options.m_min_overdue, attempt.m_target * options.m_overdue_factor);
        bool const is_lost =
            attempt.m_upstream_lost && attempt.m_silent >= options.m_lost_after;
        bool const is_overdue =
            attempt.m_utilisation < options.m_busy_fraction &&
            attempt.m_silent >= overdue;
        if (is_lost || is_overdue)
        {
            return silence_action::end;
        }
    }
    bool const wants_probe = !attempt.m_upstream_lost &&
                             attempt.m_silent >= options.m_probe_after &&
                             attempt.m_upstream_silent >= options.m_probe_after;
    return wants_probe && attempt.m_since_probe >= options.m_probe_interval
               ? silence_action::probe
               : silence_action::wait;
}

} // namespace daisylead::serving
