/** @file Tunnels to upstreams for peers that cannot reach them. */
#include "tunnel_server.hpp"

#include "caller_server.hpp"
#include "http_connection.hpp"
#include "keep_running_func.hpp"
#include "pause_func.hpp"
#include "tunnel_pipe.hpp"

#include <daisylead/telemetry/log_func.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <nlohmann/json.hpp>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;
using telemetry::severity;

/** Maximum number of open tunnels: a small part of the connections and of the
 *  processor that this instance needs for its own callers. */
constexpr std::size_t max_tunnels = 64;

/** Time to send the CONNECT request. */
constexpr std::chrono::milliseconds request_timeout = 500ms;

/** Timeout for connecting to the upstream. */
constexpr std::chrono::milliseconds connect_timeout = 300ms;

/** Maximum size of the CONNECT request, bytes. */
constexpr std::uint32_t max_request_size = 1024;

/** Delay after a failed accept. */
constexpr std::chrono::milliseconds accept_retry_delay = 50ms;

std::string reply_with(int status)
{
    return "HTTP/1.1 " + std::to_string(status) +
           (status == 200
                ? std::string(" Connection established\r\n") +
                      tunnel_end_field + ": " + tunnel_end_value + "\r\n\r\n"
                : " Refused\r\nContent-Length: 0\r\n"
                  "Connection: close\r\n\r\n");
}

} // namespace

tunnel_server::tunnel_server(asio::any_io_executor const& executor,
                             std::string const& address, fleet_state& state)
    : m_executor(executor), m_acceptor(make_acceptor(executor, address)),
      m_state(state)
{
}

void tunnel_server::start()
{
    keep_running(m_executor, "accept_tunnels",
                 [this] { return accept_loop(); });
}

awaitable<void> tunnel_server::accept_loop()
{
    for (;;)
    {
        beast::error_code failure;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            telemetry::log(severity::warning, "tunnel_accept_failed",
                           {{"error", failure.message()}});
            co_await pause(m_executor, accept_retry_delay);
            continue;
        }
        auto const accepted =
            std::make_shared<asio::ip::tcp::socket>(std::move(socket));
        run_once(m_executor, "tunnel",
                 [this, accepted] { return serve(std::move(*accepted)); });
    }
}

std::pair<int, std::string>
tunnel_server::check(asio::ip::address const& caller,
                     upstream_id const& id) const
{
    bool const is_peer = std::any_of(
        m_state.m_roster.peers().begin(), m_state.m_roster.peers().end(),
        [&](auto const& entry)
        {
            auto const endpoint =
                parse_endpoint(entry.second.m_member.m_tunnel_address);
            return endpoint && endpoint->address() == caller;
        });
    if (!is_peer)
    {
        return {403, "no_peer"};
    }
    serving::upstream_record const* const upstream =
        m_state.m_upstream_pool.find(id);
    if (upstream == nullptr || !parse_endpoint(upstream->m_address))
    {
        return {403, "not_listed"};
    }
    if (upstream->m_leaving ||
        m_state.m_upstream_pool.is_rejecting(upstream->m_id, boot_time()))
    {
        return {503, "takes_no_requests"};
    }
    if (m_state.m_draining || *m_open >= max_tunnels)
    {
        return {503, "busy"};
    }
    return {200, ""};
}

awaitable<void> tunnel_server::serve(asio::ip::tcp::socket socket)
{
    beast::error_code failure;
    auto const remote = socket.remote_endpoint(failure);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(max_request_size);
    http::request_parser<http::empty_body> parser;
    parser.header_limit(max_request_size);
    stream.expires_after(request_timeout);
    co_await http::async_read_header(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure || parser.get().method() != http::verb::connect)
    {
        co_return;
    }
    upstream_id const id(std::string(parser.get().target().data(),
                                     parser.get().target().size()));
    auto [status, reason] = check(remote.address(), id);
    stream.expires_never();
    auto const pipe = std::make_shared<tunnel_pipe>(
        m_executor, stream.release_socket(), m_open);
    if (status == 200)
    {
        serving::upstream_record const upstream =
            *m_state.m_upstream_pool.find(id);
        beast::tcp_stream connecting(m_executor);
        connecting.expires_after(connect_timeout);
        co_await connecting.async_connect(
            *parse_endpoint(upstream.m_address),
            asio::redirect_error(asio::use_awaitable, failure));
        m_state.note_direct_connect(upstream, !failure);
        if (failure)
        {
            status = 502;
            reason = "unreachable";
        }
        else
        {
            pipe->connect(connecting.release_socket());
        }
    }
    m_state.m_metrics.count("daisylead_tunnels_total",
                            {{"status", std::to_string(status)}});
    telemetry::log(status == 200 ? severity::debug : severity::info,
                   status == 200 ? "tunnel_opened" : "tunnel_refused",
                   {{"peer", remote.address().to_string()},
                    {"upstream", id.value()},
                    {"status", status},
                    {"reason", reason},
                    {"open", *m_open}});
    co_await pipe->run(reply_with(status), status == 200);
}

} // namespace daisylead::entry
