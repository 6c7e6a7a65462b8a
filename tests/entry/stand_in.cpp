/** @file Test doubles around one entry instance. */
#include "stand_in.hpp"

#include <daisylead/base/error_type.hpp>
#include <daisylead/entry/http_caller_base.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>

namespace daisylead::entry_test
{

namespace
{

using namespace std::chrono_literals;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/** @return a listener, or -1 if the port is taken. */
int try_to_listen(int port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    int const reuse = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in const address = loopback(port);
    if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&address),
               sizeof address) != 0 ||
        ::listen(descriptor, 64) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

/** Ports that the kernel gives to no other socket: those below the range of
 *  automatic ports. Each is handed out once by this process, and processes
 *  begin at different places. */
class port_range
{
public:
    port_range()
    {
        int automatic = 0;
        std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> automatic;
        if (automatic > first_port + static_cast<int>(ports_per_process))
        {
            m_count = static_cast<unsigned>(automatic - first_port);
        }
        m_next = static_cast<unsigned>(::getpid()) * ports_per_process;
    }

    /** @return a listener on the next free port */
    int listen_on_next()
    {
        std::lock_guard const lock(m_mutex);
        for (unsigned tries = 0; tries < m_count; ++tries)
        {
            int const port = first_port + static_cast<int>(m_next++ % m_count);
            if (int const descriptor = try_to_listen(port); descriptor >= 0)
            {
                return descriptor;
            }
        }
        throw error("no free port for a test listener");
    }

private:
    /** Ports below it belong to well-known services. */
    static constexpr int first_port = 10000;
    /** Distance between the first ports of two processes. */
    static constexpr unsigned ports_per_process = 997;

    std::mutex m_mutex;
    unsigned m_next = 0;      ///< guarded by m_mutex
    unsigned m_count = 22768; ///< ports below the usual automatic ones
};

int listen_on_free_port()
{
    static port_range ports;
    return ports.listen_on_next();
}

/** @param receive_buffer bytes; 0: the usual size */
int connect_to(std::string const& address, int receive_buffer = 0)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer > 0)
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    }
    sockaddr_in const target =
        loopback(std::stoi(address.substr(address.find(':') + 1)));
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&target),
                  sizeof target) != 0)
    {
        ::close(descriptor);
        throw error("cannot connect to " + address);
    }
    return descriptor;
}

bool is_readable(int descriptor, std::chrono::milliseconds timeout)
{
    pollfd item{descriptor, POLLIN, 0};
    return ::poll(&item, 1, static_cast<int>(timeout.count())) > 0;
}

