/** @file Small HTTP server whose connections can be reset by a fault. */
#include "listener_base.hpp"

#include <daisylead/base/error_type.hpp>
#include <daisylead/http/server_base.hpp>

#include <http_parser.h>

#include <array>
#include <deque>

namespace daisylead::standin
{

namespace
{

using asio::ip::tcp;

constexpr std::size_t read_size = 65536;     ///< bytes
constexpr std::size_t max_body = 64U << 20U; ///< bytes
constexpr std::size_t max_pipelined_requests = 64;
constexpr int status_malformed = 400;
constexpr int status_error = 400; ///< first status that is an error

std::string head(int status, std::string_view content_type)
{
    return "HTTP/1.1 " + std::to_string(status) +
           (status < status_error ? " OK" : " Error") +
           "\r\nContent-Type: " + std::string(content_type) + "\r\n";
}

std::string chunk_of(std::string_view bytes)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return std::string(size.data()) + std::string(bytes) + "\r\n";
}

} // namespace

class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, call_handler const& handler)
        : m_socket(std::move(socket)), m_handler(handler)
    {
        asio::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        http_parser_init(&m_parser, HTTP_REQUEST);
        m_parser.data = this;
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_input),
            [self = shared_from_this()](asio::error_code const& failure,
                                        std::size_t size)
            {
                if (failure || !self->parse(size))
                {
                    self->close(false);
                    return;
                }
                self->dispatch();
                self->read();
            });
    }

    void send(std::string_view bytes)
    {
        m_queued += bytes;
        flush();
    }

    void end_call(bool keep_alive)
    {
        m_call.reset();
        m_close_when_sent = m_close_when_sent || !keep_alive;
        flush();
        asio::post(m_socket.get_executor(),
                   [self = shared_from_this()] { self->dispatch(); });
    }

    void close(bool reset)
    {
        asio::error_code ignored;
        if (reset)
        {
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        m_socket.close(ignored);
        m_requests.clear();
        if (auto const open = std::exchange(m_call, nullptr))
        {
            open->m_done = true;
            auto const hook = std::exchange(open->m_closed_hook, nullptr);
            if (hook)
            {
                hook();
            }
        }
    }

    bool is_open() const
    {
        return m_socket.is_open();
    }

private:
    struct received
    {
        http::server_request m_request;
        std::string m_body;
        bool m_keep_alive = true;
    };

    static http_parser_settings make_settings()
    {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = [](http_parser* parser)
        {
            self(parser).m_current = {};
            self(parser).m_value_began = true;
            return 0;
        };
        settings.on_url =
            [](http_parser* parser, char const* data, std::size_t size)
        {
            self(parser).m_current.m_request.m_path.append(data, size);
            return 0;
        };
        settings.on_header_field =
            [](http_parser* parser, char const* data, std::size_t size)
        {
            self(parser).add_name({data, size});
            return 0;
        };
        settings.on_header_value =
            [](http_parser* parser, char const* data, std::size_t size)
        {
            self(parser).m_value_began = true;
            self(parser).m_current.m_request.m_headers.back().m_value.append(
                data, size);
            return 0;
        };
        settings.on_body =
            [](http_parser* parser, char const* data, std::size_t size)
        {
            std::string& body = self(parser).m_current.m_body;
            body.append(data, size);
            return body.size() > max_body ? 1 : 0;
        };
        settings.on_message_complete = [](http_parser* parser)
        {
            return self(parser).complete_request() ? 0 : 1;
        };
        return settings;
    }

    static connection& self(http_parser* parser)
    {
        return *static_cast<connection*>(parser->data);
    }

    void add_name(std::string_view part)
    {
        auto& headers = m_current.m_request.m_headers;
        if (m_value_began)
        {
            headers.emplace_back();
            m_value_began = false;
        }
        headers.back().m_name += part;
    }

    bool complete_request()
    {
        http::server_request& request = m_current.m_request;
        request.m_method =
            http_method_str(static_cast<http_method>(m_parser.method));
        std::size_t const query = request.m_path.find('?');
        if (query != std::string::npos)
        {
            request.m_query = request.m_path.substr(query + 1);
            request.m_path.erase(query);
        }
        request.m_body =
            std::make_shared<std::string const>(std::move(m_current.m_body));
        m_current.m_keep_alive = http_should_keep_alive(&m_parser) != 0;
        m_requests.push_back(std::move(m_current));
        return m_requests.size() <= max_pipelined_requests;
    }

    bool parse(std::size_t size)
    {
        static http_parser_settings const settings = make_settings();
        std::size_t const parsed =
            http_parser_execute(&m_parser, &settings, m_input.data(), size);
        return parsed == size && m_parser.upgrade == 0;
    }

    void dispatch()
    {
        if (m_call || m_requests.empty() || m_close_when_sent)
        {
            return;
        }
        received item = std::move(m_requests.front());
        m_requests.pop_front();
        auto const current = std::make_shared<call>(
            weak_from_this(), std::move(item.m_request), item.m_keep_alive);
        m_call = current;
        try
        {
            m_handler(current);
        }
        catch (nlohmann::json::exception const& failure)
        {
            refuse(*current, failure.what());
        }
        catch (daisylead::error const& failure)
        {
            refuse(*current, failure.what());
        }
    }

    static void refuse(call& current, char const* message)
    {
        current.send(
            status_malformed,
            {{"error", {{"code", "malformed"}, {"message", message}}}});
    }

    void flush()
    {
        if (m_sending.empty() && m_queued.empty() && m_close_when_sent)
        {
            close(false);
            return;
        }
        if (!m_sending.empty() || m_queued.empty() || !is_open())
        {
            return;
        }
        m_sending.swap(m_queued);
        asio::async_write(m_socket, asio::buffer(m_sending),
                          [self = shared_from_this()](
                              asio::error_code const& failure, std::size_t)
                          {
                              self->m_sending.clear();
                              if (failure)
                              {
                                  self->close(false);
                                  return;
                              }
                              self->flush();
                          });
    }

    tcp::socket m_socket;
    call_handler const& m_handler;
    http_parser m_parser{};
    std::array<char, read_size> m_input{};
    received m_current;
    bool m_value_began = true;
    std::deque<received> m_requests; ///< complete and not yet handled
    std::shared_ptr<call> m_call;    ///< being handled
    std::string m_sending;
    std::string m_queued;
    bool m_close_when_sent = false;
};

