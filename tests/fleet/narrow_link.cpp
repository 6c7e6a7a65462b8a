/** @file A link of limited bandwidth on loopback. */
#include "narrow_link.hpp"

#include "../entry/stand_in.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace daisylead::fleet_test
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/** Bytes that are passed on at once. */
constexpr std::size_t packet_size = 1460;

/** Buffers of a link hold little, so that its senders notice its rate. */
constexpr int buffer_size = 16384;

tcp::endpoint to_endpoint(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

template <class Socket>
void limit_buffers(Socket& socket)
{
    socket.set_option(asio::socket_base::receive_buffer_size(buffer_size));
    socket.set_option(asio::socket_base::send_buffer_size(buffer_size));
}

} // namespace

narrow_link::narrow_link(std::string const& target, double bits_per_second)
    : m_bytes_per_second(bits_per_second / 8), m_target(to_endpoint(target)),
      m_acceptor(m_context), m_address(entry_test::free_address())
{
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    limit_buffers(m_acceptor);
    m_acceptor.bind(to_endpoint(m_address));
    m_acceptor.listen();
    asio::co_spawn(m_context, accept_loop(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

narrow_link::~narrow_link()
{
    m_context.stop();
    m_thread.join();
}

asio::awaitable<void> narrow_link::accept_loop()
{
    for (;;)
    {
        auto near_end = std::make_shared<tcp::socket>(m_context);
        co_await m_acceptor.async_accept(*near_end, asio::use_awaitable);
        asio::co_spawn(m_context, connect(near_end), asio::detached);
    }
}

asio::awaitable<void> narrow_link::connect(socket_ptr near_end)
{
    auto far_end = std::make_shared<tcp::socket>(m_context, tcp::v4());
    limit_buffers(*far_end);
    boost::system::error_code failure;
    co_await far_end->async_connect(
        m_target, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        co_return;
    }
    near_end->set_option(tcp::no_delay(true));
    far_end->set_option(tcp::no_delay(true));
    asio::co_spawn(m_context, forward(near_end, far_end, m_up_free_at),
                   asio::detached);
    asio::co_spawn(m_context, forward(far_end, near_end, m_down_free_at),
                   asio::detached);
}

asio::awaitable<void> narrow_link::forward(socket_ptr from, socket_ptr to,
                                           clock::time_point& free_at)
{
    asio::steady_timer timer(m_context);
    char packet[packet_size];
    for (;;)
    {
        boost::system::error_code failure;
        std::size_t const size = co_await from->async_read_some(
            asio::buffer(packet),
            asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
        {
            free_at = std::max(free_at, clock::now()) +
                      std::chrono::duration_cast<clock::duration>(
                          std::chrono::duration<double>(
                              static_cast<double>(size) / m_bytes_per_second));
            timer.expires_at(free_at);
            co_await timer.async_wait(asio::use_awaitable);
            co_await asio::async_write(
                *to, asio::buffer(packet, size),
                asio::redirect_error(asio::use_awaitable, failure));
        }
        if (failure)
        {
            from->close(failure);
            to->close(failure);
            co_return;
        }
    }
}

} // namespace daisylead::fleet_test
