/** @file Tunnels to upstreams for peers that cannot reach them. */
#pragma once

#include "fleet_state.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace daisylead::entry
{

/** Accepts HTTP CONNECT requests of peers and forwards bytes between them and
 *  upstreams. It reads no request and decides nothing about one; the peer does
 *  all that. */
class tunnel_server
{
public:
    /** @throws daisylead::error if the address cannot be used */
    tunnel_server(boost::asio::any_io_executor const& executor,
                  std::string const& address, fleet_state& state);

    /** Starts to accept. */
    void start();

    /** @return number of open tunnels. */
    std::size_t open_tunnels() const
    {
        return *m_open;
    }

private:
    awaitable<void> accept_loop();
    awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    /** @return the status of a refusal with its reason, or 200. */
    std::pair<int, std::string> check(boost::asio::ip::address const& caller,
                                      upstream_id const& id) const;

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    fleet_state& m_state;
    /** Shared with the tunnels, which may outlive this object. */
    std::shared_ptr<std::size_t> m_open = std::make_shared<std::size_t>(0);
};

} // namespace daisylead::entry
