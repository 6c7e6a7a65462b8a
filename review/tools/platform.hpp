/** @file Stand-in for the platform: its store, and the start of instances. */
#pragma once

#include "net.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <map>
#include <sys/types.h>

namespace review
{

/** Lines with the time since the start of the case. */
class record
{
public:
    explicit record(std::string const& file);

    void add(std::string const& line);

private:
    clock::time_point m_began = clock::now();
    std::mutex m_mutex;
    std::ofstream m_file; ///< guarded by m_mutex
};

/** The platform's metadata store. */
class store
{
public:
    explicit store(record& log);

    int port() const
    {
        return m_server.port();
    }

    /** Writes a row as the operator or a server does. */
    void put(std::string const& table, std::string const& key,
             nlohmann::json const& value);

    void erase(std::string const& table, std::string const& key);

    /** Keeps a copy of all rows and of the newest version. */
    void keep_copy();

    /** The store is away: it closes connections without an answer. */
    void go_away()
    {
        m_away = true;
    }

    /** Comes back from the copy, in the next era. What the operator and the
     *  servers wrote since is written again. */
    void come_back();

    /** Time that a transaction takes to be answered. */
    void set_write_delay(milliseconds delay)
    {
        m_write_delay = delay.count();
    }

    /** @return holder of the order lease; empty if there is none */
    std::string lease_holder();

    /** @return number of writes of the order lease that were received */
    int lease_writes() const
    {
        return m_lease_writes;
    }

    /** @return whether a transaction waits for its answer */
    bool is_writing() const
    {
        return m_pending_writes > 0;
    }

    void stop()
    {
        m_server.stop();
    }

private:
    struct row
    {
        std::string m_value; ///< base64
        std::uint64_t m_version = 0;
    };
    using row_key = std::pair<std::string, std::string>; ///< table and key

    void serve(connection& caller);
    std::string read_rows(std::string const& target);
    std::string fields();
    std::string transact(std::string const& body);
    std::int64_t now_ms() const;

    record& m_log;
    clock::time_point m_began = clock::now();
    std::mutex m_mutex;
    std::map<row_key, row> m_rows; ///< guarded by m_mutex
    std::uint64_t m_version = 1;   ///< guarded by m_mutex
    std::map<row_key, row> m_copy; ///< guarded by m_mutex
    std::uint64_t m_copied = 0;    ///< version of the copy; by m_mutex
    std::atomic<int> m_era = 1;
    std::atomic<bool> m_away = false;
    std::string m_lease_holder; ///< guarded by m_mutex
    std::atomic<int> m_lease_writes = 0;
    std::atomic<int> m_pending_writes = 0;
    std::atomic<std::int64_t> m_write_delay = 0;
    server m_server;
};

/** Limits and bounds of the site's sheet. */
struct sheet
{
    std::size_t m_memory_mb = 96;
    int m_revoke_ms = 5000;
    int m_lease_ms = 3000;
    int m_version_ms = 8000;
    int m_grace_s = 8;
    double m_retry_ratio = 0.2;
    int m_retry_extra = 122;
    int m_retry_window_s = 10;
};

/** One instance: a process that is started by the command of the deploy file,
 *  with settings as the platform fills them in. */
class instance
{
public:
    instance(std::string name, std::string zone, int store_port,
             sheet const& bounds, std::string const& folder);
    ~instance();
    instance(instance const&) = delete;
    instance& operator=(instance const&) = delete;

    /** @param seeds "IP:port" of peers */
    void start(std::vector<std::string> const& seeds);

    void signal(int number) const;

    /** @return whether the process has ended */
    bool has_ended();

    /** Kills the process if it runs, and waits for its end. */
    void kill();

    /** @return resident memory, bytes */
    std::size_t memory() const;

    /** @return whether it says that it is ready */
    bool is_ready() const;

    std::string const& name() const
    {
        return m_name;
    }

    int caller_port() const
    {
        return m_caller_port;
    }

    std::string peer_address() const;

private:
    std::string m_name;
    std::string m_zone;
    int m_store_port;
    sheet m_bounds;
    std::string m_folder;
    int m_caller_port;
    int m_ready_port;
    int m_peer_port;
    int m_metrics_port;
    int m_tunnel_port;
    std::atomic<pid_t> m_process = -1;
};

/** A new folder that is removed with all that is in it. */
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::string const& path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/** @return whether TROUBLE is not 0 */
bool has_trouble();

/** @return whether the condition came true in time */
bool wait_until(std::function<bool()> const& condition, milliseconds timeout);

/** @return Unix time in milliseconds */
std::int64_t unix_ms();

/** Settings of a route as the operator writes them. */
nlohmann::json make_route(std::string const& name, std::string const& prefix,
                          std::string const& type, std::string const& service,
                          int timeout_ms, int target_ms, int attempts);

/** The row of a server in service discovery. */
nlohmann::json make_server_row(std::string const& service,
                               std::string const& address, int slots,
                               std::int64_t born);

} // namespace review
