/** @file Servers for callers and for checks. */
#include "caller_server.hpp"

#include "keep_running_func.hpp"
#include "pause_func.hpp"

#include <daisylead/base/error_type.hpp>
#include <daisylead/entry/boot_time_func.hpp>
#include <daisylead/telemetry/log_func.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;
using telemetry::severity;

/** Backlog of connections to accept; larger than a burst of connections. */
constexpr int listen_backlog = 1024;

/** Delay after a failed accept, for example when no file descriptor is free. */
constexpr std::chrono::milliseconds accept_retry_delay = 50ms;

/** Idle timeout of a connection for checks and metrics. */
constexpr std::chrono::milliseconds checker_idle_timeout = 30s;

/** Maximum size of a request for a check or metrics, bytes. */
constexpr std::size_t max_check_size = 16384;

/** Timeout for receiving a body; callers limit the whole request by their
 *  deadline. */
constexpr std::chrono::milliseconds body_timeout = 15s;

/** Size of the first read on an idle connection; most requests fit. */
constexpr std::size_t first_read_size = 4096;

/** Steps by which the memory of a body in chunks grows, bytes. With the first
 *  one it is still a small request, see byte_budget. */
constexpr std::size_t first_body_step = 32768;
constexpr std::size_t body_step = 131072;

/** @return status and text of the answer to a request that cannot be parsed. */
std::pair<int, std::string> parse_error_answer(beast::error_code const& failure)
{
    if (failure == http::error::header_limit ||
        failure == http::error::buffer_overflow)
    {
        return {431, "the header is too long"};
    }
    if (failure == http::error::body_limit)
    {
        return {413, "the body is too long"};
    }
    return {400, failure.message()};
}

/** Increments a counter for the lifetime of this object. */
class active_count
{
public:
    explicit active_count(std::shared_ptr<std::size_t> count)
        : m_count(std::move(count))
    {
        ++*m_count;
    }

    ~active_count()
    {
        --*m_count;
    }

    active_count(active_count const&) = delete;
    active_count& operator=(active_count const&) = delete;

private:
    std::shared_ptr<std::size_t> m_count; ///< may outlive fleet_state
};

/** Rejects framing that the parser accepts but that other servers may
 *  interpret differently, which would allow request smuggling. */
bool is_framing_unambiguous(http::request_header<> const& header)
{
    auto const codings = header.equal_range(http::field::transfer_encoding);
    if (codings.first == codings.second)
    {
        return header.count(http::field::content_length) <= 1;
    }
    return std::next(codings.first) == codings.second &&
           beast::iequals(codings.first->value(), "chunked") &&
           header.count(http::field::content_length) == 0;
}

} // namespace

asio::ip::tcp::acceptor make_acceptor(asio::any_io_executor const& executor,
                                      std::string const& address)
{
    auto const endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        throw error("not an address: " + address);
    }
    asio::ip::tcp::acceptor acceptor(executor);
    beast::error_code failure;
    acceptor.open(endpoint->protocol(), failure);
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    acceptor.bind(*endpoint, failure);
    if (!failure)
    {
        acceptor.listen(listen_backlog, failure);
    }
    if (failure)
    {
        throw listen_error("cannot listen on " + address + ": " +
                           failure.message());
    }
    return acceptor;
}

caller_server::caller_server(asio::any_io_executor const& executor,
                             std::string const& address, fleet_state& state,
                             upstream_connector& connector,
                             silence_detector& silence, crash_detector& crashes,
                             stream_directory& streams, caller_bounds bounds)
    : m_executor(executor), m_acceptor(make_acceptor(executor, address)),
      m_state(state), m_connector(connector), m_silence_detector(silence),
      m_crash_detector(crashes), m_streams(streams),
      m_limiter(executor, state.m_metrics, bounds)
{
}

void caller_server::start()
{
    keep_running(m_executor, "accept_callers",
                 [this] { return accept_loop(); });
}

awaitable<void> caller_server::accept_loop()
{
    for (;;)
    {
        beast::error_code failure;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            telemetry::log(severity::warning, "accept_failed",
                           {{"error", failure.message()}});
            co_await pause(m_executor, accept_retry_delay);
            continue;
        }
        auto caller = std::make_shared<caller_connection>(std::move(socket));
        auto slot = m_limiter.admit(caller);
        if (!slot)
        {
            caller->abort();
            continue;
        }
        run_once(m_executor, "caller",
                 [this, caller, slot = std::move(slot)]
                 { return serve(caller, slot); });
    }
}

