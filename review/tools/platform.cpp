/** @file Stand-in for the platform: its store, and the start of instances. */
#include "platform.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review
{

namespace
{

using nlohmann::json;

constexpr char const* lease_table = "daisylead-leases";

std::string encode_base64(std::string const& bytes)
{
    constexpr char const* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
                                   "qrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        std::uint32_t group = 0;
        std::size_t const size = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t i = 0; i < 3; ++i)
        {
            group = (group << 8U) |
                    (i < size ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i)
        {
            text += i <= size ? digits[(group >> (18U - 6U * i)) & 63U] : '=';
        }
    }
    return text;
}

std::string decode_base64(std::string const& text)
{
    std::array<int, 256> values{};
    values.fill(-1);
    std::string const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
                               "qrstuvwxyz0123456789+/";
    for (std::size_t i = 0; i < digits.size(); ++i)
    {
        values[static_cast<unsigned char>(digits[i])] = static_cast<int>(i);
    }
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (unsigned char const c : text)
    {
        if (values[c] < 0)
        {
            break;
        }
        group = (group << 6U) | static_cast<std::uint32_t>(values[c]);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            bytes += static_cast<char>((group >> bits) & 255U);
        }
    }
    return bytes;
}

std::string unescape(std::string const& text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            plain += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        }
        else
        {
            plain += text[i];
        }
    }
    return plain;
}

/** @return value of a parameter of a query, or empty */
std::string parameter(std::string const& target, std::string const& name)
{
    std::stringstream query(target.substr(target.find('?') + 1));
    for (std::string item; std::getline(query, item, '&');)
    {
        if (item.starts_with(name + "="))
        {
            return unescape(item.substr(name.size() + 1));
        }
    }
    return {};
}

} // namespace

record::record(std::string const& file) : m_file(file)
{
    if (!m_file)
    {
        throw std::runtime_error("cannot write " + file);
    }
}

void record::add(std::string const& line)
{
    auto const ms =
        std::chrono::duration_cast<milliseconds>(clock::now() - m_began);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ",
                  static_cast<double>(ms.count()) / 1000);
    std::lock_guard const lock(m_mutex);
    m_file << time << line << std::endl;
}

store::store(record& log)
    : m_log(log), m_server([this](connection& caller) { serve(caller); })
{
}

std::int64_t store::now_ms() const
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - m_began)
               .count() +
           50000;
}

void store::put(std::string const& table, std::string const& key,
                json const& value)
{
    std::lock_guard const lock(m_mutex);
    m_rows[{table, key}] = {encode_base64(value.dump()), ++m_version};
}

void store::erase(std::string const& table, std::string const& key)
{
    std::lock_guard const lock(m_mutex);
    ++m_version;
    m_rows.erase({table, key});
}

void store::keep_copy()
{
    std::lock_guard const lock(m_mutex);
    m_copy = m_rows;
    m_copied = m_version;
}

void store::come_back()
{
    std::lock_guard const lock(m_mutex);
    std::map<row_key, row> const newest = std::exchange(m_rows, m_copy);
    m_version = m_copied;
    for (auto const& [key, item] : newest)
    {
        bool const is_others = key.first == "op" || key.first == "servers";
        auto const found = m_rows.find(key);
        if (is_others &&
            (found == m_rows.end() || found->second.m_value != item.m_value))
        {
            m_rows[key] = {item.m_value, ++m_version};
        }
    }
    ++m_era;
    m_away = false;
}

std::string store::fields()
{
    return "Content-Type: application/json\r\nStore-Era: " +
           std::to_string(m_era) + "\r\n";
}

std::string store::lease_holder()
{
    std::lock_guard const lock(m_mutex);
    return m_lease_holder;
}

