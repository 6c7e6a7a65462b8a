/** @file One client connection and one call on it at a time. */
#pragma once

#include <daisylead/entry/adapter_type.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace daisylead::entry
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/** How a step of a call ended. */
enum class io_result
{
    ok,
    timed_out, ///< the time of the call is over
    broken     ///< the connection ended, or the answer is not HTTP
};

/** @return the endpoint of "IP:port", or nothing. */
std::optional<asio::ip::tcp::endpoint>
parse_endpoint(std::string const& address);

/** A connection to an upstream. A call writes its request while its answer is
 *  read, since an upstream may answer before it has read a long body. */
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(asio::any_io_executor executor, std::string address);

    /** Connects. */
    awaitable<bool> connect(std::chrono::milliseconds timeout);

    /** Starts a call. @param timeout of all its steps together */
    void begin(http::request<http::string_body> request,
               std::chrono::milliseconds timeout);

    /** Reads the header of the answer, or of the next one. */
    awaitable<io_result> read_header();

    /** @return the header after read_header(). */
    response_header const& header() const
    {
        return m_parser->get();
    }

    /** @return final answers whose header came on this connection. */
    int answers() const
    {
        return m_answers;
    }

    /** @return the status after read_header(). */
    int status() const
    {
        return static_cast<int>(m_parser->get().result_int());
    }

    /** @return whether only the end of the connection ends the body. */
    bool ends_with_connection() const
    {
        return m_parser->need_eof();
    }

    /** Reads body bytes. @param bytes replaced; empty at the end of the body */
    awaitable<io_result> read_some(std::string& bytes);

    /** Reads the rest of the body.
     *  @param most bytes; a longer body counts as broken */
    awaitable<io_result> read_rest(std::string& bytes, std::size_t max_size);

    /** @return whether a byte of the request may have left. */
    bool has_write_started() const
    {
        return m_write_started;
    }

    /** @return how long the connection may be kept for the next call; zero if
     *          it must not be used again. */
    std::chrono::milliseconds keep_alive_time() const;

    /** @return whether the peer has neither closed the idle connection nor
     *          sent anything on it. */
    bool is_idle();

    /** Closes the connection at once. */
    void abort();

    std::string const& address() const
    {
        return m_address;
    }

private:
    awaitable<void> write();

    beast::tcp_stream m_stream;
    std::string m_address;
    beast::flat_buffer m_buffer;
    std::optional<http::request<http::string_body>> m_request;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    bool m_write_started = false;
    bool m_write_complete = false;
    int m_answers = 0;
    bool m_broken = false;
    char m_chunk[8192];
};

/** Idle connections by address. */
class connection_pool
{
public:
    explicit connection_pool(asio::any_io_executor executor);

    /** @param fresh a new connection even if there is an idle one
     *  @return a connection, or null if none could be made in time */
    awaitable<std::shared_ptr<http_connection>>
    get(std::string const& address, std::chrono::milliseconds timeout,
        bool fresh);

    /** Keeps the connection if it may be used again. */
    void put(std::shared_ptr<http_connection> connection);

private:
    struct idle_connection
    {
        std::shared_ptr<http_connection> m_connection;
        std::chrono::steady_clock::time_point m_expires_at;
    };

    void drop_expired(std::chrono::steady_clock::time_point now);

    asio::any_io_executor m_executor;
    std::unordered_map<std::string, std::list<idle_connection>> m_idle;
    std::chrono::steady_clock::time_point m_next_sweep;
};

} // namespace daisylead::entry
