/** @file Attempts that broke off and may have crashed their upstream. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <chrono>
#include <cstddef>
#include <list>

namespace daisylead::request
{

/** How long a broken attempt keeps its request suspected. Load reports lag and
 *  a restart takes a while, so a crash is detected some time after its
 *  connections broke. */
constexpr std::chrono::seconds crash_detection_delay{10};
constexpr std::size_t max_broken_attempts = 1024; ///< kept

/** Drops attempts that broke too long ago, or beyond the limit.
 *  @param attempts oldest first, each with its m_broken_at */
template <class Attempt>
void drop_expired_attempts(std::list<Attempt>& attempts, time_point now)
{
    while (!attempts.empty() &&
           (attempts.front().m_broken_at + crash_detection_delay < now ||
            attempts.size() > max_broken_attempts))
    {
        attempts.pop_front();
    }
}

} // namespace daisylead::request
