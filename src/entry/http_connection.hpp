/** @file HTTP client connection and connection pool. */
#pragma once

#include "answer_memory.hpp"
#include "connection_end.hpp"

#include <daisylead/entry/adapter_type.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace daisylead::entry
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Maximum number of bytes that are held before they can be parsed, for example
 *  of the line with the size of a chunk. The parser itself sets no limit. */
constexpr std::size_t max_unparsed_size = 65536;

/** Result of a read operation. */
enum class io_result
{
    ok,
    timed_out, ///< the timeout of the call has passed
    broken     ///< the connection was closed, or the answer is not valid HTTP
};

/** Result of a connect. */
enum class connect_result
{
    connected,
    refused,     ///< no process listens at the address of the upstream
    no_upstream, ///< the upstream does not accept it
    no_tunnel    ///< the peer opens no tunnel, or does not answer
};

/** Way to an upstream. */
struct http_route
{
    std::string m_address;  ///< "IP:port" of the upstream
    std::string m_tunnel;   ///< "IP:port" of a peer's tunnels; empty: direct
    upstream_id m_upstream; ///< needed for a tunnel

    auto operator<=>(http_route const&) const = default;
};

/** @return the endpoint of "IP:port", or nothing if it cannot be parsed. */
std::optional<asio::ip::tcp::endpoint>
parse_endpoint(std::string const& address);

/** Client connection for one call at a time. The request is written while
 *  the answer is read, since an upstream may answer before it has read a
 *  long body. */
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(asio::any_io_executor executor, http_route way);

    /** @return whether the connection was established in time. */
    awaitable<connect_result> connect(std::chrono::milliseconds timeout);

    /** @return when the connection was established. @pre connect() succeeded */
    time_point connected_at() const
    {
        return m_connected_at;
    }

    /** Starts a call.
     *  @param header without the framing of the body
     *  @param body kept until it is written; may be shared by several calls
     *  @param timeout for the whole call */
    void begin(request_header header, std::shared_ptr<std::string const> body,
               std::chrono::milliseconds timeout);

    /** Reads the header of the next final answer. */
    awaitable<io_result> read_header();

    /** @return the header of the answer. @pre read_header() succeeded */
    response_header const& header() const
    {
        return m_parser->get();
    }

    /** @return number of final answers received on this connection. */
    int answers() const
    {
        return m_answers;
    }

    /** @return the HTTP status. @pre read_header() succeeded */
    int status() const
    {
        return static_cast<int>(m_parser->get().result_int());
    }

    /** @return whether the end of the connection delimits the body. */
    bool ends_with_connection() const
    {
        return m_parser->need_eof();
    }

    /** Reads body bytes.
     *  @param bytes is replaced; empty at the end of the body */
    awaitable<io_result> read_some(std::string& bytes);

    /** Reads the rest of the body.
     *  @param max_size bytes; a longer body counts as broken
     *  @param held what the body takes; null: not accounted for. A body for
     *         which there is no room counts as broken
     *  @param silence from now on, the call times out if nothing comes for so
     *         long; 0: its timeout stays */
    awaitable<io_result> read_rest(std::string& bytes, std::size_t max_size,
                                   answer_memory* held = nullptr,
                                   std::chrono::milliseconds silence = {});

    /** @return whether the write of the request has started. */
    bool has_write_started() const
    {
        return m_write_started;
    }

    /** @return how long the connection may be kept for another call; zero if
     *  it must not be reused. */
    std::chrono::milliseconds keep_alive_time() const;

    /** @return whether the peer has neither closed the connection nor sent
     *  unexpected bytes. */
    bool is_idle();

    /** Closes the connection immediately. */
    void abort();

    http_route const& way() const
    {
        return m_way;
    }

private:
    awaitable<connect_result> open_tunnel();
    awaitable<void> write();
    /** Logs why what came is no answer. */
    io_result reject(std::string_view fault);
    /** @return how an answer that ends with its connection has ended. */
    awaitable<io_result> check_end();

    beast::tcp_stream m_stream;
    http_route m_way;
    time_point m_connected_at;
    beast::flat_buffer m_buffer{max_unparsed_size};
    std::shared_ptr<std::string const> m_body;
    std::optional<http::request<http::span_body<char const>>> m_request;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    bool m_write_started = false;
    write_progress m_write;          ///< of the request
    bool m_tunnel_shows_end = false; ///< see tunnel_end_field
    int m_answers = 0;
    bool m_broken = false;
    char m_chunk[8192];
};

/** Pool of idle connections by the way to their upstream. */
class connection_pool
{
public:
    explicit connection_pool(asio::any_io_executor executor);

    /** A connection, or null with the reason. */
    struct result
    {
        std::shared_ptr<http_connection> m_connection;
        connect_result m_connect = connect_result::connected;
        bool m_is_new = false; ///< it was established now
    };

    /** @param fresh connect even if there is an idle connection */
    awaitable<result> get(http_route way, std::chrono::milliseconds timeout,
                          bool fresh);

    /** Returns a connection to the pool; closes it if it must not be reused. */
    void put(std::shared_ptr<http_connection> connection);

private:
    struct idle_connection
    {
        std::shared_ptr<http_connection> m_connection;
        std::chrono::steady_clock::time_point m_expires_at;
    };

    void drop_expired(std::chrono::steady_clock::time_point now);

    asio::any_io_executor m_executor;
    std::map<http_route, std::list<idle_connection>> m_idle;
    std::chrono::steady_clock::time_point m_next_sweep;
};

} // namespace daisylead::entry
