/** @file Small HTTP server whose connections can be reset by a fault. */
#pragma once

#include <daisylead/http/message_type.hpp>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace daisylead::standin
{

class connection;

/** One request and the answer to it. Used on the thread of the I/O context
 *  only; after the connection has ended, all functions do nothing. */
class call
{
public:
    call(std::weak_ptr<connection> owner, http::server_request request,
         bool keep_alive);

    http::server_request const& request() const
    {
        return m_request;
    }

    /** @return whether the caller is still connected. */
    bool is_open() const;

    /** Sends a whole JSON response. */
    void send(int status, nlohmann::json const& body);

    /** Sends a whole response. */
    void send_bytes(int status, std::string_view content_type,
                    std::string_view body);

    /** Begins a chunked response with status 200. */
    void start(std::string_view content_type);

    /** Appends a chunk to a response that was started. */
    void write(std::string_view bytes);

    /** Ends a chunked response. */
    void finish();

    /** Resets the connection without a further byte. */
    void reset();

    /** Sets a hook that runs if the caller closes the connection early. */
    void set_closed_hook(std::function<void()> hook);

private:
    friend class connection;

    void done();

    std::weak_ptr<connection> m_owner;
    http::server_request m_request;
    std::function<void()> m_closed_hook;
    bool m_keep_alive;
    bool m_done = false;
};

using call_handler = std::function<void(std::shared_ptr<call> const&)>;

/** Accepts connections and hands each request to a handler. A handler that
 *  throws json::exception or daisylead::error answers with 400. */
class listener
{
public:
    /** @param address "IP:port"
     *  @throws http::listen_error if the address is not IP:port
     *  @throws asio::system_error if the address cannot be used */
    listener(asio::io_context& context, std::string const& address,
             call_handler handler);

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    call_handler m_handler;
};

} // namespace daisylead::standin
