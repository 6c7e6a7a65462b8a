/** @file HTTP server on RESTinio. */
#include <daisylead/http/server_base.hpp>

#include <http_parser.h>
#include <restinio/all.hpp>
#include <restinio/tls.hpp>

#include <atomic>
#include <mutex>

namespace daisylead::http
{

namespace
{

/** Factor between the size that gets an error response and the size at which
 *  RESTinio closes the connection without one. */
constexpr std::size_t hard_limit_factor = 4;

/** Pipelining above one keeps a read pending while a request is handled, so
 *  that a caller who closes its connection is noticed at once. */
constexpr std::size_t max_pipelined_requests = 2;

constexpr int status_payload_too_large = 413;
constexpr int status_headers_too_large = 431;

class closed_listener
{
public:
    explicit closed_listener(std::function<void(connection_id)> hook)
        : m_hook(std::move(hook))
    {
    }

    void state_changed(restinio::connection_state::notice_t const& notice)
    {
        if (m_hook &&
            restinio::holds_alternative<restinio::connection_state::closed_t>(
                notice.cause()))
        {
            m_hook(notice.connection_id());
        }
    }

private:
    std::function<void(connection_id)> m_hook;
};

using handler = std::function<restinio::request_handling_status_t(
    restinio::request_handle_t)>;

struct plain_traits : restinio::default_single_thread_traits_t
{
    using request_handler_t = handler;
    using connection_state_listener_t = closed_listener;
};

struct tls_traits
    : restinio::single_thread_tls_traits_t<restinio::asio_timer_manager_t,
                                           restinio::null_logger_t, handler>
{
    using connection_state_listener_t = closed_listener;
};

void add_headers(auto& response, header_list const& headers)
{
    for (header const& field : headers)
    {
        response.append_header(field.m_name, field.m_value);
    }
}

restinio::http_status_line_t status_line(int status)
{
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            std::string(http_status_str(static_cast<http_status>(status)))};
}

/** Counts the bytes in flight of one response. */
struct send_window
{
    std::atomic<std::size_t> m_pending{0};
    std::mutex m_mutex;
    std::function<void()> m_hook;

    void sent(std::size_t bytes)
    {
        m_pending -= bytes;
        std::function<void()> hook;
        {
            std::lock_guard const lock(m_mutex);
            hook = m_hook;
        }
        if (hook)
        {
            hook();
        }
    }
};

/** Number of responses that are not written to the end. */
using response_counter = std::shared_ptr<std::atomic<std::size_t>>;

/** Counts one response for as long as any copy lives. */
std::shared_ptr<void> count_response(response_counter const& counter)
{
    ++*counter;
    return {nullptr, [counter](void*)
            {
                --*counter;
            }};
}

class restinio_writer : public response_writer
{
public:
    restinio_writer(restinio::request_handle_t request,
                    response_counter const& counter)
        : m_request(std::move(request)),
          m_window(std::make_shared<send_window>()),
          m_open(count_response(counter))
    {
    }

    void send(int status, header_list const& headers, std::string body,
              bool close) override
    {
        auto response = m_request->create_response(status_line(status));
        add_headers(response, headers);
        if (close)
        {
            response.connection_close();
        }
        response.set_body(std::move(body));
        response.done([open = std::move(m_open)](auto const&) {});
    }

    void close_after_response() override
    {
        m_close = true;
    }

    void start(int status, header_list const& headers) override
    {
        m_chunked.emplace(
            m_request->create_response<restinio::chunked_output_t>(
                status_line(status)));
        add_headers(*m_chunked, headers);
        if (m_close)
        {
            m_chunked->connection_close();
        }
        m_chunked->flush();
    }

    void write(std::string bytes) override
    {
        std::size_t const size = bytes.size();
        m_window->m_pending += size;
        m_chunked->append_chunk(std::move(bytes));
        m_chunked->flush([window = m_window, size](auto const&)
                         { window->sent(size); });
    }

    void finish() override
    {
        m_chunked->done([open = std::move(m_open)](auto const&) {});
    }

    std::size_t pending_bytes() const override
    {
        return m_window->m_pending;
    }

    void set_sent_hook(std::function<void()> hook) override
    {
        std::lock_guard const lock(m_window->m_mutex);
        m_window->m_hook = std::move(hook);
    }

private:
    using chunked = restinio::response_builder_t<restinio::chunked_output_t>;

