/** @file Tests of a real process under callers that send nearly all of a
 * request and stay connected. Each runs apart from other load. */
#include "child_process_base.hpp"
#include "http_call_base.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>

using namespace daisylead;
using namespace daisylead::process_test;

namespace
{

using namespace std::chrono_literals;

/** Memory of the machine in the settings of the process, MB. */
constexpr int memory_mb = 40;

/** Descriptors of the machine in the settings of the process. */
constexpr std::size_t max_descriptors = 64;

constexpr std::size_t crowd_size = 16;

/** Size of the largest permitted body, bytes. */
constexpr std::size_t max_body = 4'194'304;

/** The crowd stops sending when the process has taken no byte for this long. */
constexpr milliseconds patience = 2s;

/** One instance; its store is away. */
class small_instance
{
public:
    /** @param machine_mb memory of the machine in the settings
     *  @param bound_mb bound on the memory of the process */
    explicit small_instance(int machine_mb = memory_mb,
                            int bound_mb = memory_mb)
        : m_bound_mb(bound_mb)
    {
        std::ofstream(settings_file())
            << "[instance]\nid = \"entry-1\"\nzone = \"a\"\nregion = \"r\"\n"
            << "[listen]\ncaller = \"" << m_caller << "\"\nreadiness = \""
            << free_address() << "\"\npeer = \"" << free_address()
            << "\"\nmetrics = \"" << m_metrics << "\"\n[store]\naddress = \""
            << free_address() << "\"\n[limits]\nmemory_mb = " << machine_mb
            << "\ndescriptors = " << max_descriptors << "\n";
        m_process = std::make_unique<child_process>(
            std::vector<std::string>{std::string(BUILD_DIR) +
                                         "/daisylead-entry",
                                     "--settings", settings_file()},
            m_folder.file("log"));
        REQUIRE(eventually(
            10s,
            [this] { return has_status(fetch(m_metrics, "/metrics"), 200); }));
    }

    std::string const& caller() const
    {
        return m_caller;
    }

    /** Checks what must hold while the crowd is connected, after the process
     *  has read what it takes. */
    void check_alive()
    {
        wait_until_settled();
        CHECK_FALSE(m_process->wait(0ms));
        CHECK(peak_memory_mb() < m_bound_mb);
        CHECK(open_descriptors() <= max_descriptors);
        http::client_response const answer = fetch(m_caller, "/");
        // Without a store there is no configuration.
        CHECK(has_status(answer, 503));
        CHECK(answer.m_body.find("no_configuration") != std::string::npos);
    }

    std::size_t open_descriptors() const
    {
        std::filesystem::directory_iterator const entries(
            "/proc/" + std::to_string(m_process->id()) + "/fd");
        return static_cast<std::size_t>(
            std::distance(begin(entries), end(entries)));
    }

private:
    std::string settings_file() const
    {
        return m_folder.file("settings.toml");
    }

    double peak_memory_mb() const
    {
        return memory_mb_of("VmHWM:");
    }

    void wait_until_settled() const
    {
        double last = -1;
        for (int steady = 0, tries = 0; steady < 10 && tries < 200; ++tries)
        {
            double const now = memory_mb_of("VmRSS:");
            steady = now == last ? steady + 1 : 0;
            last = now;
            std::this_thread::sleep_for(100ms);
        }
    }

    double memory_mb_of(std::string const& field) const
    {
        std::ifstream stream("/proc/" + std::to_string(m_process->id()) +
                             "/status");
        for (std::string line; std::getline(stream, line);)
        {
            if (line.starts_with(field))
            {
                return std::stod(line.substr(field.size())) / 1024;
            }
        }
        return 1e9;
    }

    int m_bound_mb;
    temporary_folder m_folder;
    std::string m_caller = free_address();
    std::string m_metrics = free_address();
    std::unique_ptr<child_process> m_process;
};

/** Callers that send bytes and stay connected. */
class crowd
{
public:
    crowd(std::string const& address, std::size_t size)
    {
        std::size_t const colon = address.find(':');
        asio::ip::tcp::endpoint const endpoint(
            asio::ip::make_address(address.substr(0, colon)),
            static_cast<asio::ip::port_type>(
                std::stoi(address.substr(colon + 1))));
        for (std::size_t i = 0; i < size; ++i)
        {
            m_callers.emplace_back(m_context);
            asio::error_code failure;
            m_callers.back().m_socket.connect(endpoint, failure);
            m_callers.back().m_closed = static_cast<bool>(failure);
            if (!failure)
            {
                m_callers.back().m_socket.non_blocking(true);
            }
        }
    }