/** @return whether all bytes were sent. */
bool send_all(int descriptor, std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        ssize_t const size = ::send(descriptor, bytes.data() + sent,
                                    bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

std::size_t content_length(std::string header)
{
    std::transform(header.begin(), header.end(), header.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    std::string const name = "content-length:";
    std::size_t const at = header.find(name);
    return at == std::string::npos
               ? 0
               : std::stoul(header.substr(at + name.size()));
}

/** Reads until the peer closes the connection or sends nothing for @p
 *  idle_timeout, then closes it. */
std::string read_until_idle(int descriptor,
                            std::chrono::milliseconds idle_timeout)
{
    std::string answer;
    while (is_readable(descriptor, idle_timeout))
    {
        char part[4096];
        ssize_t const size = ::recv(descriptor, part, sizeof part, 0);
        if (size <= 0)
        {
            break;
        }
        answer.append(part, static_cast<std::size_t>(size));
    }
    ::close(descriptor);
    return answer;
}

/** Time without an answer after which the outcome of an order is unknown. */
constexpr auto order_timeout = 500ms;

/** Transport that sends nothing: these tests have no peers. */
class no_transport : public peer::transport
{
public:
    void send(std::string const& /*address*/, peer::message /*content*/,
              std::chrono::milliseconds /*timeout*/,
              peer::reply_hook /*on_reply*/) override
    {
    }

    void stop() override {}
};

/** Catalogs of all instances of the process, as peers send each other the
 *  bytes of documents. */
struct catalog_list
{
    std::mutex m_mutex;
    std::vector<serving::catalog> m_catalogs; ///< guarded by m_mutex
};

catalog_list& all_catalogs()
{
    static catalog_list list;
    return list;
}

/** @return bytes that stand for the catalog, with the padding after them. */
std::string add_catalog(serving::catalog catalog,
                        std::string const& padding = "")
{
    catalog_list& list = all_catalogs();
    std::lock_guard const lock(list.m_mutex);
    list.m_catalogs.push_back(std::move(catalog));
    return std::to_string(list.m_catalogs.size() - 1) + " " + padding;
}

std::optional<serving::catalog> find_catalog(std::string const& bytes)
{
    catalog_list& list = all_catalogs();
    std::lock_guard const lock(list.m_mutex);
    return list.m_catalogs.at(std::stoul(bytes));
}

std::string peer_address(int number)
{
    return "peer-" + std::to_string(number);
}

std::string value_of(boost::beast::http::fields const& fields, char const* name)
{
    auto const value = fields[name];
    return {value.data(), value.size()};
}

serving::request_description describe(entry::request_header const& header)
{
    serving::request_description request;
    std::string const target(header.target().data(), header.target().size());
    request.m_path = target.substr(0, target.find('?'));
    request.m_host = value_of(header, "Host");
    request.m_id = value_of(header, "Id");
    if (header.count("Key") != 0)
    {
        request.m_key = value_of(header, "Key");
    }
    request.m_model = model_id(value_of(header, "Model"));
    request.m_last_event = value_of(header, "Last-Event-Id");
    request.m_resumes = value_of(header, "Resumes");
    if (std::string const tokens = value_of(header, "Tokens"); !tokens.empty())
    {
        request.m_tokens = token_count(std::stoll(tokens));
    }
    std::istringstream parts(value_of(header, "Parts"));
    for (std::string part; std::getline(parts, part, ',');)
    {
        request.m_parts.push_back({part, token_count(100)});
    }
    std::string const timeout = value_of(header, "Deadline-Ms");
    if (!timeout.empty())
    {
        request.m_caller_timeout =
            std::chrono::milliseconds(std::stoi(timeout));
    }
    return request;
}

void set_upstream_fields(entry::request_header& header,
                         entry::upstream_call const& call)
{
    if (header.count("Throw") != 0)
    {
        throw error("the adapter fails");
    }
    header.erase("Key");
    header.set("Upstream", call.m_upstream.value());
    if (!call.m_last_event.empty())
    {
        header.set("Last-Event-Id", call.m_last_event);
    }
}

entry::answer_info read_answer(entry::response_header const& header)
{
    entry::answer_info info;
    info.m_request_id = value_of(header, "Id");
    info.m_sealed = header.count("Seal") != 0;
    info.m_not_run = header.count("Not-Run") != 0;
    info.m_leaving = header.count("Leaving") != 0;
    if (std::string const pause = value_of(header, "Retry-After");
        !pause.empty())
    {
        info.m_retry_after = std::chrono::milliseconds(
            static_cast<std::int64_t>(std::stod(pause) * 1000));
    }
    if (std::string const rate = value_of(header, "Rate-Limit"); !rate.empty())
    {
        info.m_rate_limit = std::stod(rate);
    }
    return info;
}

} // namespace

std::string free_address()
{
    int const descriptor = listen_on_free_port();
    int const port = port_of(descriptor);
    ::close(descriptor);
    return "127.0.0.1:" + std::to_string(port);
}

serving::catalog make_open_catalog(std::chrono::milliseconds target_latency)
{
    serving::catalog catalog;
    catalog.m_version = config_version(1);
    serving::route route;
    route.m_id = route_id("r");
    route.m_host = "h";
    route.m_prefix = "/again/";
    route.m_repeatable = true;
    route.m_open = true;
    route.m_timeout = 2000ms;
    route.m_target_latency = target_latency;
    route.m_max_upstreams = 2;
    route.m_split = {{service_id("s"), 1}};
    catalog.m_routes = {route};
    serving::service service;
    service.m_id = service_id("s");
    catalog.m_services = {service};
    return catalog;
}

serving::upstream_record make_upstream_record(std::string const& id,
                                              std::string const& address)
{
    serving::upstream_record record;
    record.m_id = upstream_id(id);
    record.m_service = service_id("s");
    record.m_address = address;
    record.m_zone = zone_id("a");
    record.m_slots = 10;
    record.m_started = 1;
    return record;
}

std::string make_chunk(std::string const& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx", bytes.size());
    return std::string(size) + "\r\n" + bytes + "\r\n";
}

served_connection::served_connection(int descriptor) : m_descriptor(descriptor)
{
}

served_connection::~served_connection()
{
    ::close(m_descriptor);
}

std::string served_connection::read_request()
{
    for (;;)
    {
        std::size_t const end = m_buffer.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            std::size_t const size =
                end + 4 + content_length(m_buffer.substr(0, end));
            if (m_buffer.size() >= size)
            {
                std::string request = m_buffer.substr(0, size);
                m_buffer.erase(0, size);
                return request;
            }
        }
        char bytes[4096];
        ssize_t const size = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (size <= 0)
        {
            return {};
        }
        m_buffer.append(bytes, static_cast<std::size_t>(size));
    }
}

bool served_connection::write(std::string const& bytes) const
{
    return send_all(m_descriptor, bytes);
}

bool served_connection::wait_for_close(std::chrono::milliseconds timeout) const
{
    char byte = 0;
    return is_readable(m_descriptor, timeout) &&
           ::recv(m_descriptor, &byte, 1, 0) <= 0;
}

void served_connection::shut_down() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

bool served_connection::read_bytes(std::size_t size) const
{
    char bytes[4096];
    while (size > 0)
    {
        ssize_t const got =
            ::recv(m_descriptor, bytes, std::min(size, sizeof bytes), 0);
        if (got <= 0)
        {
            return false;
        }
        size -= static_cast<std::size_t>(got);
    }
    return true;
}

void served_connection::end_sending() const
{
    ::shutdown(m_descriptor, SHUT_WR);
}

void served_connection::reset() const
{
    // The descriptor stays valid for a thread that ends the connection.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(m_descriptor, &none, sizeof none));
}

std::optional<entry::http_answer> call_store(std::string const& address,
                                             std::string const& body)
{
    boost::asio::io_context context;
    entry::http_caller caller(context.get_executor());
    std::optional<entry::http_answer> answer;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void>
        {
            entry::http_call call;
            call.m_address = address;
            call.m_method = body.empty() ? "GET" : "POST";
            call.m_target = "/rows";
            call.m_body = body;
            call.m_timeout = body.empty() ? 1s : 2s;
            answer = co_await caller.call(call);
        },
        boost::asio::detached);
    context.run();
    return answer;
}

