/** @file How the other side ended a connection. */
#include "connection_end.hpp"

#include "pause_func.hpp"

#include <netinet/tcp.h>

#include <optional>
#include <sys/socket.h>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;

/** Interval and number of looks at a write that is about to fail: the kernel
 *  has ended the connection already. */
constexpr std::chrono::milliseconds poll_interval = 1ms;
constexpr int max_polls = 20;

/** @return the kernel's state of a connection, or nothing if it tells none. */
std::optional<int> tcp_state(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                     &size) != 0 ||
        size == 0)
    {
        return std::nullopt;
    }
    return info.tcpi_state;
}

} // namespace

bool write_progress::shows_break() const
{
    // A reset that follows the end of the other side's sending is reported to
    // writes as a broken pipe.
    return m_failure && m_failure != boost::asio::error::broken_pipe;
}

boost::asio::awaitable<bool>
ended_in_order(boost::asio::ip::tcp::socket& socket,
               write_progress const& writes)
{
    for (int i = 0; i < max_polls; ++i)
    {
        auto const state = tcp_state(socket);
        if (state == TCP_CLOSE_WAIT)
        {
            co_return true;
        }
        if (!writes.is_pending())
        {
            co_return !writes.shows_break();
        }
        co_await pause(socket.get_executor(), poll_interval);
    }
    // A connection that has ended lets no write wait.
    co_return tcp_state(socket) != TCP_CLOSE;
}

} // namespace daisylead::entry
