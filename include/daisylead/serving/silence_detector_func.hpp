/** @file When a request on a silent upstream goes to another one. */
#pragma once

#include <daisylead/base/unit_type.hpp>

namespace daisylead::serving
{

/** Limits of the judgement. */
struct silence_options
{
    /** An upstream that sends nothing to any request for this long is tried
     *  with a connection: a busy engine ends a step in a few milliseconds and
     *  reads the longest prompts of the users in 0.2 s. */
    duration m_probe_after = std::chrono::milliseconds(500);
    /** Time between two such connections. */
    duration m_probe_interval = std::chrono::seconds(3);
    /** A request that is silent for this long on an upstream that cannot be
     *  reached is lost; longer than a connection attempt takes. */
    duration m_lost_after = std::chrono::milliseconds(600);
    /** An answer of an upstream with places to spare that comes this many
     *  times later than its target is lost. */
    int m_overdue_factor = 3;
    /** The same for short targets: time for a retransmission. */
    duration m_min_overdue = std::chrono::milliseconds(400);
    /** Beyond this part of its places or memory, an upstream may just be slow;
     *  beyond 0.7 of the memory of an engine requests wait. */
    double m_busy_fraction = 0.7;
};

/** A request at an upstream, as one instance sees it. */
struct silent_attempt
{
    duration m_silent{};          ///< since it was sent or its last bytes
    duration m_target{};          ///< of its route, to a prompt answer
    bool m_repeatable = false;    ///< another upstream may run it
    bool m_upstream_lost = false; ///< connections fail, or it is not listed
    duration m_upstream_silent{}; ///< since bytes of it came to any request
    duration m_since_probe{};     ///< since the last connection for a test
    double m_utilisation = 0;     ///< part of its places or memory in use
};

enum class silence_action
{
    wait,
    probe, ///< connect to the upstream to see whether it is there
    end    ///< take the request away and try another upstream
};

/** @return what to do about the request. */
silence_action decide_silent_attempt(silence_options const& options,
                                     silent_attempt const& attempt);

} // namespace daisylead::serving