    /** Sends the same bytes on all connections, a piece on each in turn, until
     *  all are sent, closed or no longer read. */
    void send(std::string const& bytes, std::size_t piece)
    {
        auto last_progress = std::chrono::steady_clock::now();
        bool waits = true;
        while (waits &&
               std::chrono::steady_clock::now() - last_progress < patience)
        {
            waits = false;
            bool moved = false;
            for (caller& item : m_callers)
            {
                moved = send_piece(item, bytes, piece) || moved;
                waits = waits || (!item.m_closed && item.m_sent < bytes.size());
            }
            if (moved)
            {
                last_progress = std::chrono::steady_clock::now();
            }
            else
            {
                std::this_thread::sleep_for(1ms);
            }
        }
    }

private:
    struct caller
    {
        explicit caller(asio::io_context& context) : m_socket(context) {}

        asio::ip::tcp::socket m_socket;
        std::size_t m_sent = 0;
        bool m_closed = false;
    };

    /** @return whether bytes were sent */
    static bool send_piece(caller& item, std::string const& bytes,
                           std::size_t piece)
    {
        if (item.m_closed || item.m_sent >= bytes.size())
        {
            return false;
        }
        asio::error_code failure;
        std::size_t const size = item.m_socket.write_some(
            asio::buffer(bytes.data() + item.m_sent,
                         std::min(piece, bytes.size() - item.m_sent)),
            failure);
        item.m_sent += size;
        item.m_closed = failure && failure != asio::error::would_block;
        return size > 0;
    }

    asio::io_context m_context;
    std::deque<caller> m_callers;
};

std::string header(std::string const& framing)
{
    return "POST /orders/ HTTP/1.1\r\nHost: shop.example\r\n" + framing +
           "\r\n\r\n";
}

/** @return a request whose body lacks its last byte. */
std::string unfinished_body()
{
    return header("Content-Length: " + std::to_string(max_body)) +
           std::string(max_body - 1, 'x');
}

/** @return a request with a body in chunks that lacks its last chunk. */
std::string unfinished_chunks(std::size_t chunk, std::size_t size)
{
    std::ostringstream text;
    text << header("Transfer-Encoding: chunked");
    std::string const data(chunk, 'x');
    for (std::size_t sent = 0; sent + chunk <= size; sent += chunk)
    {
        text << std::hex << chunk << "\r\n" << data << "\r\n";
    }
    return text.str();
}

} // namespace

TEST_CASE("a crowd that sends large bodies at once does not end a process",
          "[crowd]")
{
    // Guards against bodies that fill the memory while each of them waits for
    // its last byte.
    small_instance entry;
    crowd callers(entry.caller(), crowd_size);
    callers.send(unfinished_body(), max_body);
    entry.check_alive();
}

TEST_CASE("a crowd that sends large bodies piece by piece does not end a "
          "process",
          "[crowd]")
{
    small_instance entry;
    crowd callers(entry.caller(), crowd_size);
    callers.send(unfinished_body(), 16'384);
    entry.check_alive();
}

TEST_CASE("a crowd that sends large chunks does not end a process", "[crowd]")
{
    // Guards against bodies without a stated length, whose size is known only
    // when they are there.
    small_instance entry;
    crowd callers(entry.caller(), crowd_size);
    callers.send(unfinished_chunks(1'048'576, max_body), 65'536);
    entry.check_alive();
}

TEST_CASE("a crowd that sends very small chunks does not end a process",
          "[crowd]")
{
    small_instance entry;
    crowd callers(entry.caller(), crowd_size);
    callers.send(unfinished_chunks(16, max_body), 65'536);
    entry.check_alive();
}

TEST_CASE("a crowd that announces bodies far over the limit does not end a "
          "process",
          "[crowd]")
{
    small_instance entry;
    crowd callers(entry.caller(), crowd_size);
    callers.send(header("Content-Length: 400000000") +
                     std::string(2 * max_body, 'x'),
                 65'536);
    entry.check_alive();
}

TEST_CASE("a crowd that sends bodies far over the limit does not end a process",
          "[crowd]")
{
    small_instance entry;
    crowd callers(entry.caller(), crowd_size);
    callers.send(unfinished_chunks(262'144, 4 * max_body), 65'536);
    entry.check_alive();
}

TEST_CASE("a crowd of connections leaves descriptors for ordinary callers",
          "[crowd]")
{
    // Guards against connections that use up the descriptors, so that neither
    // upstreams nor the store can be reached.
    small_instance entry;
    crowd callers(entry.caller(), 2 * max_descriptors);
    callers.send("POST /orders/ HTTP/1.1\r\n", 65'536);
    entry.check_alive();
}

TEST_CASE(
    "forty callers with large bodies leave a third of a small machine free",
    "[crowd]")
{
    // The memory of the smallest machines, with default limits.
    small_instance entry(96, 64);
    crowd callers(entry.caller(), 40);
    callers.send(unfinished_body(), 65'536);
    entry.check_alive();
}

TEST_CASE("a single body of the permitted size is read in calm", "[crowd]")
{
    small_instance entry;
    http::client_response const answer =
        fetch(entry.caller(), "/orders/", std::string(max_body, 'x'));
    CHECK(has_status(answer, 503));
    CHECK(answer.m_body.find("no_configuration") != std::string::npos);
    entry.check_alive();
}