    restinio::request_handle_t m_request;
    std::shared_ptr<send_window> m_window;
    std::shared_ptr<void> m_open;
    std::optional<chunked> m_chunked;
    bool m_close = false;
};

std::size_t header_size(header_list const& headers)
{
    std::size_t size = 0;
    for (header const& field : headers)
    {
        size += field.m_name.size() + field.m_value.size();
    }
    return size;
}

server_request to_server_request(restinio::request_handle_t const& request)
{
    server_request result;
    auto const& head = request->header();
    result.m_method = head.method().c_str();
    result.m_path = std::string(head.path());
    result.m_query = std::string(head.query());
    head.for_each_field(
        [&](auto const& field) {
            result.m_headers.push_back({field.name(), field.value()});
        });
    result.m_body = std::make_shared<std::string const>(request->body());
    result.m_connection = request->connection_id();
    return result;
}

/** @return 0, or the status that refuses a request for its size. */
int check_size(server_request const& request, server_options const& options)
{
    if (request.m_body->size() > options.m_max_body)
    {
        return status_payload_too_large;
    }
    std::size_t const head = header_size(request.m_headers) +
                             request.m_path.size() + request.m_query.size();
    return head > options.m_max_header ? status_headers_too_large : 0;
}

void refuse_size(response_writer& writer, int status)
{
    std::string const code = status == status_payload_too_large
                                 ? "body_too_large"
                                 : "headers_too_large";
    writer.send(
        status,
        {{"Content-Type", "application/json"},
         {"X-Daisylead-Outcome", "not-run"}},
        R"({"error":{"code":")" + code +
            R"(","message":"the request is larger than this server accepts"}})",
        true);
}

restinio::request_handling_status_t
handle(restinio::request_handle_t const& handle, server_options const& options,
       server_hooks const& hooks, response_counter const& counter)
{
    server_request request = to_server_request(handle);
    auto writer = std::make_shared<restinio_writer>(handle, counter);
    int const status = check_size(request, options);
    if (status != 0)
    {
        refuse_size(*writer, status);
        return restinio::request_accepted();
    }
    hooks.m_on_request(std::move(request), std::move(writer));
    return restinio::request_accepted();
}

} // namespace

std::pair<std::string, std::uint16_t> split_address(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        throw listen_error("address '" + address + "' is not IP:port");
    }
    int const port = std::atoi(address.c_str() + colon + 1);
    if (port < 0 || port > 65535)
    {
        throw listen_error("address '" + address + "' has no valid port");
    }
    return {address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

class server::impl
{
public:
    impl(server_options const& options, server_hooks const& hooks)
    {
        try
        {
            if (options.m_tls_certificate.empty())
            {
                auto settings =
                    make_settings<plain_traits>(options, hooks, m_counter);
                m_plain = restinio::run_async<plain_traits>(
                    restinio::own_io_context(), std::move(settings), 1);
                return;
            }
            auto settings =
                make_settings<tls_traits>(options, hooks, m_counter);
            settings.tls_context(make_tls_context(options));
            m_tls = restinio::run_async<tls_traits>(restinio::own_io_context(),
                                                    std::move(settings), 1);
        }
        catch (std::exception const& failure)
        {
            throw listen_error("cannot listen on " + options.m_address + ": " +
                               failure.what());
        }
    }

    void stop()
    {
        stop(m_plain);
        stop(m_tls);
    }

    std::size_t open_responses() const
    {
        return *m_counter;
    }

private:
    template <class Handle>
    static void stop(Handle& handle)
    {
        if (handle)
        {
            handle->stop();
            handle->wait();
            handle.reset();
        }
    }

    static restinio::asio_ns::ssl::context
    make_tls_context(server_options const& options)
    {
        namespace ssl = restinio::asio_ns::ssl;
        ssl::context context(ssl::context::tls_server);
        context.set_options(ssl::context::default_workarounds |
                            ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                            ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
        context.use_certificate_chain_file(options.m_tls_certificate);
        context.use_private_key_file(options.m_tls_key, ssl::context::pem);
        return context;
    }

    template <class Traits>
    static restinio::server_settings_t<Traits>
    make_settings(server_options const& options, server_hooks const& hooks,
                  response_counter const& counter)
    {
        auto const [host, port] = split_address(options.m_address);
        restinio::server_settings_t<Traits> settings;
        settings.address(host).port(port);
        settings.connection_state_listener(
            std::make_shared<closed_listener>(hooks.m_on_closed));
        settings.request_handler(
            [options, hooks, counter](restinio::request_handle_t const& request)
            { return handle(request, options, hooks, counter); });
        settings.read_next_http_message_timelimit(options.m_idle_timeout)
            .write_http_response_timelimit(options.m_write_timeout)
            .handle_request_timeout(options.m_handle_timeout)
            .max_pipelined_requests(max_pipelined_requests)
            .buffer_size(16384)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_url_size(hard_limit_factor * options.m_max_header)
                    .max_field_value_size(hard_limit_factor *
                                          options.m_max_header)
                    .max_body_size(hard_limit_factor * options.m_max_body));
        settings.socket_options_setter(
            [](auto& socket)
            { socket.set_option(restinio::asio_ns::ip::tcp::no_delay(true)); });
        settings.acceptor_options_setter(
            [](auto& acceptor)
            {
                acceptor.set_option(
                    restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
            });
        return settings;
    }

    response_counter m_counter = std::make_shared<std::atomic<std::size_t>>(0);
    restinio::running_server_handle_t<plain_traits> m_plain;
    restinio::running_server_handle_t<tls_traits> m_tls;
};

server::server(server_options const& options, server_hooks const& hooks)
    : m_impl(std::make_unique<impl>(options, hooks))
{
}

server::~server()
{
    stop();
}

std::size_t server::open_responses() const
{
    return m_impl->open_responses();
}

void server::stop()
{
    m_impl->stop();
}

} // namespace daisylead::http