stalled_caller::stalled_caller(std::string const& address,
                               std::string const& bytes)
    : m_descriptor(connect_to(address, 4096))
{
    send_all(m_descriptor, bytes);
}

stalled_caller::~stalled_caller()
{
    ::close(m_descriptor);
}

bool stalled_caller::wait_for_answer(std::chrono::milliseconds timeout) const
{
    return is_readable(m_descriptor, timeout);
}

void stalled_caller::end_sending() const
{
    ::shutdown(m_descriptor, SHUT_WR);
}

scripted_upstream::scripted_upstream(script run)
    : m_run(std::move(run)), m_listener(listen_on_free_port()),
      m_address("127.0.0.1:" + std::to_string(port_of(m_listener))),
      m_acceptor([this] { accept_loop(); })
{
}

void scripted_upstream::crash(std::chrono::milliseconds down_time)
{
    m_down_time = down_time;
    ::shutdown(m_listener, SHUT_RDWR);
    std::lock_guard const lock(m_mutex);
    for (auto const& connection : m_served)
    {
        connection->shut_down();
    }
}

scripted_upstream::~scripted_upstream()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    for (auto const& connection : m_served)
    {
        connection->shut_down();
    }
    for (std::thread& worker : m_workers)
    {
        worker.join();
    }
}