void store::serve(connection& caller)
{
    message request;
    while (caller.read_request(request) == end_kind::complete)
    {
        std::string answer;
        if (m_away)
        {
            return;
        }
        if (request.target().starts_with("/v1/rows-get"))
        {
            answer = make_answer(200, fields(), read_rows(request.target()));
        }
        else if (request.target() == "/v1/rows-tx")
        {
            ++m_pending_writes;
            answer = transact(request.m_body);
            std::this_thread::sleep_for(milliseconds(m_write_delay));
            --m_pending_writes;
        }
        else
        {
            answer = make_answer(404, fields(), "");
        }
        if (!caller.write(answer))
        {
            break;
        }
    }
}

std::string store::read_rows(std::string const& target)
{
    std::string const table = parameter(target, "table");
    std::string const from = parameter(target, "from");
    std::lock_guard const lock(m_mutex);
    json rows = json::array();
    for (auto const& [key, item] : m_rows)
    {
        if (key.first == table && key.second >= from)
        {
            rows.push_back({{"table", table},
                            {"part", ""},
                            {"key", key.second},
                            {"value", item.m_value},
                            {"rowVersion", item.m_version}});
        }
    }
    return json{{"rows", std::move(rows)},
                {"hasMore", false},
                {"rowVersion", m_version},
                {"nowMs", now_ms()}}
        .dump();
}

std::string store::transact(std::string const& body)
{
    json const call = json::parse(body);
    std::lock_guard const lock(m_mutex);
    bool holds = true;
    json current = json::array();
    for (json const& condition : call.at("precondition"))
    {
        row_key const key{condition.at("table"), condition.at("key")};
        auto const found = m_rows.find(key);
        std::uint64_t const version =
            found == m_rows.end() ? 0 : found->second.m_version;
        holds = holds && version == condition.at("rowVersion");
        if (found != m_rows.end())
        {
            current.push_back({{"table", key.first},
                               {"part", ""},
                               {"key", key.second},
                               {"value", found->second.m_value},
                               {"rowVersion", version}});
        }
    }
    json answer = {{"rowVersion", m_version}, {"nowMs", now_ms()}};
    if (holds)
    {
        ++m_version;
        answer["rowVersion"] = m_version;
    }
    else
    {
        answer["rows"] = current;
    }
    for (json const& put : call.at("puts"))
    {
        row_key const key{put.at("table"), put.at("key")};
        if (holds)
        {
            m_rows[key] = {put.at("value"), m_version};
        }
        if (key.first == lease_table)
        {
            json const value = json::parse(decode_base64(put.at("value")));
            m_log.add("store: lease row " + value.dump() +
                      (holds ? " written" : " refused, the row has changed"));
            m_lease_holder = holds ? value.value("holder", "") : m_lease_holder;
            ++m_lease_writes;
        }
    }
    for (json const& item : call.at("deletes"))
    {
        if (holds)
        {
            m_rows.erase({item.at("table"), item.at("key")});
        }
    }
    return make_answer(holds ? 200 : 412, fields(), answer.dump());
}

instance::instance(std::string name, std::string zone, int store_port,
                   sheet const& bounds, std::string const& folder)
    : m_name(std::move(name)), m_zone(std::move(zone)),
      m_store_port(store_port), m_bounds(bounds), m_folder(folder),
      m_caller_port(free_port()), m_ready_port(free_port()),
      m_peer_port(free_port()), m_metrics_port(free_port()),
      m_tunnel_port(free_port())
{
}

instance::~instance()
{
    kill();
}

std::string instance::peer_address() const
{
    return "127.0.0.1:" + std::to_string(m_peer_port);
}

