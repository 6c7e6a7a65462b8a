/** @file HTTP server. */
#pragma once

#include <daisylead/base/error_type.hpp>
#include <daisylead/http/message_type.hpp>
#include <daisylead/http/response_writer_base.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace daisylead::http
{

/** Thrown when a server cannot listen. */
class listen_error : public error
{
public:
    using error::error;
};

/** Options of a server. */
struct server_options
{
    using milliseconds = std::chrono::milliseconds;

    std::string m_address;                 ///< "IP:port"
    std::size_t m_max_body = 1 << 20;      ///< bytes; more gets 413
    std::size_t m_max_header = 16384;      ///< bytes; more gets 431
    milliseconds m_idle_timeout{60000};    ///< waiting for a whole request
    milliseconds m_write_timeout{30000};   ///< one write to a caller
    milliseconds m_handle_timeout{900000}; ///< from request to response end
    std::string m_tls_certificate;         ///< PEM file; empty: no TLS
    std::string m_tls_key;                 ///< PEM file
};

/** Hooks of a server; they run on the server's thread. */
struct server_hooks
{
    std::function<void(server_request, std::shared_ptr<response_writer>)>
        m_on_request;                               ///< a whole request came
    std::function<void(connection_id)> m_on_closed; ///< a connection ended
};

/** Serves HTTP/1.1 on a thread of its own, by RESTinio. Ambiguous framing and
 *  requests far above the size limits close the connection. */
class server
{
public:
    /** @throws listen_error if the address cannot be used */
    server(server_options const& options, server_hooks const& hooks);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /** @return requests whose response has not been written to its socket to
     *  the end. */
    std::size_t open_responses() const;

    /** Stops accepting and closes all connections. */
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

/** Splits "IP:port".
 *  @throws listen_error if @p address has no port */
std::pair<std::string, std::uint16_t> split_address(std::string const& address);

} // namespace daisylead::http
