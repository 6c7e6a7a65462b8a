/** @file Blocking HTTP over loopback sockets, for stand-ins and clients. */
#include "net.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::size_t max_head = 1 << 16;
constexpr milliseconds request_timeout{60000};

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

bool equals(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(),
                      [](unsigned char x, unsigned char y)
                      { return std::tolower(x) == std::tolower(y); });
}

/** Opens a listener on a free port of the loopback address. */
int listen_on_free_port(int& port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (descriptor < 0 ||
        ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(descriptor, 512) != 0 ||
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address),
                      &size) != 0)
    {
        throw std::runtime_error("cannot listen on the loopback address");
    }
    port = ntohs(address.sin_port);
    return descriptor;
}

} // namespace

std::string message::field(std::string_view name) const
{
    for (auto const& [key, value] : m_fields)
    {
        if (equals(key, name))
        {
            return value;
        }
    }
    return {};
}

std::string message::method() const
{
    return m_start.substr(0, m_start.find(' '));
}

std::string message::target() const
{
    std::size_t const begin = m_start.find(' ');
    if (begin == std::string::npos)
    {
        return {};
    }
    return m_start.substr(begin + 1, m_start.find(' ', begin + 1) - begin - 1);
}

int message::status() const
{
    std::size_t const begin = m_start.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(m_start.c_str() + begin);
}

connection::connection(int descriptor) : m_descriptor(descriptor)
{
    int const on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    ::close(m_descriptor);
}

std::unique_ptr<connection> connection::open(int port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const address = loopback(port);
    if (descriptor < 0)
    {
        return nullptr;
    }
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&address),
                  sizeof address) != 0)
    {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

end_kind connection::read_more(clock::time_point until)
{
    auto const left =
        std::chrono::ceil<milliseconds>(until - clock::now()).count();
    pollfd waited{m_descriptor, POLLIN, 0};
    if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) <= 0)
    {
        return end_kind::timed_out;
    }
    char bytes[16384];
    ssize_t const size = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (size <= 0)
    {
        return end_kind::cut;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return end_kind::complete;
}

end_kind connection::need(std::size_t size, clock::time_point until)
{
    while (m_buffer.size() < size)
    {
        end_kind const more = read_more(until);
        if (more != end_kind::complete)
        {
            return more;
        }
    }
    return end_kind::complete;
}

end_kind connection::read_head(message& result, clock::time_point until)
{
    result = message();
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
    {
        bool const is_first = m_buffer.empty();
        end_kind const more =
            m_buffer.size() < max_head ? read_more(until) : end_kind::cut;
        if (more != end_kind::complete)
        {
            return is_first && more == end_kind::cut ? end_kind::no_bytes
                                                     : more;
        }
    }
    std::string const head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    result.m_start = head.substr(0, at);
    for (at += 2; at < head.size();)
    {
        std::size_t const stop = head.find("\r\n", at);
        std::string const line = head.substr(at, stop - at);
        std::size_t const colon = line.find(':');
        if (colon != std::string::npos)
        {
            std::size_t const value = line.find_first_not_of(' ', colon + 1);
            result.m_fields.emplace_back(
                line.substr(0, colon),
                value == std::string::npos ? "" : line.substr(value));
        }
        at = stop + 2;
    }
    return end_kind::complete;
}

end_kind connection::read_chunks(message& result, clock::time_point until)
{
    for (;;)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos)
        {
            end_kind const more = read_more(until);
            if (more != end_kind::complete)
            {
                return more;
            }
        }
        std::size_t const size =
            std::strtoul(m_buffer.substr(0, end).c_str(), nullptr, 16);
        end_kind const whole = need(end + 2 + size + 2, until);
        if (whole != end_kind::complete)
        {
            return whole;
        }
        result.m_body += m_buffer.substr(end + 2, size);
        m_buffer.erase(0, end + 2 + size + 2);
        if (size == 0)
        {
            return end_kind::complete;
        }
    }
}

end_kind connection::read_body(message& result, bool until_close,
                               clock::time_point until)
{
    if (equals(result.field("Transfer-Encoding"), "chunked"))
    {
        return read_chunks(result, until);
    }
    std::string const length = result.field("Content-Length");
    if (!length.empty())
    {
        std::size_t const size = std::strtoul(length.c_str(), nullptr, 10);
        end_kind const whole = need(size, until);
        std::size_t const taken = std::min(size, m_buffer.size());
        result.m_body = m_buffer.substr(0, taken);
        m_buffer.erase(0, taken);
        return whole;
    }
    if (!until_close)
    {
        return end_kind::complete;
    }
    end_kind more = end_kind::complete;
    while (more == end_kind::complete)
    {
        more = read_more(until);
    }
    result.m_body = std::move(m_buffer);
    m_buffer.clear();
    return more == end_kind::cut ? end_kind::complete : more;
}

end_kind connection::read_request(message& request)
{
    clock::time_point const until = clock::now() + request_timeout;
    end_kind const head = read_head(request, until);
    return head == end_kind::complete ? read_body(request, false, until) : head;
}

end_kind connection::read_answer(message& answer, milliseconds timeout)
{
    clock::time_point const until = clock::now() + timeout;
    end_kind const head = read_head(answer, until);
    return head == end_kind::complete ? read_body(answer, true, until) : head;
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty())
    {
        ssize_t const size =
            ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

bool connection::is_closed() const
{
    char byte = 0;
    ssize_t const size =
        ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::finish()
{
    ::shutdown(m_descriptor, SHUT_WR);
}

void connection::shut_down() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

server::server(handler run)
    : m_run(std::move(run)), m_listener(listen_on_free_port(m_port)),
      m_acceptor([this] { accept_loop(); })
{
}

server::~server()
{
    stop();
}

std::string server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void server::stop()
{
    if (m_stopping.exchange(true))
    {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    while (m_active > 0)
    {
        {
            std::lock_guard const lock(m_mutex);
            for (connection const* const item : m_open)
            {
                item->shut_down();
            }
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
}

void server::accept_loop()
{
    while (!m_stopping)
    {
        int const descriptor =
            ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
        {
            continue;
        }
        ++m_active;
        std::thread(
            [this, descriptor]
            {
                {
                    connection accepted(descriptor);
                    {
                        std::lock_guard const lock(m_mutex);
                        m_open.insert(&accepted);
                    }
                    m_run(accepted);
                    std::lock_guard const lock(m_mutex);
                    m_open.erase(&accepted);
                }
                --m_active;
            })
            .detach();
    }
}

int free_port()
{
    // Below the ports that the kernel gives to connecting sockets, so that
    // none of them takes the port before the instance listens on it.
    static std::mt19937 generator{std::random_device{}()};
    static std::set<int> given;
    std::uniform_int_distribution<int> distribution(20000, 32000);
    for (;;)
    {
        int const port = distribution(generator);
        // An instance that is to listen on it may not have been started yet.
        if (!given.insert(port).second)
        {
            continue;
        }
        int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in const address = loopback(port);
        bool const is_free =
            ::bind(descriptor, reinterpret_cast<sockaddr const*>(&address),
                   sizeof address) == 0;
        ::close(descriptor);
        if (is_free)
        {
            return port;
        }
    }
}

std::string make_answer(int status, std::string const& fields,
                        std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string make_chunk(std::string const& bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace review
