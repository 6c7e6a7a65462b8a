/** @file Connections to upstreams, directly or through a peer. */
#pragma once

#include "fleet_state.hpp"
#include "http_connection.hpp"

namespace daisylead::entry
{

/** Connects to upstreams. While this instance cannot reach the upstreams of a
 *  service but its peers can, it uses tunnels of the peers, and tests the
 *  direct path until it is back. */
class upstream_connector
{
public:
    upstream_connector(asio::any_io_executor const& executor,
                       fleet_state& state);

    /** Result of connect(). */
    struct result
    {
        std::shared_ptr<http_connection> m_connection; ///< null: none
        instance_id m_via; ///< peer whose tunnel is used; empty: direct
        /** Without a connection: the upstream itself is down, as far as can be
         *  told. */
        bool m_upstream_down = false;
    };

    /** @param timeout for all ways together
     *  @param fresh connect even if there is an idle connection */
    awaitable<result> connect(serving::upstream_record upstream,
                              std::chrono::milliseconds timeout, bool fresh);

    /** Returns a connection after its last answer; see connection_pool. */
    void put(std::shared_ptr<http_connection> connection)
    {
        m_pool.put(std::move(connection));
    }

    /** @return whether the upstream accepts a connection, as far as can be
     *          told; a cut between this instance and its service does not count
     *          against it. */
    awaitable<bool> reaches(serving::upstream_record upstream,
                            std::chrono::milliseconds timeout);

private:
    awaitable<result> connect_through_peer(serving::upstream_record upstream,
                                           time_point until, bool fresh);
    /** @return the peers to ask for a tunnel, in this order. */
    std::vector<serving::member>
    tunnel_peers(serving::upstream_record const& upstream) const;
    awaitable<void> test_path(service_id service);

    asio::any_io_executor m_executor;
    fleet_state& m_state;
    connection_pool m_pool;
    std::set<service_id> m_tested; ///< services whose path is being tested
    /** Peers that refused a tunnel, with the end of the pause. */
    std::map<instance_id, time_point> m_refused_until;
};

} // namespace daisylead::entry