void scripted_upstream::accept_loop()
{
    for (;;)
    {
        if (m_stopping)
        {
            return;
        }
        // Not blocked in accept() when the listener is replaced at the end.
        if (!is_readable(m_listener, 50ms))
        {
            continue;
        }
        int const descriptor = ::accept(m_listener, nullptr, nullptr);
        if (descriptor < 0)
        {
            int const port =
                std::stoi(m_address.substr(m_address.find(':') + 1));
            ::close(m_listener);
            std::this_thread::sleep_for(m_down_time.load());
            while ((m_listener = try_to_listen(port)) < 0 && !m_stopping)
            {
                std::this_thread::sleep_for(10ms);
            }
            continue;
        }
        ++m_connections;
        std::lock_guard const lock(m_mutex);
        auto const connection = std::make_shared<served_connection>(descriptor);
        m_served.push_back(connection);
        m_workers.emplace_back(
            [this, connection]
            {
                m_run(*connection);
                connection->shut_down();
            });
    }
}

/** Hands messages to the hook of their receiver. Hooks only post to the thread
 *  of their instance, so they are called under the lock. */
class network_transport : public peer::transport
{
public:
    network_transport(peer_network& network, std::string address,
                      peer::message_hook on_message)
        : m_network(network), m_address(std::move(address))
    {
        std::lock_guard const lock(m_network.m_mutex);
        m_network.m_hooks[m_address] = std::move(on_message);
    }

    void send(std::string const& address, peer::message content,
              std::chrono::milliseconds /*timeout*/,
              peer::reply_hook on_reply) override
    {
        std::lock_guard const lock(m_network.m_mutex);
        auto const receiver = m_network.m_hooks.find(address);
        if (receiver == m_network.m_hooks.end() ||
            m_network.m_cut_off.contains(address) ||
            m_network.m_cut_off.contains(m_address))
        {
            on_reply(std::nullopt);
            return;
        }
        receiver->second(std::move(content),
                         [&network = m_network, from = m_address,
                          on_reply = std::move(on_reply)](peer::message reply)
                         {
                             std::lock_guard const reply_lock(network.m_mutex);
                             if (network.m_hooks.contains(from))
                             {
                                 on_reply(std::move(reply));
                             }
                         });
    }

    void stop() override
    {
        std::lock_guard const lock(m_network.m_mutex);
        m_network.m_hooks.erase(m_address);
    }

private:
    peer_network& m_network;
    std::string m_address;
};

peer::transport_factory peer_network::factory()
{
    return [this](std::string const& address, peer::message_hook on_message)
    {
        return std::make_unique<network_transport>(*this, address,
                                                   std::move(on_message));
    };
}

void peer_network::cut_off(int number)
{
    std::lock_guard const lock(m_mutex);
    m_cut_off.insert(peer_address(number));
}

running_instance::running_instance(
    serving::catalog catalog, std::vector<serving::upstream_record> upstreams,
    engine_control engines)
    : m_rules(add_catalog(std::move(catalog))),
      m_upstreams(std::move(upstreams)), m_engines(std::move(engines))
{
    m_settings.m_instance = instance_id("entry-1");
    m_settings.m_peer_address = peer_address(1);
    start([](std::string const&, peer::message_hook const&)
          { return std::make_unique<no_transport>(); });
}

running_instance::running_instance(
    serving::catalog catalog, std::vector<serving::upstream_record> upstreams,
    peer_network& network, int number, store_state store)
    : m_rules(add_catalog(std::move(catalog))), m_revision(store.m_revision),
      m_upstreams(std::move(upstreams)), m_blocks(std::move(store.m_blocks))
{
    m_settings.m_instance = instance_id("entry-" + std::to_string(number));
    m_settings.m_peer_address = peer_address(number);
    m_settings.m_seeds = {peer_address(1)};
    start(network.factory());
}

running_instance::running_instance(
    serving::catalog catalog, std::vector<serving::upstream_record> upstreams,
    peer_access peers, int number, store_state store)
    : m_rules(add_catalog(std::move(catalog))), m_revision(store.m_revision),
      m_upstreams(std::move(upstreams)), m_store_failed(!store.m_answers),
      m_blocks(std::move(store.m_blocks))
{
    m_settings.m_instance = instance_id("entry-" + std::to_string(number));
    m_settings.m_peer_address = std::move(peers.m_address);
    m_settings.m_seeds = std::move(peers.m_seeds);
    start(peers.m_make_transport);
}