call::call(std::weak_ptr<connection> owner, http::server_request request,
           bool keep_alive)
    : m_owner(std::move(owner)), m_request(std::move(request)),
      m_keep_alive(keep_alive)
{
}

bool call::is_open() const
{
    return !m_done && !m_owner.expired();
}

void call::send(int status, nlohmann::json const& body)
{
    using nlohmann::json;
    send_bytes(status, "application/json",
               body.dump(-1, ' ', false, json::error_handler_t::replace));
}

void call::send_bytes(int status, std::string_view content_type,
                      std::string_view body)
{
    auto const owner = m_owner.lock();
    if (!owner || m_done)
    {
        return;
    }
    std::string bytes = head(status, content_type) +
                        "Content-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n";
    if (m_request.m_method != "HEAD")
    {
        bytes += body;
    }
    owner->send(bytes);
    done();
}

void call::start(std::string_view content_type)
{
    auto const owner = m_owner.lock();
    if (owner && !m_done)
    {
        owner->send(head(200, content_type) +
                    "Transfer-Encoding: chunked\r\n\r\n");
    }
}

void call::write(std::string_view bytes)
{
    auto const owner = m_owner.lock();
    if (owner && !m_done && !bytes.empty())
    {
        owner->send(chunk_of(bytes));
    }
}

void call::finish()
{
    auto const owner = m_owner.lock();
    if (owner && !m_done)
    {
        owner->send("0\r\n\r\n");
        done();
    }
}

void call::reset()
{
    auto const owner = m_owner.lock();
    if (owner && !m_done)
    {
        m_closed_hook = nullptr;
        owner->close(true);
    }
}

void call::set_closed_hook(std::function<void()> hook)
{
    m_closed_hook = std::move(hook);
}

void call::done()
{
    m_done = true;
    m_closed_hook = nullptr;
    if (auto const owner = m_owner.lock())
    {
        owner->end_call(m_keep_alive);
    }
}

listener::listener(asio::io_context& context, std::string const& address,
                   call_handler handler)
    : m_acceptor(context), m_handler(std::move(handler))
{
    auto const [host, port] = http::split_address(address);
    tcp::endpoint const endpoint(asio::ip::make_address(host), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

void listener::accept()
{
    m_acceptor.async_accept(
        [this](asio::error_code const& failure, tcp::socket socket)
        {
            if (!failure)
            {
                std::make_shared<connection>(std::move(socket), m_handler)
                    ->read();
            }
            accept();
        });
}

} // namespace daisylead::standin
