/** @file A link of limited bandwidth on loopback. */
#pragma once

// Boost 1.74's awaitable.hpp uses <utility> without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace daisylead::fleet_test
{

/** Passes connections on to a target. All of them share the bandwidth of the
 *  link, in each direction. */
class narrow_link
{
public:
    /** @param target "IP:port"
     *  @param bits_per_second in each direction */
    narrow_link(std::string const& target, double bits_per_second);
    ~narrow_link();
    narrow_link(narrow_link const&) = delete;
    narrow_link& operator=(narrow_link const&) = delete;

    /** @return "IP:port" of the near end. */
    std::string const& address() const
    {
        return m_address;
    }

private:
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;
    using clock = std::chrono::steady_clock;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> connect(socket_ptr near_end);
    /** @param free_at when the last byte sent in this direction is through */
    boost::asio::awaitable<void> forward(socket_ptr from, socket_ptr to,
                                         clock::time_point& free_at);

    double m_bytes_per_second;
    boost::asio::io_context m_context{1};
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    clock::time_point m_up_free_at;   ///< direction to the target
    clock::time_point m_down_free_at; ///< direction from the target
    std::thread m_thread;
};

} // namespace daisylead::fleet_test
