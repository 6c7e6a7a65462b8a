/** @file Detection of upstreams that crashed. */
#pragma once

#include "upstream_connector.hpp"

#include <set>

namespace daisylead::entry
{

/** Checks by a new connection whether an upstream whose connection broke has
 *  crashed. */
class crash_detector
{
public:
    crash_detector(boost::asio::any_io_executor executor, fleet_state& state,
                   upstream_connector& connector);

    /** Starts a check, unless one of this upstream is in progress. The requests
     *  whose connections broke are suspected of the crash. */
    void check(serving::upstream_record const& upstream);

    /** A stream of the upstream broke off. One alone may be a fault of its
     *  connection; several at once start a check whether the process has ended,
     *  which suspects no request. */
    void note_stream_broken(serving::upstream_record const& upstream);

private:
    awaitable<void> probe(serving::upstream_record upstream);
    awaitable<void> probe_end(serving::upstream_record upstream);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_state;
    upstream_connector& m_connector;
    std::set<upstream_id> m_in_progress;
    std::set<upstream_id> m_end_probes; ///< in progress
    /** Upstream of the last stream that broke off. */
    upstream_id m_last_broken;
    time_point m_last_broken_at;
};

} // namespace daisylead::entry
