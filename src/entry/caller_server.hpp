/** @file Servers for callers and for checks. */
#pragma once

#include "caller_limiter.hpp"
#include "request_runner.hpp"

#include <set>

namespace daisylead::entry
{

/** Accepts connections of callers and runs their requests. */
class caller_server
{
public:
    /** @throws daisylead::error if the address cannot be used */
    caller_server(asio::any_io_executor const& executor,
                  std::string const& address, fleet_state& state,
                  upstream_connector& connector, silence_detector& silence,
                  crash_detector& crashes, stream_directory& streams,
                  caller_bounds bounds);

    /** Starts to accept. */
    void start();

    /** Closes idle connections and rejects requests that are read from now
     *  on. */
    void close_idle();

private:
    awaitable<void> accept_loop();
    /** How the reading of a request ended. */
    enum class read_result
    {
        complete, ///< the request was read
        answered, ///< it was refused; the connection must be closed
        broken    ///< the connection ended
    };

    using request_parser = http::request_parser<http::string_body>;

    serving::caller_limits caller_limits() const;
    awaitable<void> serve(std::shared_ptr<caller_connection> caller,
                          std::shared_ptr<caller_slot> slot);
    /** Waits for the first bytes of a request on an idle connection.
     *  @return whether there are any */
    awaitable<bool> wait_for_request(std::shared_ptr<caller_connection> caller,
                                     std::chrono::milliseconds timeout);
    awaitable<read_result>
    read_request(std::shared_ptr<caller_connection> caller,
                 request_parser& parser, request_memory& memory);
    awaitable<read_result> read_body(std::shared_ptr<caller_connection> caller,
                                     request_parser& parser,
                                     request_memory& memory);
    awaitable<read_result>
    refuse_for_memory(std::shared_ptr<caller_connection> caller);
    awaitable<void> reject(std::shared_ptr<caller_connection> caller,
                           int status, std::string text);

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    fleet_state& m_state;
    upstream_connector& m_connector;
    silence_detector& m_silence_detector;
    crash_detector& m_crash_detector;
    stream_directory& m_streams;
    caller_limiter m_limiter;
    std::set<std::shared_ptr<caller_connection>> m_idle;
    bool m_closing = false;
};

/** Answers GET requests with text: readiness, metrics and state dumps. */
class text_server
{
public:
    /** Called with the path; @return status and text */
    using answer_hook =
        std::function<std::pair<int, std::string>(std::string const&)>;

    /** @throws daisylead::error if the address cannot be used */
    text_server(asio::any_io_executor const& executor,
                std::string const& address, answer_hook answer);

    /** Starts to accept. */
    void start();

private:
    awaitable<void> accept_loop();
    awaitable<void> serve(beast::tcp_stream stream);

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    answer_hook m_answer;
};

/** @return an acceptor that listens on "IP:port".
 *  @throws daisylead::error if the address cannot be used */
asio::ip::tcp::acceptor make_acceptor(asio::any_io_executor const& executor,
                                      std::string const& address);

} // namespace daisylead::entry