awaitable<bool>
caller_server::wait_for_request(std::shared_ptr<caller_connection> caller,
                                std::chrono::milliseconds timeout)
{
    beast::tcp_stream& stream = caller->stream();
    beast::flat_buffer& buffer = caller->buffer();
    for (;;)
    {
        // The buffer of a large request is not kept between requests.
        buffer.shrink_to_fit();
        beast::error_code failure;
        stream.expires_after(timeout);
        m_idle.insert(caller);
        std::size_t const size = co_await stream.async_read_some(
            buffer.prepare(first_read_size),
            asio::redirect_error(asio::use_awaitable, failure));
        m_idle.erase(caller);
        buffer.commit(size);
        // A request that had arrived when the idle connections were closed gets
        // an answer.
        beast::error_code ignored;
        bool const has_arrived = failure == asio::error::operation_aborted &&
                                 m_closing &&
                                 stream.socket().available(ignored) > 0;
        if (!has_arrived)
        {
            co_return !failure;
        }
    }
}

awaitable<caller_server::read_result>
caller_server::read_request(std::shared_ptr<caller_connection> caller,
                            request_parser& parser, request_memory& memory)
{
    serving::caller_limits const limits = caller_limits();
    beast::tcp_stream& stream = caller->stream();
    beast::flat_buffer& buffer = caller->buffer();
    // A header of the permitted size has to fit as well.
    buffer.max_size(
        std::max(buffer.size(), limits.m_max_header + max_unparsed_size));
    parser.header_limit(static_cast<std::uint32_t>(limits.m_max_header));
    parser.body_limit(limits.m_max_body);
    if (!co_await memory.reserve(0))
    {
        co_return co_await refuse_for_memory(caller);
    }
    beast::error_code failure;
    stream.expires_after(limits.m_header_timeout);
    co_await http::async_read_header(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        if (failure == beast::error::timeout ||
            failure == http::error::end_of_stream ||
            failure == http::error::partial_message ||
            failure == asio::error::operation_aborted ||
            failure == asio::error::bad_descriptor ||
            failure == asio::error::connection_reset)
        {
            co_return read_result::broken;
        }
        auto const [status, text] = parse_error_answer(failure);
        co_await reject(caller, status, text);
        co_return read_result::answered;
    }
    if (!is_framing_unambiguous(parser.get()))
    {
        co_await reject(caller, 400, "the framing is ambiguous");
        co_return read_result::answered;
    }
    if (parser.is_done())
    {
        co_return read_result::complete;
    }
    if (!co_await memory.reserve(parser.content_length().value_or(0)))
    {
        co_return co_await refuse_for_memory(caller);
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
    {
        http::response<http::empty_body> interim(http::status::continue_,
                                                 parser.get().version());
        stream.expires_after(limits.m_header_timeout);
        co_await http::async_write(
            stream, interim,
            asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return failure ? read_result::broken
                      : co_await read_body(caller, parser, memory);
}

awaitable<caller_server::read_result>
caller_server::read_body(std::shared_ptr<caller_connection> caller,
                         request_parser& parser, request_memory& memory)
{
    beast::tcp_stream& stream = caller->stream();
    std::string& body = parser.get().body();
    std::size_t const max_body =
        parser.content_length_remaining() ? 0 : caller_limits().m_max_body;
    time_point const ends_at = boot_time() + body_timeout;
    beast::error_code failure;
    while (!failure && !parser.is_done())
    {
        // The size of a body in chunks is known only when it is there.
        std::size_t const step =
            body.capacity() < first_body_step ? first_body_step : body_step;
        if (max_body > 0 && body.capacity() - body.size() < step / 2 &&
            body.capacity() < max_body)
        {
            std::size_t const capacity =
                std::min(max_body, std::max(2 * body.capacity(), step));
            // Old and new memory are held while the bytes are moved.
            if (!co_await memory.reserve(capacity + body.size()))
            {
                co_return co_await refuse_for_memory(caller);
            }
            body.reserve(capacity);
            co_await memory.reserve(capacity);
        }
        stream.expires_after(std::max<duration>(ends_at - boot_time(), 1ms));
        co_await http::async_read_some(
            stream, caller->buffer(), parser,
            asio::redirect_error(asio::use_awaitable, failure));
        memory.note_progress();
    }
    if (!failure)
    {
        co_return read_result::complete;
    }
    if (failure == http::error::body_limit ||
        failure == http::error::bad_chunk ||
        failure == http::error::bad_chunk_extension)
    {
        auto const [status, text] = parse_error_answer(failure);
        co_await reject(caller, status, text);
        co_return read_result::answered;
    }
    if (failure == http::error::buffer_overflow)
    {
        co_await reject(caller, 400, "a line of the chunk framing is too long");
        co_return read_result::answered;
    }
    co_return read_result::broken;
}

awaitable<caller_server::read_result>
caller_server::refuse_for_memory(std::shared_ptr<caller_connection> caller)
{
    m_state.m_metrics.count("daisylead_memory_refusals_total");
    co_await reject(caller, 503, "this instance has no memory for the request");
    co_return read_result::answered;
}

awaitable<void> caller_server::serve(std::shared_ptr<caller_connection> caller,
                                     std::shared_ptr<caller_slot> slot)
{
    bool open = true;
    while (open)
    {
        slot->set_phase(caller_slot::phase::idle);
        if (caller->buffer().size() == 0 &&
            !co_await wait_for_request(caller, caller_limits().m_idle_timeout))
        {
            break;
        }
        // A request counts as active from its first byte, so that a drain waits
        // for it.
        active_count const reading(m_state.m_active_requests);
        slot->set_phase(caller_slot::phase::reading);
        auto const memory = m_limiter.open(slot);
        request_parser parser;
        if (co_await read_request(caller, parser, *memory) !=
            read_result::complete)
        {
            break;
        }
        // The connection may have been closed to make room just now.
        if (!slot->is_open())
        {
            break;
        }
        memory->note_complete();
        if (m_closing)
        {
            co_await reject(caller, 503, "this instance shuts down");
            break;
        }
        request_runner runner(m_state, m_connector, m_silence_detector,
                              m_crash_detector, m_streams, caller,
                              parser.release());
        open = co_await runner.run();
    }
    // The last answer may still be on its way.
    slot->set_phase(caller_slot::phase::handling);
    co_await caller->linger_and_close();
}

serving::caller_limits caller_server::caller_limits() const
{
    return m_state.m_catalog ? m_state.m_catalog->content().m_limits
                             : serving::caller_limits{};
}

void caller_server::close_idle()
{
    m_closing = true;
    for (std::shared_ptr<caller_connection> const& caller : m_idle)
    {
        caller->stream().cancel();
    }
}

awaitable<void> caller_server::reject(std::shared_ptr<caller_connection> caller,
                                      int status, std::string text)
{
    m_state.m_metrics.count(
        "daisylead_requests_total",
        {{"status", std::to_string(status)}, {"end", "unreadable"}});
    telemetry::log(severity::info, "request_unreadable",
                   {{"status", status}, {"error", text}});
    caller_answer answer;
    answer.m_status = status;
    answer.m_fields.set(http::field::content_type, "text/plain");
    answer.m_body = std::move(text);
    if (status == 503)
    {
        // Other instances can serve the request at once.
        answer.m_fields.set(http::field::retry_after, "0.05");
    }
    co_await caller->write(std::move(answer), true, false);
}

text_server::text_server(asio::any_io_executor const& executor,
                         std::string const& address, answer_hook answer)
    : m_executor(executor), m_acceptor(make_acceptor(executor, address)),
      m_answer(std::move(answer))
{
}

void text_server::start()
{
    keep_running(m_executor, "accept_checkers",
                 [this] { return accept_loop(); });
}

awaitable<void> text_server::accept_loop()
{
    for (;;)
    {
        beast::error_code failure;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            telemetry::log(severity::warning, "check_accept_failed",
                           {{"error", failure.message()}});
            co_await pause(m_executor, accept_retry_delay);
            continue;
        }
        auto const connection =
            std::make_shared<beast::tcp_stream>(std::move(socket));
        run_once(m_executor, "checker",
                 [this, connection] { return serve(std::move(*connection)); });
    }
}

awaitable<void> text_server::serve(beast::tcp_stream stream)
{
    beast::flat_buffer buffer(max_check_size);
    bool open = true;
    while (open)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_check_size);
        beast::error_code failure;
        stream.expires_after(checker_idle_timeout);
        co_await http::async_read(
            stream, buffer, parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            break;
        }
        http::request<http::string_body> const request = parser.release();
        auto [status, text] = m_answer(std::string(request.target()));
        http::response<http::string_body> response;
        response.result(static_cast<unsigned>(status));
        response.set(http::field::content_type, "text/plain; charset=utf-8");
        response.body() = std::move(text);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        open = request.keep_alive();
        co_await http::async_write(
            stream, response,
            asio::redirect_error(asio::use_awaitable, failure));
        open = open && !failure;
    }
    stream.close();
}

} // namespace daisylead::entry