void running_instance::set_rules(std::uint64_t revision,
                                 serving::catalog catalog,
                                 std::string const& padding)
{
    std::lock_guard const lock(m_mutex);
    m_revision = revision;
    m_rules = add_catalog(std::move(catalog), padding);
}

std::string running_instance::state() const
{
    int const descriptor = connect_to(m_settings.m_metrics_address);
    send_all(descriptor, "GET /state HTTP/1.1\r\nHost: x\r\n"
                         "Connection: close\r\n\r\n");
    std::string const answer = read_until_idle(descriptor, 1000ms);
    return answer.substr(std::min(answer.size(), answer.find('{')));
}

void running_instance::set_upstreams(
    std::vector<serving::upstream_record> upstreams)
{
    std::lock_guard const lock(m_mutex);
    m_upstreams = std::move(upstreams);
}

std::vector<request::blocked_part> block_store::read()
{
    std::lock_guard const lock(m_mutex);
    std::vector<request::blocked_part> parts;
    for (auto const& [digest, part] : m_parts)
    {
        parts.push_back(part);
        parts.back().m_stored = true;
    }
    return parts;
}

void block_store::write(request::blocked_part const& part)
{
    std::lock_guard const lock(m_mutex);
    m_parts[part.m_part] = part;
}

void block_store::erase(request::part_digest part)
{
    std::lock_guard const lock(m_mutex);
    m_parts.erase(part);
}

