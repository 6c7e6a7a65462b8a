/** @file Stand-ins for the platform's store, servers and clients. */
#include "stand_in.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/evp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::string_view line_end = "\r\n";

/** Time for which a server keeps an idle connection. */
constexpr milliseconds idle_time = 30s;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string trim(std::string const& text)
{
    std::size_t const begin = text.find_first_not_of(" \t");
    return begin == std::string::npos
               ? std::string()
               : text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

/** @return value of a parameter of a target, or empty. */
std::string parameter(std::string const& target, std::string const& name)
{
    for (char const mark : {'?', '&'})
    {
        std::size_t const at = target.find(mark + name + "=");
        if (at != std::string::npos)
        {
            std::size_t const begin = at + name.size() + 2;
            return target.substr(begin, target.find('&', begin) - begin);
        }
    }
    return {};
}

std::string decode_base64(std::string const& text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    int const size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    auto const padding = std::count(text.begin(), text.end(), '=');
    bytes.resize(static_cast<std::size_t>(std::max(0, size)) -
                 static_cast<std::size_t>(padding));
    return bytes;
}

std::string render(int status, json const& body)
{
    std::string const text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
}

} // namespace

bool field_order::operator()(std::string const& a, std::string const& b) const
{
    return strcasecmp(a.c_str(), b.c_str()) < 0;
}

std::string http_message::field(std::string const& name) const
{
    auto const found = m_fields.find(name);
    return found == m_fields.end() ? std::string() : found->second;
}

std::string http_message::target() const
{
    std::size_t const begin = m_start.find(' ') + 1;
    return m_start.substr(begin, m_start.find(' ', begin) - begin);
}

int http_message::status() const
{
    int status = 0;
    std::size_t const begin = m_start.find(' ') + 1;
    std::from_chars(m_start.data() + begin, m_start.data() + m_start.size(),
                    status);
    return status;
}

connection::~connection()
{
    ::close(m_handle);
}

