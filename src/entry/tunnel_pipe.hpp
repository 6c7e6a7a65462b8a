/** @file The two connections of one tunnel. */
#pragma once

#include "connection_end.hpp"

// Boost 1.74's awaitable.hpp uses <utility> without including it.
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace daisylead::entry
{

/** Field in the reply to CONNECT by which a peer promises that its connection
 *  ends in order only if that of the upstream has; builds without it may end it
 *  in order at any time. */
constexpr char const* tunnel_end_field = "Tunnel-End";
constexpr char const* tunnel_end_value = "upstream";

/** Forwards bytes between the connection of a peer and one to an upstream. The
 *  connection of the peer ends in order only if that of the upstream has, and
 *  else by a reset, so that a cut answer does not look complete. */
class tunnel_pipe : public std::enable_shared_from_this<tunnel_pipe>
{
public:
    using socket = boost::asio::ip::tcp::socket;

    /** @param caller connection of the peer
     *  @param open number of open tunnels; counts this one while it lives */
    tunnel_pipe(boost::asio::any_io_executor const& executor, socket caller,
                std::shared_ptr<std::size_t> open);
    ~tunnel_pipe();
    tunnel_pipe(tunnel_pipe const&) = delete;
    tunnel_pipe& operator=(tunnel_pipe const&) = delete;

    /** Takes the connection to the upstream. */
    void connect(socket upstream)
    {
        m_upstream = std::move(upstream);
    }

    /** Writes the reply to the peer and, if the tunnel is accepted, forwards
     *  bytes until both sides have ended. */
    boost::asio::awaitable<void> run(std::string reply, bool accepted);

private:
    boost::asio::awaitable<void> forward_answers();
    boost::asio::awaitable<void> forward_requests();
    /** The upstream has ended: the peer sees an end or a reset. */
    boost::asio::awaitable<void> end_answers();

    boost::asio::any_io_executor m_executor;
    socket m_caller;
    socket m_upstream;
    write_progress m_to_upstream; ///< all writes to the upstream
    std::shared_ptr<std::size_t> m_open;
};

} // namespace daisylead::entry