void running_instance::start(peer::transport_factory const& make_transport)
{
    m_settings.m_zone = zone_id("a");
    // Another process can take a port between its choice and its use.
    for (int tries = 5; !m_instance; --tries)
    {
        m_settings.m_caller_address = free_address();
        m_settings.m_readiness_address = free_address();
        m_settings.m_metrics_address = free_address();
        m_settings.m_tunnel_address = free_address();
        try
        {
            m_instance = std::make_unique<entry::entry_instance>(
                m_context, m_settings, make_adapter(), make_transport,
                [] { return std::optional<config::entry_settings>(); });
        }
        catch (error const&)
        {
            if (tries <= 1)
            {
                throw;
            }
        }
    }
    m_thread = std::thread([this] { m_instance->run(); });
    for (int i = 0; i < 100; ++i)
    {
        int const descriptor = connect_to(m_settings.m_readiness_address);
        send_all(descriptor, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        char bytes[64] = {};
        ssize_t const size = ::recv(descriptor, bytes, sizeof bytes, 0);
        ::close(descriptor);
        if (size > 12 && std::string(bytes, 12) == "HTTP/1.1 200")
        {
            return;
        }
        std::this_thread::sleep_for(20ms);
    }
}

running_instance::~running_instance()
{
    m_context.stop();
    m_thread.join();
}

std::string running_instance::exchange(std::string const& bytes,
                                       std::chrono::milliseconds idle_timeout)
{
    int const descriptor = connect_to(m_settings.m_caller_address);
    send_all(descriptor, bytes);
    return read_until_idle(descriptor, idle_timeout);
}

std::string
running_instance::exchange_while_busy(std::string const& bytes,
                                      std::chrono::milliseconds busy)
{
    int const descriptor = connect_to(m_settings.m_caller_address);
    std::this_thread::sleep_for(50ms);
    // Timers that end during the first half are handled after the second one,
    // before bytes that arrive in it.
    auto const be_busy = [busy]
    {
        std::this_thread::sleep_for(busy / 2);
    };
    boost::asio::post(m_context,
                      [this, be_busy]
                      {
                          be_busy();
                          boost::asio::post(m_context, be_busy);
                      });
    std::this_thread::sleep_for(busy * 3 / 4);
    send_all(descriptor, bytes);
    return read_until_idle(descriptor, 1000ms);
}

void running_instance::freeze(std::chrono::milliseconds time)
{
    boost::asio::post(m_context, [time] { std::this_thread::sleep_for(time); });
}

std::string running_instance::ask_for_tunnel(std::string const& upstream)
{
    int const descriptor = connect_to(m_settings.m_tunnel_address);
    send_all(descriptor, "CONNECT " + upstream +
                             " HTTP/1.1\r\nHost: " + upstream + "\r\n\r\n");
    return read_until_idle(descriptor, 200ms);
}

std::string running_instance::exchange_in_parts(
    std::string const& first, std::function<void()> const& between,
    std::chrono::milliseconds pause, std::string const& rest)
{
    int const descriptor = connect_to(m_settings.m_caller_address);
    send_all(descriptor, first);
    std::this_thread::sleep_for(100ms);
    between();
    std::this_thread::sleep_for(pause);
    send_all(descriptor, rest);
    return read_until_idle(descriptor, 1000ms);
}

void running_instance::send_and_close(std::string const& bytes,
                                      std::chrono::milliseconds after)
{
    int const descriptor = connect_to(m_settings.m_caller_address);
    send_all(descriptor, bytes);
    std::this_thread::sleep_for(after);
    ::close(descriptor);
}

entry::adapter running_instance::make_adapter()
{
    entry::adapter calls;
    calls.m_describe = &describe;
    calls.m_set_upstream_fields = &set_upstream_fields;
    calls.m_read_answer = &read_answer;
    calls.m_ready_path = "/ready";
    auto const read =
        [this]() -> entry::awaitable<std::optional<entry::document_read>>
    {
        if (m_store_failed)
        {
            co_return std::nullopt;
        }
        std::lock_guard const lock(m_mutex);
        entry::document_read result;
        result.m_document.m_revision = m_revision;
        result.m_document.m_bytes = m_rules;
        timespec now{};
        ::clock_gettime(CLOCK_BOOTTIME, &now);
        result.m_read_at = time_point(std::chrono::seconds(now.tv_sec) +
                                      std::chrono::nanoseconds(now.tv_nsec));
        co_return result;
    };
    calls.m_read_rules = [this, read]
    {
        ++m_rules_reads;
        return read();
    };
    calls.m_read_upstreams = read;
    calls.m_decode_rules = &find_catalog;
    calls.m_decode_upstreams = [this](std::string const&)
    {
        std::lock_guard const lock(m_mutex);
        return m_upstreams;
    };
    calls.m_read_members =
        []() -> entry::awaitable<std::optional<std::vector<serving::member>>>
    {
        co_return std::vector<serving::member>{};
    };
    calls.m_read_blocked_parts = [this]()
        -> entry::awaitable<std::optional<std::vector<request::blocked_part>>>
    {
        if (m_store_failed)
        {
            co_return std::nullopt;
        }
        co_return m_blocks->read();
    };
    calls.m_write_blocked_part =
        [this](request::blocked_part const& part) -> entry::awaitable<bool>
    {
        m_blocks->write(part);
        co_return true;
    };
    calls.m_erase_blocked_part =
        [this](request::part_digest part) -> entry::awaitable<bool>
    {
        m_blocks->erase(part);
        co_return true;
    };
    calls.m_write_member = [](serving::member const&) -> entry::awaitable<bool>
    {
        co_return true;
    };
    calls.m_read_lease =
        []() -> entry::awaitable<std::optional<serving::lease_row_state>>
    {
        co_return serving::lease_row_state{};
    };
    calls.m_write_lease = [](std::uint64_t expected, instance_id const&,
                             duration) -> entry::awaitable<entry::lease_write>
    {
        co_return entry::lease_write{entry::lease_write::status::written,
                                     expected + 1};
    };
    calls.m_read_report = [this](upstream_id const& engine, std::string const&)
        -> entry::awaitable<std::optional<entry::engine_report>>
    {
        co_return m_engines.m_report ? m_engines.m_report(engine)
                                     : std::nullopt;
    };
    calls.m_send_order = [this](entry::load_order const& order)
        -> entry::awaitable<entry::order_outcome>
    {
        entry::order_outcome const outcome = m_engines.m_order(order);
        if (outcome == entry::order_outcome::unknown)
        {
            boost::asio::steady_timer timer(m_context, order_timeout);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        co_return outcome;
    };
    return calls;
}

} // namespace daisylead::entry_test