void instance::start(std::vector<std::string> const& seeds)
{
    auto const address = [](int port)
    {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::string const settings = m_folder + "/" + m_name + ".toml";
    std::ofstream file(settings);
    file << "[instance]\nid = \"" << m_name << "\"\nzone = \"" << m_zone
         << "\"\nregion = \"ulaanbaatar\"\nsize = \"0.17\"\n\n[listen]\n"
         << "caller = " << address(m_caller_port)
         << "readiness = " << address(m_ready_port)
         << "peer = " << address(m_peer_port)
         << "metrics = " << address(m_metrics_port)
         << "tunnel = " << address(m_tunnel_port)
         << "\n[store]\naddress = " << address(m_store_port)
         << "\n[peers]\nseeds = [";
    for (std::string const& seed : seeds)
    {
        file << "\"" << seed << "\", ";
    }
    file << "]\n\n[bounds]\nkey_validity_ms = \"" << m_bounds.m_revoke_ms
         << "\"\norder_handover_ms = \"" << m_bounds.m_lease_ms
         << "\"\nweights_max_age_ms = \"" << m_bounds.m_version_ms
         << "\"\nretry_ratio = \"" << m_bounds.m_retry_ratio
         << "\"\nretry_extra = \"" << m_bounds.m_retry_extra
         << "\"\nretry_window_s = \"" << m_bounds.m_retry_window_s
         << "\"\ngrace_s = \"" << m_bounds.m_grace_s << "\"\n";
    file.close();
    std::string const variable = "DAISYLEAD_CONFIG=" + settings;
    std::vector<std::string> environment{variable};
    for (char const* name : {"PATH", "HOME", "LANG"})
    {
        if (char const* const value = std::getenv(name))
        {
            environment.push_back(std::string(name) + "=" + value);
        }
    }
    std::vector<char*> pointers;
    pointers.reserve(environment.size() + 1);
    for (std::string& item : environment)
    {
        pointers.push_back(item.data());
    }
    pointers.push_back(nullptr);
    std::string program = "target/daisylead-entry";
    std::array<char*, 2> arguments{program.data(), nullptr};
    std::string const output = m_folder + "/" + m_name + ".log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, 1, output.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t process = -1;
    int const failed =
        ::posix_spawn(&process, program.c_str(), &actions, nullptr,
                      arguments.data(), pointers.data());
    ::posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        throw std::runtime_error("cannot start " + program);
    }
    m_process = process;
}

void instance::signal(int number) const
{
    if (m_process > 0)
    {
        ::kill(m_process, number);
    }
}

bool instance::has_ended()
{
    pid_t const process = m_process;
    if (process > 0 && ::waitpid(process, nullptr, WNOHANG) == process)
    {
        m_process = -1;
    }
    return m_process <= 0;
}

void instance::kill()
{
    pid_t const process = m_process.exchange(-1);
    if (process > 0)
    {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
}

std::size_t instance::memory() const
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool instance::is_ready() const
{
    auto const caller = connection::open(m_ready_port);
    message answer;
    return caller &&
           caller->write("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n"
                         "Connection: close\r\n\r\n") &&
           caller->read_answer(answer, milliseconds(1000)) ==
               end_kind::complete &&
           answer.status() == 200;
}

temporary_folder::temporary_folder()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error("cannot make a temporary folder");
    }
    m_path = name;
}

temporary_folder::~temporary_folder()
{
    if (std::getenv("REVIEW_KEEP") != nullptr)
    {
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

bool has_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

bool wait_until(std::function<bool()> const& condition, milliseconds timeout)
{
    clock::time_point const until = clock::now() + timeout;
    while (!condition())
    {
        if (clock::now() >= until)
        {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

json make_route(std::string const& name, std::string const& prefix,
                std::string const& type, std::string const& service,
                int timeout_ms, int target_ms, int attempts)
{
    bool const is_stream = type == "streaming";
    return {{"name", name},
            {"host", "shop.example"},
            {"prefix", prefix},
            {"routeType", type},
            {"timeoutMs", timeout_ms},
            {"targetLatencyMs", target_ms},
            {"priority", 1},
            {"service", service},
            {"attempts", attempts},
            {"public", true},
            {"sticky", is_stream},
            {"resumable", false},
            {"gapTargetMs", 300}};
}

json make_server_row(std::string const& service, std::string const& address,
                     int slots, std::int64_t born)
{
    return {{"service", service},   {"address", address}, {"zone", "ub-north"},
            {"version", "v1"},      {"slots", slots},     {"state", "ready"},
            {"coldRemainingMs", 0}, {"sequence", 0},      {"born", born}};
}

} // namespace review
