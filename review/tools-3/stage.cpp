/** @file Stand-ins of the platform around instances of daisylead-entry. */
#include "stage.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <sstream>

namespace stage
{

namespace
{

using namespace std::chrono_literals;

sockaddr_in parse(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}

/** @return a listening socket, or -1. */
int listen_on(std::string const& address)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in const target = parse(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&target),
               sizeof target) != 0 ||
        ::listen(descriptor, 512) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

constexpr char const* base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(std::string const& bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            group =
                group << 8U |
                (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                      : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            text += i + k > bytes.size()
                        ? '='
                        : base64_digits[group >> (18U - 6U * k) & 63U];
        }
    }
    return text;
}

std::string query_value(std::string const& target, std::string const& name)
{
    std::size_t const at = target.find(name + "=");
    if (at == std::string::npos)
    {
        return {};
    }
    std::size_t const begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

} // namespace

record::record(std::string const& file) : m_stream(file) {}

void record::line(std::string const& text)
{
    std::lock_guard const lock(m_mutex);
    m_stream << std::chrono::duration_cast<milliseconds>(clock::now() - m_began)
                    .count()
             << ' ' << text << std::endl;
}

bool with_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

std::string free_address()
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target = parse("127.0.0.1:0");
    socklen_t size = sizeof target;
    if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&target),
               sizeof target) != 0)
    {
        std::abort();
    }
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&target), &size);
    ::close(descriptor);
    return "127.0.0.1:" + std::to_string(ntohs(target.sin_port));
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string message::field(std::string const& name) const
{
    auto const found = m_fields.find(name);
    return found == m_fields.end() ? std::string() : found->second;
}

std::string message::method() const
{
    return m_start.substr(0, m_start.find(' '));
}

std::string message::target() const
{
    std::size_t const begin = m_start.find(' ') + 1;
    return m_start.substr(begin, m_start.find(' ', begin) - begin);
}

int message::status() const
{
    return m_start.size() > 12 ? std::atoi(m_start.c_str() + 9) : 0;
}

channel::~channel()
{
    ::close(m_descriptor);
}

std::shared_ptr<channel> channel::connect(std::string const& address,
                                          milliseconds timeout)
{
    int const descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto result = std::make_shared<channel>(descriptor);
    sockaddr_in const target = parse(address);
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&target),
                  sizeof target) != 0)
    {
        pollfd waiting{descriptor, POLLOUT, 0};
        int failure = 0;
        socklen_t size = sizeof failure;
        if (::poll(&waiting, 1, static_cast<int>(timeout.count())) != 1 ||
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) !=
                0 ||
            failure != 0)
        {
            return nullptr;
        }
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    int const yes = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return result;
}

