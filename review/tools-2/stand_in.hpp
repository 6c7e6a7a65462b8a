/** @file Stand-ins for the platform's store, servers and clients. */
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

using milliseconds = std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/** Compares names of header fields, which are case-insensitive. */
struct field_order
{
    bool operator()(std::string const& a, std::string const& b) const;
};

using header_fields = std::map<std::string, std::string, field_order>;

/** A request or an answer. */
struct http_message
{
    std::string m_start; ///< request line or status line
    header_fields m_fields;
    std::string m_body;

    /** @return value of a field, or empty. */
    std::string field(std::string const& name) const;

    /** @return the target of a request. */
    std::string target() const;

    /** @return the status of an answer, or 0. */
    int status() const;
};

/** A socket with a read buffer. */
class connection
{
public:
    explicit connection(int handle) : m_handle(handle) {}
    ~connection();

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /** Connects to a port of the loopback address.
     *  @return null if that fails within a second */
    static std::unique_ptr<connection> open(std::uint16_t port);

    /** @return whether all bytes were written. */
    bool write(std::string_view bytes);

    /** Reads a message with its body.
     *  @return nothing if the connection ended before, or at the deadline */
    std::optional<http_message> read(steady::time_point deadline);

    /** Reads the first lines only. */
    std::optional<http_message> read_header(steady::time_point deadline);

    /** Reads whatever comes.
     *  @return empty at the end of the connection or at the deadline */
    std::string read_some(steady::time_point deadline);

    /** Ends both directions at once; may be called from another thread. */
    void shut_down() const;

    /** Ends the direction to the other side. */
    void end_output() const;

    /** Closes with a reset, as a process that ends with unread input does. */
    void reset_on_close() const;

private:
    bool fill(steady::time_point deadline);
    bool read_chunks(std::string& body, steady::time_point deadline);

    int m_handle;
    std::string m_buffer;
};

/** Accepts connections and serves each on a thread. */
class server
{
public:
    /** @param serve called for each connection until it returns
     *  @param port 0 for a free one */
    explicit server(std::function<void(connection&)> serve,
                    std::uint16_t port = 0);
    ~server();

    server(server const&) = delete;
    server& operator=(server const&) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    /** Ends as a killed process does: the port refuses connections, and open
     *  ones are reset. */
    void crash();

    /** Listens on the port again after crash(). */
    void restart();

    bool is_running() const
    {
        return m_running;
    }

private:
    struct shared_state
    {
        std::mutex m_mutex;
        std::set<connection*> m_open;
        std::atomic<int> m_threads{0};
    };

    void listen_on_port();
    void accept_loop(int handle);

    std::function<void(connection&)> m_serve;
    std::shared_ptr<shared_state> m_state = std::make_shared<shared_state>();
    std::uint16_t m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_running{false};
    std::thread m_thread;
};

/** The platform's store, with tables only. */
class store
{
public:
    store();

    std::string address() const
    {
        return m_server.address();
    }

    /** Writes a row as the operator or a server does. */
    void put(std::string const& table, std::string const& key,
             nlohmann::json const& value);

    /** Removes a row. */
    void erase(std::string const& table, std::string const& key);

    /** Adds an address of the store for an instance that reaches the servers
     *  by other addresses.
     *  @param addresses addresses in rows, and what the instance reads instead
     *  @return the address of the store */
    std::string add_view(std::map<std::string, std::string> addresses);

private:
    struct row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
    };

    using address_map = std::map<std::string, std::string>;

    void serve(connection& peer, address_map const& addresses);
    nlohmann::json get_rows(std::string const& target,
                            address_map const& addresses);
    std::pair<int, nlohmann::json> transact(nlohmann::json const& body);
    std::int64_t now_ms() const;

    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_version = 1;
    steady::time_point m_started = steady::now();
    server m_server;
    std::vector<std::unique_ptr<server>> m_views;
};

/** Passes connections on to a server until it is cut. */
class proxy
{
public:
    explicit proxy(std::uint16_t target);

    std::string address() const
    {
        return m_server.address();
    }

    /** Resets the connections and refuses new ones. */
    void cut()
    {
        m_server.crash();
    }

private:
    server m_server;
};

/** Appends lines to a file; thread-safe. */
class record_file
{
public:
    explicit record_file(std::string const& name);

    void line(std::string const& text);

private:
    std::mutex m_mutex;
    std::ofstream m_stream;
    steady::time_point m_started = steady::now();
};

/** An entry instance, started by the command of the deploy file. */
class entry_process
{
public:
    /** @param store_address of the platform's store
     *  @param memory_mb memory of the machine in the settings
     *  @param number part of the instance's name */
    entry_process(std::string store_address, int memory_mb, int number = 1);
    ~entry_process();

    entry_process(entry_process const&) = delete;
    entry_process& operator=(entry_process const&) = delete;

    void start();

    /** Kills the process. */
    void kill();

    /** @return whether it answers 200 to the readiness check in time. */
    bool wait_until_ready(milliseconds timeout) const;

    /** @return whether the process has not ended. */
    bool is_alive();

    /** @return a value of the process in MB, as "VmHWM" or "VmRSS". */
    double memory_mb(std::string const& name) const;

    std::uint16_t caller_port() const
    {
        return m_caller;
    }

private:
    std::string m_store;
    int m_memory_mb;
    int m_number;
    std::string m_folder;
    std::uint16_t m_caller;
    std::uint16_t m_ready;
    std::uint16_t m_peer;
    std::uint16_t m_metrics;
    std::uint16_t m_tunnel;
    pid_t m_process = -1;
};

/** Key of the only tenant. */
extern std::string const tenant_key;

/** @return a configuration with one route, one service and one tenant. */
nlohmann::json make_configuration(nlohmann::json const& route,
                                  nlohmann::json const& service);

/** @return a service of model servers, or one of plain servers. */
nlohmann::json make_engine_service(std::string const& name);
nlohmann::json make_plain_service(std::string const& name);

/** @return the row of a model server, or of a plain server. */
nlohmann::json make_engine_row(std::string const& service,
                               std::string const& address,
                               std::string const& software, std::int64_t born);
nlohmann::json make_plain_row(std::string const& service,
                              std::string const& address);

/** @return a chunk of a body. */
std::string make_chunk(std::string const& text);

/** @return a chunk with one event of a stream. */
std::string make_event(int id, std::string const& data);

/** @return the header of a stream of a model server. */
std::string make_stream_header(std::string const& attempt);

/** @return a whole answer of a plain server. */
std::string make_answer(std::string const& attempt, std::string const& body);

/** @return the line of the record for a request that a server runs.
 *  @param last_event the event after which a stream goes on, or empty */
std::string run_line(std::string const& id, std::string const& attempt,
                     std::string const& last_event);

/** @return an id of a client attempt. */
std::string attempt_id(int number);

/** @return whether the disruption of the case is left out. */
bool is_calm();

/** @return a port that is free now. */
std::uint16_t free_port();

std::string encode_base64(std::string const& bytes);

/** @return milliseconds since the epoch. */
std::int64_t unix_ms();

} // namespace review
