/** @file Whether an instance reaches the upstreams of a service. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <cstddef>
#include <map>
#include <set>

namespace daisylead::serving
{

/** Thresholds of path_monitor. */
struct path_monitor_options
{
    /** Different upstreams that cannot be reached one after the other before
     *  the path counts as cut; all of a smaller service. */
    std::size_t m_min_failed = 3;
    /** A failure counts for this long. */
    duration m_failure_ttl = std::chrono::seconds(2);
    /** Upstreams that have to be reached one after the other before the path
     *  counts as restored; all of a smaller service. */
    std::size_t m_min_reached = 2;
};

/** Tells a cut between this instance and a service from single upstreams that
 *  are down, by the new connections to its upstreams. Connections that are open
 *  prove nothing: they can live on while new ones are refused. */
class path_monitor
{
public:
    explicit path_monitor(path_monitor_options options);

    /** Records the end of an attempt to connect directly.
     *  @param listed number of upstreams of the service
     *  @return whether is_cut() has changed */
    bool note_connect(upstream_id const& id, bool connected, std::size_t listed,
                      time_point now);

    /** @return whether the path to the service is cut. */
    bool is_cut() const
    {
        return m_cut;
    }

    /** @return whether another upstream than @p id could not be reached lately
     *          either, so that its failure does not show that it is down. */
    bool is_suspect(upstream_id const& id, time_point now) const;

private:
    path_monitor_options m_options;
    bool m_cut = false;
    /** Upstreams that failed since the last success, with the time. */
    std::map<upstream_id, time_point> m_failed;
    /** While cut: upstreams that were reached since the last failure. */
    std::set<upstream_id> m_reached;
};

} // namespace daisylead::serving
