/** @file HTTP client connection and connection pool. */
#include "http_connection.hpp"

#include "tunnel_pipe.hpp"

#include <daisylead/base/answer_head_func.hpp>
#include <daisylead/entry/boot_time_func.hpp>
#include <daisylead/telemetry/log_func.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <sys/socket.h>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;

/** Maximum size of an answer header, bytes; several times what upstreams
 *  send. */
constexpr std::uint32_t max_header_size = 32768;

/** Time for which a connection is kept if its answer has no Keep-Alive
 *  timeout. */
constexpr std::chrono::milliseconds default_keep_alive = 3s;

/** Margin before the stated Keep-Alive timeout, in which the peer may
 *  already be closing the connection. */
constexpr std::chrono::milliseconds keep_alive_margin = 1s;

/** Maximum number of header reads for one final answer. Interim (1xx)
 *  answers are skipped here, late answers to other requests by
 *  request_runner. */
constexpr int max_interim_answers = 3;

/** Maximum time of a body whose call is limited by silence: a server that sends
 *  a byte now and then must not hold its reader up for ever. The largest answer
 *  needs 6.7 Mbit/s. */
constexpr duration max_slow_read = 30s;

/** Interval of removing expired idle connections. */
constexpr std::chrono::milliseconds sweep_interval = 1s;

/** Time for which a tunnel is kept: peers have few of them. */
constexpr std::chrono::milliseconds tunnel_keep_alive = 700ms;

/** Maximum number of idle connections per address. */
constexpr std::size_t max_idle_per_address = 16;

io_result to_io_result(beast::error_code const& failure)
{
    if (!failure)
    {
        return io_result::ok;
    }
    return failure == beast::error::timeout ? io_result::timed_out
                                            : io_result::broken;
}

/** @return why the fields of an answer are not valid, or an empty string. */
std::string_view fault_of(http::fields const& fields)
{
    answer_fields_check check;
    for (auto const& field : fields)
    {
        auto const name = field.name_string();
        auto const value = field.value();
        check.add({name.data(), name.size()}, {value.data(), value.size()});
    }
    return check.fault();
}

/** @return why a message is no answer, or an empty string. */
std::string_view fault_of(response_header const& header)
{
    int const status = static_cast<int>(header.result_int());
    return is_final_status(status) || is_interim_status(status)
               ? fault_of(static_cast<http::fields const&>(header))
               : "status";
}

} // namespace

