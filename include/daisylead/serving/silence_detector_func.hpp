/** @file Detection of upstreams that stop answering. */
#pragma once

#include <daisylead/base/unit_type.hpp>

namespace daisylead::serving
{

/** Timeouts of the detection. */
struct silence_options
{
    /** An upstream that sends nothing to any request for this long is probed
     *  with a connection. A busy engine ends a step within a few milliseconds
     *  and a prefill of the longest prompts within 0.2 s. */
    duration m_probe_after = std::chrono::milliseconds(500);
    /** Min. time between two probes of an upstream. */
    duration m_probe_interval = std::chrono::seconds(3);
    /** Silence after which a request on an unreachable upstream is lost; longer
     *  than a connection attempt. */
    duration m_lost_after = std::chrono::milliseconds(600);
    /** An answer of an upstream that is not busy is lost after this multiple of
     *  the latency target. */
    int m_overdue_factor = 3;
    /** Lower bound of that timeout; leaves time for a TCP retransmission. */
    duration m_min_overdue = std::chrono::milliseconds(400);
    /** Utilisation of slots or memory from which an upstream is busy and may
     *  just be slow; beyond 0.7 of the memory of an engine, requests wait. */
    double m_busy_fraction = 0.7;
};

/** State of a request at an upstream, as seen by this instance. */
struct silent_attempt
{
    duration m_silent{};          ///< since it was sent or its last bytes came
    duration m_target{};          ///< latency target of its route
    bool m_repeatable = false;    ///< may be retried on another upstream
    bool m_upstream_lost = false; ///< unreachable, or no longer listed
    duration m_upstream_silent{}; ///< since its last bytes to any request
    duration m_since_probe{};     ///< since the last probe
    double m_utilisation = 0;     ///< used fraction of its slots or memory
};

enum class silence_action
{
    wait,
    probe, ///< test the upstream with a connection
    end    ///< abort the attempt and retry on another upstream
};

/** @return what to do with the attempt. */
silence_action decide_silent_attempt(silence_options const& options,
                                     silent_attempt const& attempt);

} // namespace daisylead::serving
