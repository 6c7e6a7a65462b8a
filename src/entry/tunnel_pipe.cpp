/** @file The two connections of one tunnel. */
#include "tunnel_pipe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace daisylead::entry
{

namespace asio = boost::asio;

namespace
{

using boost::system::error_code;

/** Size of the buffer of each direction, bytes. */
constexpr std::size_t buffer_size = 8192;

/** Keep-alive probes: a far end that is gone without a word is noticed after
 *  about five seconds. */
constexpr int keep_alive_idle_s = 2;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 3;

void set_up(asio::ip::tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    int const handle = socket.native_handle();
    for (auto const& [option, value] :
         {std::pair{TCP_KEEPIDLE, keep_alive_idle_s},
          std::pair{TCP_KEEPINTVL, keep_alive_interval_s},
          std::pair{TCP_KEEPCNT, keep_alive_probes}})
    {
        ::setsockopt(handle, IPPROTO_TCP, option, &value, sizeof value);
    }
}

/** Whatever closes the connection, also the end of the process, resets it: only
 *  end_answers() shows the peer an end. */
void reset_on_close(asio::ip::tcp::socket& socket)
{
    // Asio takes back an option that was set through it when it destroys the
    // socket.
    linger const now{1, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &now,
                 sizeof now);
}

} // namespace

tunnel_pipe::tunnel_pipe(asio::any_io_executor const& executor, socket caller,
                         std::shared_ptr<std::size_t> open)
    : m_executor(executor), m_caller(std::move(caller)), m_upstream(executor),
      m_open(std::move(open))
{
    ++*m_open;
}

tunnel_pipe::~tunnel_pipe()
{
    --*m_open;
}

asio::awaitable<void> tunnel_pipe::run(std::string reply, bool accepted)
{
    error_code failure;
    set_up(m_caller);
    co_await asio::async_write(
        m_caller, asio::buffer(reply),
        asio::redirect_error(asio::use_awaitable, failure));
    if (!accepted || failure)
    {
        m_caller.close(failure);
        co_return;
    }
    set_up(m_upstream);
    reset_on_close(m_caller);
    asio::co_spawn(
        m_executor,
        [self = shared_from_this()]() -> asio::awaitable<void>
        { co_await self->forward_answers(); },
        asio::detached);
    co_await forward_requests();
}

asio::awaitable<void> tunnel_pipe::forward_answers()
{
    char bytes[buffer_size];
    error_code failure;
    while (!failure)
    {
        std::size_t const size = co_await m_upstream.async_read_some(
            asio::buffer(bytes),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::eof)
        {
            co_await end_answers();
            co_return;
        }
        if (failure)
        {
            error_code ignored;
            m_caller.close(ignored);
            break;
        }
        co_await asio::async_write(
            m_caller, asio::buffer(bytes, size),
            asio::redirect_error(asio::use_awaitable, failure));
    }
    error_code ignored;
    m_upstream.close(ignored);
}

asio::awaitable<void> tunnel_pipe::end_answers()
{
    error_code ignored;
    if (co_await ended_in_order(m_upstream, m_to_upstream))
    {
        // The peer reads the rest and then closes.
        m_caller.shutdown(asio::socket_base::shutdown_send, ignored);
        co_return;
    }
    m_caller.close(ignored);
    m_upstream.close(ignored);
}

asio::awaitable<void> tunnel_pipe::forward_requests()
{
    char bytes[buffer_size];
    error_code failure;
    while (!failure)
    {
        std::size_t const size = co_await m_caller.async_read_some(
            asio::buffer(bytes),
            asio::redirect_error(asio::use_awaitable, failure));
        // After a failed write the rest is read and dropped: how the answer
        // ends is for forward_answers() to tell.
        if (!failure && !m_to_upstream.failure())
        {
            error_code write_failure;
            m_to_upstream.begin();
            co_await asio::async_write(
                m_upstream, asio::buffer(bytes, size),
                asio::redirect_error(asio::use_awaitable, write_failure));
            m_to_upstream.end(write_failure);
        }
    }
    // The peer has left or given up: the upstream must stop its work.
    error_code ignored;
    m_upstream.close(ignored);
    m_caller.close(ignored);
}

} // namespace daisylead::entry