std::optional<asio::ip::tcp::endpoint>
parse_endpoint(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    beast::error_code failure;
    auto const ip =
        asio::ip::make_address_v4(address.substr(0, colon), failure);
    unsigned port = 0;
    char const* const end = address.data() + address.size();
    auto const parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (failure || parsed.ec != std::errc() || parsed.ptr != end || port == 0 ||
        port > std::numeric_limits<std::uint16_t>::max())
    {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

http_connection::http_connection(asio::any_io_executor executor, http_route way)
    : m_stream(executor), m_way(std::move(way))
{
}

awaitable<connect_result>
http_connection::connect(std::chrono::milliseconds timeout)
{
    bool const direct = m_way.m_tunnel.empty();
    connect_result const failed =
        direct ? connect_result::no_upstream : connect_result::no_tunnel;
    auto const endpoint =
        parse_endpoint(direct ? m_way.m_address : m_way.m_tunnel);
    if (!endpoint)
    {
        co_return failed;
    }
    beast::error_code failure;
    m_stream.expires_after(timeout);
    co_await m_stream.async_connect(
        *endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        bool const is_refused =
            direct && failure == asio::error::connection_refused;
        co_return is_refused ? connect_result::refused : failed;
    }
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
    connect_result const result =
        direct ? connect_result::connected : co_await open_tunnel();
    m_connected_at = boot_time();
    co_return result;
}

awaitable<connect_result> http_connection::open_tunnel()
{
    http::request<http::empty_body> request(http::verb::connect,
                                            m_way.m_upstream.value(), 11);
    request.set(http::field::host, m_way.m_upstream.value());
    beast::error_code failure;
    co_await http::async_write(
        m_stream, request, asio::redirect_error(asio::use_awaitable, failure));
    http::response_parser<http::empty_body> answer;
    answer.header_limit(max_header_size);
    answer.skip(true);
    if (!failure)
    {
        co_await http::async_read_header(
            m_stream, m_buffer, answer,
            asio::redirect_error(asio::use_awaitable, failure));
    }
    if (failure || !fault_of(answer.get().base()).empty())
    {
        co_return connect_result::no_tunnel;
    }
    m_tunnel_shows_end = answer.get()[tunnel_end_field] == tunnel_end_value;
    http::status const status = answer.get().result();
    co_return status == http::status::ok  ? connect_result::connected
    : status == http::status::bad_gateway ? connect_result::no_upstream
                                          : connect_result::no_tunnel;
}

void http_connection::begin(request_header header,
                            std::shared_ptr<std::string const> body,
                            std::chrono::milliseconds timeout)
{
    m_body = std::move(body);
    m_request.emplace(std::move(header));
    m_request->body() = {m_body->data(), m_body->size()};
    m_request->prepare_payload();
    m_parser.reset();
    m_write_started = false;
    m_write = {};
    m_write.begin();
    m_stream.expires_after(timeout);
    asio::co_spawn(
        m_stream.get_executor(),
        [self = shared_from_this()]() -> awaitable<void>
        { co_await self->write(); },
        asio::detached);
}

awaitable<void> http_connection::write()
{
    beast::error_code failure;
    m_write_started = true;
    co_await http::async_write(
        m_stream, *m_request,
        asio::redirect_error(asio::use_awaitable, failure));
    m_write.end(failure);
    m_request->body() = {};
    m_body.reset();
}

awaitable<io_result> http_connection::read_header()
{
    for (int i = 0; i < max_interim_answers; ++i)
    {
        m_parser.emplace();
        m_parser->header_limit(max_header_size);
        // Boost 1.74 treats a missing body limit as less than every length.
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        m_parser->skip(m_request->method() == http::verb::head);
        beast::error_code failure;
        co_await http::async_read_header(
            m_stream, m_buffer, *m_parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            m_broken = true;
            co_return to_io_result(failure);
        }
        if (std::string_view const fault = fault_of(header()); !fault.empty())
        {
            co_return reject(fault);
        }
        if (is_final_status(status()))
        {
            ++m_answers;
            co_return io_result::ok;
        }
    }
    m_broken = true;
    co_return io_result::broken;
}

io_result http_connection::reject(std::string_view fault)
{
    telemetry::log(telemetry::severity::info, "answer_not_valid",
                   {{"address", m_way.m_address},
                    {"tunnel", m_way.m_tunnel},
                    {"fault", std::string(fault)}});
    m_broken = true;
    return io_result::broken;
}

awaitable<io_result> http_connection::read_some(std::string& bytes)
{
    bytes.clear();
    while (!m_parser->is_done())
    {
        auto& body = m_parser->get().body();
        body.data = m_chunk;
        body.size = sizeof m_chunk;
        beast::error_code failure;
        co_await http::async_read_some(
            m_stream, m_buffer, *m_parser,
            asio::redirect_error(asio::use_awaitable, failure));
        std::size_t const size = sizeof m_chunk - body.size;
        if (failure && failure != http::error::need_buffer)
        {
            m_broken = true;
            co_return to_io_result(failure);
        }
        if (size > 0)
        {
            bytes.assign(m_chunk, size);
            co_return io_result::ok;
        }
    }
    if (m_parser->need_eof())
    {
        co_return co_await check_end();
    }
    // The trailer is parsed into the fields of the head.
    std::string_view const fault =
        m_parser->chunked() ? fault_of(header()) : std::string_view();
    co_return fault.empty() ? io_result::ok : reject(fault);
}

awaitable<io_result> http_connection::check_end()
{
    // The end of another tunnel does not show how the upstream's connection
    // ended.
    bool const ended = (m_way.m_tunnel.empty() || m_tunnel_shows_end) &&
                       co_await ended_in_order(m_stream.socket(), m_write);
    if (ended)
    {
        co_return io_result::ok;
    }
    telemetry::log(telemetry::severity::info, "answer_without_end",
                   {{"address", m_way.m_address},
                    {"tunnel", m_way.m_tunnel},
                    {"write_pending", m_write.is_pending()},
                    {"write_error",
                     m_write.failure() ? m_write.failure().message() : ""}});
    m_broken = true;
    co_return io_result::broken;
}

awaitable<io_result>
http_connection::read_rest(std::string& bytes, std::size_t max_size,
                           answer_memory* held,
                           std::chrono::milliseconds silence)
{
    std::string part;
    time_point const began = boot_time();
    for (;;)
    {
        if (silence > 0ms)
        {
            if (boot_time() - began > max_slow_read)
            {
                m_broken = true;
                co_return io_result::timed_out;
            }
            m_stream.expires_after(silence);
        }
        io_result const read_result = co_await read_some(part);
        if (read_result != io_result::ok)
        {
            co_return read_result;
        }
        if (part.empty())
        {
            co_return io_result::ok;
        }
        std::size_t const size = bytes.size() + part.size();
        if (size > max_size)
        {
            m_broken = true;
            co_return io_result::broken;
        }
        if (size > bytes.capacity())
        {
            std::size_t const grown =
                std::min(std::max(size, 2 * bytes.capacity()), max_size);
            if (held != nullptr && !co_await held->reserve(grown))
            {
                m_broken = true;
                co_return io_result::broken;
            }
            bytes.reserve(grown);
        }
        bytes += part;
    }
}

std::chrono::milliseconds http_connection::keep_alive_time() const
{
    // If the request is not completely written, its remaining body bytes would
    // be read as the start of the next request.
    if (m_broken || m_write.is_pending() || m_write.failure() || !m_parser ||
        !m_parser->is_done() || !m_parser->get().keep_alive() ||
        m_buffer.size() > 0)
    {
        return 0ms;
    }
    auto const field = m_parser->get().find("Keep-Alive");
    if (field == m_parser->get().end())
    {
        return default_keep_alive;
    }
    auto const text = field->value();
    std::size_t const at = text.find("timeout=");
    unsigned seconds = 0;
    if (at == beast::string_view::npos ||
        std::from_chars(text.data() + at + 8, text.data() + text.size(),
                        seconds)
                .ec != std::errc())
    {
        return default_keep_alive;
    }
    return std::max(0ms,
                    std::chrono::milliseconds(std::chrono::seconds(seconds)) -
                        keep_alive_margin);
}

bool http_connection::is_idle()
{
    char byte = 0;
    ssize_t const size = ::recv(m_stream.socket().native_handle(), &byte, 1,
                                MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void http_connection::abort()
{
    m_broken = true;
    m_stream.close();
}

connection_pool::connection_pool(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

awaitable<connection_pool::result>
connection_pool::get(http_route way, std::chrono::milliseconds timeout,
                     bool fresh)
{
    auto const now = std::chrono::steady_clock::now();
    drop_expired(now);
    auto const idle = m_idle.find(way);
    while (!fresh && idle != m_idle.end() && !idle->second.empty())
    {
        idle_connection candidate = std::move(idle->second.back());
        idle->second.pop_back();
        if (candidate.m_expires_at > now && candidate.m_connection->is_idle())
        {
            co_return result{candidate.m_connection, connect_result::connected,
                             false};
        }
    }
    auto connection =
        std::make_shared<http_connection>(m_executor, std::move(way));
    connect_result const connected = co_await connection->connect(timeout);
    if (connected != connect_result::connected)
    {
        connection = nullptr;
    }
    co_return result{std::move(connection), connected, true};
}

void connection_pool::put(std::shared_ptr<http_connection> connection)
{
    auto const keep =
        connection->way().m_tunnel.empty()
            ? connection->keep_alive_time()
            : std::min(connection->keep_alive_time(), tunnel_keep_alive);
    if (keep <= 0ms)
    {
        connection->abort();
        return;
    }
    auto& list = m_idle[connection->way()];
    if (list.size() >= max_idle_per_address)
    {
        list.pop_front();
    }
    list.push_back(
        {std::move(connection), std::chrono::steady_clock::now() + keep});
}

void connection_pool::drop_expired(std::chrono::steady_clock::time_point now)
{
    if (now < m_next_sweep)
    {
        return;
    }
    m_next_sweep = now + sweep_interval;
    for (auto it = m_idle.begin(); it != m_idle.end();)
    {
        it->second.remove_if([now](idle_connection const& item)
                             { return item.m_expires_at <= now; });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace daisylead::entry