bool channel::fill()
{
    char bytes[16384];
    ssize_t const size = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (size <= 0)
    {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

std::optional<std::string> channel::read_line()
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos)
    {
        if (!fill())
        {
            return std::nullopt;
        }
    }
    std::string line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

bool channel::read_bytes(std::size_t size, std::string& bytes)
{
    while (m_buffer.size() < size)
    {
        if (!fill())
        {
            return false;
        }
    }
    bytes += m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
}

std::optional<message> channel::read(bool head_only)
{
    auto start = read_line();
    if (!start)
    {
        return std::nullopt;
    }
    message result;
    result.m_start = std::move(*start);
    for (;;)
    {
        auto const line = read_line();
        if (!line)
        {
            return std::nullopt;
        }
        if (line->empty())
        {
            break;
        }
        std::size_t const colon = line->find(':');
        std::size_t const value =
            std::min(line->find_first_not_of(' ', colon + 1), line->size());
        result.m_fields[to_lower(line->substr(0, colon))] = line->substr(value);
    }
    if (head_only)
    {
        return result;
    }
    if (to_lower(result.field("transfer-encoding")) == "chunked")
    {
        for (;;)
        {
            auto const part = read_chunk();
            if (!part)
            {
                return std::nullopt;
            }
            if (part->empty())
            {
                return result;
            }
            result.m_body += *part;
        }
    }
    std::string const length = result.field("content-length");
    if (!length.empty() && !read_bytes(std::stoul(length), result.m_body))
    {
        return std::nullopt;
    }
    return result;
}

std::optional<std::string> channel::read_chunk()
{
    auto const line = read_line();
    if (!line)
    {
        return std::nullopt;
    }
    std::size_t const size = std::strtoul(line->c_str(), nullptr, 16);
    std::string bytes;
    std::string end;
    if (!read_bytes(size, bytes) || !read_bytes(2, end))
    {
        return std::nullopt;
    }
    return bytes;
}

bool channel::write(std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        ssize_t const size = ::send(m_descriptor, bytes.data() + sent,
                                    bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

void channel::set_read_timeout(milliseconds timeout) const
{
    timeval const limit{timeout.count() / 1000,
                        (timeout.count() % 1000) * 1000};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

void channel::reset()
{
    // A disconnect resets the connection and leaves the descriptor open for
    // the thread that uses it.
    sockaddr nobody{};
    nobody.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(m_descriptor, &nobody, sizeof nobody));
    ::shutdown(m_descriptor, SHUT_RDWR);
}

bool channel::has_ended() const
{
    char byte = 0;
    ssize_t const size =
        ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

listener::listener(std::string address, handler serve)
    : m_address(std::move(address)), m_serve(std::move(serve))
{
    start();
}

listener::~listener()
{
    stop();
    while (m_working > 0)
    {
        std::this_thread::sleep_for(5ms);
    }
}

void listener::start()
{
    std::lock_guard const lock(m_mutex);
    m_descriptor = listen_on(m_address);
    m_acceptor = std::thread([this, descriptor = m_descriptor]
                             { accept_loop(descriptor); });
}

void listener::stop()
{
    {
        std::lock_guard const lock(m_mutex);
        if (m_descriptor >= 0)
        {
            ::shutdown(m_descriptor, SHUT_RDWR);
        }
    }
    if (m_acceptor.joinable())
    {
        m_acceptor.join();
    }
    std::lock_guard const lock(m_mutex);
    if (m_descriptor >= 0)
    {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
    for (auto const& item : m_open)
    {
        if (auto const connection = item.lock())
        {
            connection->reset();
        }
    }
    m_open.clear();
}

void listener::accept_loop(int descriptor)
{
    for (;;)
    {
        int const accepted =
            ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
        {
            return;
        }
        int const yes = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        auto connection = std::make_shared<channel>(accepted);
        std::lock_guard const lock(m_mutex);
        std::erase_if(m_open, [](auto const& item) { return item.expired(); });
        m_open.push_back(connection);
        ++m_working;
        std::thread([this, connection = std::move(connection)]
                    { serve_one(connection); })
            .detach();
    }
}

void listener::serve_one(std::shared_ptr<channel> const& connection)
{
    m_serve(connection);
    --m_working;
}

store::store()
    : m_listener(free_address(),
                 [this](std::shared_ptr<channel> const& connection)
                 { serve(connection); })
{
}

void store::put(std::string const& table, std::string const& key,
                json const& value)
{
    std::lock_guard const lock(m_mutex);
    m_tables[table][key] = {encode_base64(value.dump()), ++m_version};
}

void store::take_copy()
{
    std::lock_guard const lock(m_mutex);
    m_copied_version = m_version;
    m_copy = m_tables;
}

void store::go_away()
{
    m_is_up = false;
    m_listener.stop();
}

void store::come_back_from_copy()
{
    {
        std::lock_guard const lock(m_mutex);
        m_version = m_copied_version;
        m_tables = m_copy;
        ++m_era;
    }
    m_is_up = true;
    m_listener.start();
}

void store::serve(std::shared_ptr<channel> const& connection)
{
    while (auto const request = connection->read())
    {
        // The time of an answer on the platform's sheet.
        std::this_thread::sleep_for(4ms);
        if (!connection->write(answer(*request)))
        {
            return;
        }
    }
}

std::string store::answer(message const& request)
{
    std::lock_guard const lock(m_mutex);
    std::string const target = request.target();
    int status = 200;
    std::string const body =
        target.starts_with("/v1/rows-get") ? rows(query_value(target, "table"))
        : target == "/v1/rows-tx"          ? transact(request.m_body, status)
                                           : "{}";
    return make_answer(status,
                       "Content-Type: application/json\r\nStore-Era: " +
                           std::to_string(m_era) + "\r\n",
                       body);
}

std::string store::rows(std::string const& table)
{
    json list = json::array();
    for (auto const& [key, item] : m_tables[table])
    {
        list.push_back({{"table", table},
                        {"part", ""},
                        {"key", key},
                        {"value", item.m_value},
                        {"rowVersion", item.m_version}});
    }
    return json{{"rows", list},
                {"hasMore", false},
                {"rowVersion", m_version},
                {"nowMs", std::chrono::duration_cast<milliseconds>(
                              clock::now() - m_began)
                              .count()}}
        .dump();
}

std::string store::transact(std::string const& body, int& status)
{
    json const change = json::parse(body);
    for (json const& item : change.at("precondition"))
    {
        auto& rows = m_tables[item.at("table")];
        auto const found = rows.find(item.at("key"));
        std::uint64_t const version =
            found == rows.end() ? 0 : found->second.m_version;
        if (version != item.at("rowVersion").get<std::uint64_t>())
        {
            status = 412;
        }
    }
    if (status == 200)
    {
        ++m_version;
        for (json const& item : change.at("puts"))
        {
            m_tables[item.at("table")][item.at("key")] = {item.at("value"),
                                                          m_version};
        }
        for (json const& item : change.at("deletes"))
        {
            m_tables[item.at("table")].erase(item.at("key"));
        }
    }
    return json{{"rows", json::array()},
                {"rowVersion", m_version},
                {"nowMs", std::chrono::duration_cast<milliseconds>(
                              clock::now() - m_began)
                              .count()}}
        .dump();
}

instance::instance(std::string name, std::string const& store_address,
                   std::vector<std::string> const& seeds,
                   std::string const& folder, std::string const& root)
    : m_name(std::move(name)), m_folder(folder), m_root(root)
{
    json const seed_list = seeds;
    // The settings that the deploy file's template gives on a small machine.
    std::ofstream(m_folder + "/" + m_name + ".toml")
        << "[instance]\nid = \"" << m_name
        << "\"\nzone = \"a\"\nregion = \"r\"\nsize = \"0.17\"\n"
        << "[listen]\ncaller = \"" << m_caller << "\"\nreadiness = \""
        << m_readiness << "\"\npeer = \"" << m_peer << "\"\nmetrics = \""
        << free_address() << "\"\ntunnel = \"" << free_address()
        << "\"\n[store]\naddress = \"" << store_address
        << "\"\n[peers]\nseeds = " << seed_list.dump()
        << "\n[limits]\nmemory_mb = \"96\"\ndescriptors = \"2870\"\n"
        << "[bounds]\nkey_validity_ms = \"5000\"\nconfiguration_apply_ms = "
           "\"2000\"\norder_handover_ms = \"3000\"\nweights_max_age_ms = "
           "\"8000\"\nretry_ratio = \"0.2\"\nretry_extra = \"122\"\n"
           "retry_window_s = \"10\"\ngrace_s = \"8\"\n";
}

instance::~instance()
{
    if (m_process > 0)
    {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void instance::start()
{
    std::string const settings = m_folder + "/" + m_name + ".toml";
    std::string const log = m_folder + "/" + m_name + ".log";
    m_process = ::fork();
    if (m_process == 0)
    {
        // It must not outlive the case.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const output =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("DAISYLEAD_CONFIG", settings.c_str(), 1);
        if (::chdir(m_root.c_str()) == 0)
        {
            ::execl("target/daisylead-entry", "target/daisylead-entry",
                    static_cast<char*>(nullptr));
        }
        ::_exit(127);
    }
}

void instance::signal(int number) const
{
    ::kill(m_process, number);
}

bool instance::wait_until_ready(milliseconds timeout) const
{
    auto const until = clock::now() + timeout;
    while (clock::now() < until)
    {
        auto const answer = fetch(
            m_readiness, "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n", 500ms);
        if (answer && answer->status() == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

bool instance::has_ended()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
    {
        m_process = -1;
    }
    return m_process <= 0;
}

std::optional<message> fetch(std::string const& address,
                             std::string const& request, milliseconds timeout)
{
    auto const connection = channel::connect(address, timeout);
    if (!connection)
    {
        return std::nullopt;
    }
    connection->set_read_timeout(timeout);
    return connection->write(request) ? connection->read() : std::nullopt;
}

std::string make_answer(int status, std::string const& fields,
                        std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string make_chunk(std::string const& bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

} // namespace stage
