/** @file Connection of a caller. */
#include "caller_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;

/** A caller that does not read for this long is disconnected. */
constexpr std::chrono::milliseconds write_timeout = 10s;

/** Time in which input is still read and dropped after the last answer. */
constexpr std::chrono::milliseconds linger_timeout = 500ms;

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket)
    : m_stream(std::move(socket))
{
    beast::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

void caller_connection::watch(std::function<void()> on_gone)
{
    m_on_gone = std::move(on_gone);
    m_watching = true;
    ++m_watch_id;
    asio::co_spawn(
        m_stream.get_executor(),
        [self = shared_from_this(), watch_id = m_watch_id]() -> awaitable<void>
        { co_await self->wait_for_close(watch_id); },
        asio::detached);
}

awaitable<void> caller_connection::wait_for_close(std::uint64_t watch_id)
{
    beast::error_code failure;
    co_await m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, failure));
    if (!m_watching || watch_id != m_watch_id ||
        failure == asio::error::operation_aborted)
    {
        co_return;
    }
    char byte = 0;
    ssize_t const size = ::recv(m_stream.socket().native_handle(), &byte, 1,
                                MSG_PEEK | MSG_DONTWAIT);
    if (size > 0)
    {
        // The next request has arrived; a close after it is noticed when it is
        // read.
        co_return;
    }
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    {
        co_return;
    }
    m_gone = true;
    if (auto const hook = m_on_gone)
    {
        hook();
    }
}

void caller_connection::stop_watching()
{
    if (m_watching)
    {
        m_watching = false;
        m_on_gone = nullptr;
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
    }
}

caller_watch::caller_watch(std::shared_ptr<caller_connection> caller,
                           std::function<void()> on_gone)
    : m_caller(std::move(caller))
{
    m_caller->watch(std::move(on_gone));
}

caller_watch::~caller_watch()
{
    m_caller->stop_watching();
}

awaitable<bool> caller_connection::write(caller_answer answer, bool close,
                                         bool head)
{
    http::response<http::string_body> response;
    response.version(11);
    response.result(static_cast<unsigned>(answer.m_status));
    if (!answer.m_reason.empty())
    {
        response.reason(answer.m_reason);
    }
    for (auto const& field : answer.m_fields)
    {
        response.insert(field.name_string(), field.value());
    }
    std::size_t const size = answer.m_body.size();
    if (!head)
    {
        response.body() = std::move(answer.m_body);
    }
    if (answer.m_status != 204 && answer.m_status != 304)
    {
        response.content_length(size);
    }
    response.keep_alive(!close);
    beast::error_code failure;
    m_stream.expires_after(write_timeout);
    co_await http::async_write(
        m_stream, response, asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

awaitable<bool> caller_connection::begin_stream(int status,
                                                http::fields const& fields,
                                                bool close)
{
    http::response<http::empty_body> response;
    response.version(11);
    response.result(static_cast<unsigned>(status));
    for (auto const& field : fields)
    {
        response.insert(field.name_string(), field.value());
    }
    response.chunked(true);
    response.keep_alive(!close);
    http::response_serializer<http::empty_body> serializer(response);
    beast::error_code failure;
    m_stream.expires_after(write_timeout);
    co_await http::async_write_header(
        m_stream, serializer,
        asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

awaitable<bool> caller_connection::write_stream(std::string const& bytes)
{
    beast::error_code failure;
    m_stream.expires_after(write_timeout);
    co_await asio::async_write(
        m_stream, http::make_chunk(asio::buffer(bytes)),
        asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

awaitable<bool> caller_connection::end_stream()
{
    beast::error_code failure;
    m_stream.expires_after(write_timeout);
    co_await asio::async_write(
        m_stream, http::make_chunk_last(),
        asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

void caller_connection::abort()
{
    stop_watching();
    m_stream.close();
}

awaitable<void> caller_connection::linger_and_close()
{
    beast::error_code failure;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    m_stream.expires_after(linger_timeout);
    char rest[4096];
    while (!failure)
    {
        co_await m_stream.async_read_some(
            asio::buffer(rest),
            asio::redirect_error(asio::use_awaitable, failure));
    }
    m_stream.close();
}

} // namespace daisylead::entry
