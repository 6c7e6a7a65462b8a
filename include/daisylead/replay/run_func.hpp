/** @file Replay of a trace with the decision library. */
#pragma once

#include <daisylead/admission/admission_queue_base.hpp>
#include <daisylead/replay/trace_type.hpp>
#include <daisylead/routing/upstream_table_base.hpp>

#include <cstdint>

namespace daisylead::replay
{

/** What is replayed how. */
struct run_options
{
    routing::table_options m_table;   ///< policy and its constants
    admission::queue_options m_queue; ///< of each instance
    bool m_sees_all = false;          ///< oracle: true caches and loads
    bool m_assume_stored = true;      ///< enter own sends into the index
    std::uint64_t m_seed = 1;         ///< random choices and event losses
};

/** Results of one run. Requests above their organisation's rate are refused
 *  before the queue and count nowhere else. */
struct run_result
{
    double m_hit_rate = 0;    ///< cached part of the prefilled prompt tokens
    double m_p99_ttft = 0;    ///< seconds, of requests that got a first token
    double m_p50_ttft = 0;    ///< seconds, likewise
    double m_wasted = 0;      ///< tokens computed although an engine had them
    double m_worst_share = 1; ///< served part of what was due; least
    double m_worst_p99_ttft = 0;  ///< seconds, of the worst organisation
    double m_refused_inside = 0;  ///< refused although within the rate
    double m_refused_outside = 0; ///< refused for exceeding the rate
    double m_served = 0;          ///< requests with a first token
    double m_retries = 0;         ///< attempts beyond the first
};

/** Runs the trace through as many decision libraries as the site has
 *  instances. Each sees its own sends, lagging load reports and late cache
 *  events with gaps. The organisations' rates are enforced exactly and
 *  fleet-wide, also during a table outage. There is no model of the network,
 *  of processes or of a cluster. */
run_result run_trace(trace const& item, run_options const& options);

} // namespace daisylead::replay