std::unique_ptr<connection> connection::open(std::uint16_t port)
{
    int const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const address = loopback(port);
    auto made = std::make_unique<connection>(handle);
    if (::connect(handle, reinterpret_cast<sockaddr const*>(&address),
                  sizeof address) != 0)
    {
        return nullptr;
    }
    int const on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty())
    {
        ssize_t const size =
            ::send(m_handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

bool connection::fill(steady::time_point deadline)
{
    auto const left =
        std::chrono::duration_cast<milliseconds>(deadline - steady::now());
    pollfd wait{m_handle, POLLIN, 0};
    if (left <= 0ms ||
        ::poll(&wait, 1, static_cast<int>(std::max(left, 1ms).count())) <= 0)
    {
        return false;
    }
    char bytes[16384];
    ssize_t const size = ::recv(m_handle, bytes, sizeof bytes, 0);
    if (size <= 0)
    {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

std::optional<http_message> connection::read_header(steady::time_point deadline)
{
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!fill(deadline))
        {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n\r\n");
    }
    http_message message;
    std::istringstream lines(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 2 * line_end.size());
    std::string line;
    std::getline(lines, line);
    message.m_start = line.substr(0, line.find('\r'));
    while (std::getline(lines, line))
    {
        std::size_t const colon = line.find(':');
        if (colon != std::string::npos)
        {
            message.m_fields[line.substr(0, colon)] =
                trim(line.substr(colon + 1, line.find('\r') - colon - 1));
        }
    }
    return message;
}

bool connection::read_chunks(std::string& body, steady::time_point deadline)
{
    for (;;)
    {
        std::size_t end = m_buffer.find(line_end);
        while (end == std::string::npos)
        {
            if (!fill(deadline))
            {
                return false;
            }
            end = m_buffer.find(line_end);
        }
        std::size_t size = 0;
        std::from_chars(m_buffer.data(), m_buffer.data() + end, size, 16);
        std::size_t const whole = end + size + 2 * line_end.size();
        while (m_buffer.size() < whole)
        {
            if (!fill(deadline))
            {
                body += m_buffer.substr(
                    std::min(m_buffer.size(), end + line_end.size()));
                return false;
            }
        }
        body += m_buffer.substr(end + line_end.size(), size);
        m_buffer.erase(0, whole);
        if (size == 0)
        {
            return true;
        }
    }
}

std::optional<http_message> connection::read(steady::time_point deadline)
{
    std::optional<http_message> message = read_header(deadline);
    if (!message)
    {
        return std::nullopt;
    }
    if (strcasecmp(message->field("Transfer-Encoding").c_str(), "chunked") == 0)
    {
        if (!read_chunks(message->m_body, deadline))
        {
            message->m_fields["Incomplete"] = "1";
        }
        return message;
    }
    std::string const length = message->field("Content-Length");
    std::size_t size = 0;
    std::from_chars(length.data(), length.data() + length.size(), size);
    while (m_buffer.size() < size)
    {
        if (!fill(deadline))
        {
            message->m_fields["Incomplete"] = "1";
            break;
        }
    }
    message->m_body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return message;
}

std::string connection::read_some(steady::time_point deadline)
{
    if (m_buffer.empty() && !fill(deadline))
    {
        return {};
    }
    return std::exchange(m_buffer, {});
}

void connection::shut_down() const
{
    ::shutdown(m_handle, SHUT_RDWR);
}

void connection::end_output() const
{
    ::shutdown(m_handle, SHUT_WR);
}

void connection::reset_on_close() const
{
    linger const at_once{1, 0};
    ::setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

server::server(std::function<void(connection&)> serve, std::uint16_t port)
    : m_serve(std::move(serve)), m_port(port)
{
    listen_on_port();
}

server::~server()
{
    crash();
    while (m_state->m_threads > 0)
    {
        std::this_thread::sleep_for(5ms);
    }
}

void server::listen_on_port()
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(m_port);
    if (::bind(m_listener, reinterpret_cast<sockaddr const*>(&address),
               sizeof address) != 0 ||
        ::listen(m_listener, 1024) != 0)
    {
        throw std::runtime_error("cannot listen");
    }
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_running = true;
    m_thread =
        std::thread([this, handle = m_listener] { accept_loop(handle); });
}

void server::accept_loop(int handle)
{
    while (m_running)
    {
        int const peer = ::accept4(handle, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0)
        {
            continue;
        }
        int const on = 1;
        ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++m_state->m_threads;
        std::thread(
            [serve = m_serve, state = m_state, peer]
            {
                {
                    connection link(peer);
                    {
                        std::lock_guard const lock(state->m_mutex);
                        state->m_open.insert(&link);
                    }
                    serve(link);
                    std::lock_guard const lock(state->m_mutex);
                    state->m_open.erase(&link);
                }
                --state->m_threads;
            })
            .detach();
    }
}

void server::crash()
{
    if (!m_running)
    {
        return;
    }
    m_running = false;
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
    std::lock_guard const lock(m_state->m_mutex);
    for (connection* const link : m_state->m_open)
    {
        link->shut_down();
    }
}

void server::restart()
{
    listen_on_port();
}

store::store() : m_server([this](connection& peer) { serve(peer, {}); }) {}

std::string store::add_view(std::map<std::string, std::string> addresses)
{
    m_views.push_back(std::make_unique<server>(
        [this, addresses = std::move(addresses)](connection& peer)
        { serve(peer, addresses); }));
    return m_views.back()->address();
}

std::int64_t store::now_ms() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_started)
               .count() +
           1000;
}

void store::put(std::string const& table, std::string const& key,
                json const& value)
{
    std::lock_guard const lock(m_mutex);
    m_tables[table][key] = {value.dump(), ++m_version};
}

void store::erase(std::string const& table, std::string const& key)
{
    std::lock_guard const lock(m_mutex);
    m_tables[table].erase(key);
    ++m_version;
}

void store::serve(connection& peer, address_map const& addresses)
{
    while (auto const request = peer.read(steady::now() + idle_time))
    {
        std::this_thread::sleep_for(4ms);
        std::pair<int, json> answer{404, json::object()};
        if (request->target().starts_with("/v1/rows-get"))
        {
            answer = {200, get_rows(request->target(), addresses)};
        }
        else if (request->target() == "/v1/rows-tx")
        {
            answer = transact(json::parse(request->m_body, nullptr, false));
        }
        if (!peer.write(render(answer.first, answer.second)))
        {
            return;
        }
    }
}

json store::get_rows(std::string const& target, address_map const& addresses)
{
    std::lock_guard const lock(m_mutex);
    std::string const table = parameter(target, "table");
    json rows = json::array();
    for (auto const& [key, item] : m_tables[table])
    {
        std::string value = item.m_value;
        for (auto const& [written, read] : addresses)
        {
            std::size_t const at = value.find('"' + written + '"');
            if (at != std::string::npos)
            {
                value.replace(at + 1, written.size(), read);
            }
        }
        rows.push_back({{"table", table},
                        {"part", ""},
                        {"key", key},
                        {"value", encode_base64(value)},
                        {"rowVersion", item.m_version}});
    }
    return {{"rows", std::move(rows)},
            {"hasMore", false},
            {"rowVersion", m_version},
            {"nowMs", now_ms()}};
}

std::pair<int, json> store::transact(json const& body)
{
    std::lock_guard const lock(m_mutex);
    if (!body.is_object())
    {
        return {400, json::object()};
    }
    json current = json::array();
    bool holds = true;
    for (json const& item : body.value("precondition", json::array()))
    {
        std::string const table = item.at("table");
        std::string const key = item.at("key");
        auto const& rows = m_tables[table];
        auto const found = rows.find(key);
        std::uint64_t const version =
            found == rows.end() ? 0 : found->second.m_version;
        holds = holds && item.at("rowVersion") == version;
        if (found != rows.end())
        {
            current.push_back({{"table", table},
                               {"part", ""},
                               {"key", key},
                               {"value", encode_base64(found->second.m_value)},
                               {"rowVersion", version}});
        }
    }
    if (!holds)
    {
        return {412, {{"rows", std::move(current)}, {"nowMs", now_ms()}}};
    }
    ++m_version;
    for (json const& item : body.value("puts", json::array()))
    {
        m_tables[item.at("table")][item.at("key")] = {
            decode_base64(item.at("value")), m_version};
    }
    for (json const& item : body.value("deletes", json::array()))
    {
        m_tables[item.at("table")].erase(item.at("key").get<std::string>());
    }
    return {200, {{"rowVersion", m_version}, {"nowMs", now_ms()}}};
}

proxy::proxy(std::uint16_t target)
    : m_server(
          [target](connection& peer)
          {
              auto const far = connection::open(target);
              if (!far)
              {
                  return;
              }
              std::thread answers(
                  [&]
                  {
                      std::string bytes;
                      do
                      {
                          bytes = far->read_some(steady::now() + idle_time);
                      } while (!bytes.empty() && peer.write(bytes));
                      peer.end_output();
                  });
              std::string bytes;
              do
              {
                  bytes = peer.read_some(steady::now() + idle_time);
              } while (!bytes.empty() && far->write(bytes));
              far->shut_down();
              answers.join();
          })
{
}

record_file::record_file(std::string const& name) : m_stream(name) {}

void record_file::line(std::string const& text)
{
    auto const ms =
        std::chrono::duration_cast<milliseconds>(steady::now() - m_started)
            .count();
    std::lock_guard const lock(m_mutex);
    m_stream << ms << " ms " << text << std::endl;
}

entry_process::entry_process(std::string store_address, int memory_mb,
                             int number)
    : m_store(std::move(store_address)), m_memory_mb(memory_mb),
      m_number(number), m_caller(free_port()), m_ready(free_port()),
      m_peer(free_port()), m_metrics(free_port()), m_tunnel(free_port())
{
    char folder[] = "/tmp/daisylead-review-XXXXXX";
    if (::mkdtemp(folder) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = folder;
}

entry_process::~entry_process()
{
    kill();
    if (std::getenv("KEEP") == nullptr)
    {
        std::filesystem::remove_all(m_folder);
    }
}

void entry_process::start()
{
    auto const at = [](std::uint16_t port)
    {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::string const settings = m_folder + "/settings.toml";
    // The keys of deploy/entry.toml.template with the bounds of the site.
    std::ofstream(settings)
        << "[instance]\nid = \"external-" << m_number
        << "\"\nzone = \"ub-north\"\nregion = \"ulaanbaatar\"\nsize = "
           "\"0.17\"\n"
        << "[listen]\ncaller = " << at(m_caller)
        << "readiness = " << at(m_ready) << "peer = " << at(m_peer)
        << "metrics = " << at(m_metrics) << "tunnel = " << at(m_tunnel)
        << "[store]\naddress = \"" << m_store << "\"\n[peers]\nseeds = ["
        << "\"127.0.0.1:" << m_peer << "\"]\n"
        << "[limits]\nmemory_mb = \"" << m_memory_mb
        << "\"\ndescriptors = \"2870\"\n[bounds]\nkey_validity_ms = \"5000\"\n"
        << "order_handover_ms = \"3000\"\nweights_max_age_ms = \"8000\"\n"
        << "retry_ratio = \"0.2\"\nretry_extra = \"122\"\n"
        << "retry_window_s = \"10\"\ngrace_s = \"8\"\n";
    std::string const log = m_folder + "/log";
    m_process = ::fork();
    if (m_process != 0)
    {
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const output =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    (void)::dup2(output, 1);
    (void)::dup2(output, 2);
    ::setenv("DAISYLEAD_CONFIG", settings.c_str(), 1);
    ::execl("target/daisylead-entry", "daisylead-entry", nullptr);
    ::_exit(127);
}

void entry_process::kill()
{
    if (m_process > 0)
    {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = -1;
    }
}

bool entry_process::wait_until_ready(milliseconds timeout) const
{
    auto const deadline = steady::now() + timeout;
    while (steady::now() < deadline)
    {
        auto const link = connection::open(m_ready);
        if (link && link->write("GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n"))
        {
            auto const answer = link->read(steady::now() + 1s);
            if (answer && answer->status() == 200)
            {
                return true;
            }
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

bool entry_process::is_alive()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
    {
        m_process = -1;
    }
    return m_process > 0;
}

double entry_process::memory_mb(std::string const& name) const
{
    std::ifstream stream("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(stream, line);)
    {
        if (line.starts_with(name + ":"))
        {
            return std::strtod(line.c_str() + name.size() + 1, nullptr) / 1024;
        }
    }
    return 0;
}

std::string const tenant_key = "wu3fexd9dnn2ctnfzs98";

json make_configuration(json const& route, json const& service)
{
    json const tenant = {{"name", "t0"},           {"apiKeys", {tenant_key}},
                         {"priority", 0},          {"unit", "tokens"},
                         {"uncachedTokens", 200},  {"isolated", false},
                         {"ratePerS", 10'000'000}, {"burst", 10'000'000}};
    return {{"version", 7},
            {"routes", json::array({route})},
            {"services", json::array({service})},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants", json::array({tenant})}};
}

json make_engine_service(std::string const& name)
{
    json service = make_plain_service(name);
    service["maxConnections"] = 654;
    service["engine"] = {{"slots", 48},
                         {"kvCapacity", 106776},
                         {"kvBytes", 163840},
                         {"linkMbps", 550000.0},
                         {"models", json::array({{{"name", "m0"}}})}};
    return service;
}

json make_plain_service(std::string const& name)
{
    return {{"name", name},
            {"healthPath", "/healthz"},
            {"maxConnections", 232},
            {"protocol", "h1"},
            {"tls", false}};
}

json make_engine_row(std::string const& service, std::string const& address,
                     std::string const& software, std::int64_t born)
{
    json row = make_plain_row(service, address);
    row["version"] = software;
    row["slots"] = 48;
    row["stage"] = "unified";
    row["models"] = json::array(
        {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}});
    row["born"] = born;
    return row;
}

json make_plain_row(std::string const& service, std::string const& address)
{
    return {{"service", service},   {"address", address}, {"zone", "ub-north"},
            {"version", "v1"},      {"slots", 6},         {"state", "ready"},
            {"coldRemainingMs", 0}, {"sequence", 0},      {"born", unix_ms()}};
}

std::string make_chunk(std::string const& text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string make_event(int id, std::string const& data)
{
    std::string event = "id: " + std::to_string(id);
    event += "\ndata: ";
    event += data;
    event += "\n\n";
    return make_chunk(event);
}

std::string make_stream_header(std::string const& attempt)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
           "\r\nX-Server-Seal: s." + attempt +
           "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string make_answer(std::string const& attempt, std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
           "\r\nX-Server-Seal: s." + attempt +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string run_line(std::string const& id, std::string const& attempt,
                     std::string const& last_event)
{
    return id + " runs " + attempt +
           (last_event.empty() ? std::string() : " after event " + last_event);
}

std::string attempt_id(int number)
{
    char text[24];
    std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number));
    return text;
}

bool is_calm()
{
    char const* const value = std::getenv("TROUBLE");
    return value != nullptr && std::string_view(value) == "0";
}

std::uint16_t free_port()
{
    int const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    (void)::bind(handle, reinterpret_cast<sockaddr const*>(&address),
                 sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(handle);
    return ntohs(address.sin_port);
}

std::string encode_base64(std::string const& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace review
