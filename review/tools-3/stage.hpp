/** @file Stand-ins of the platform around instances of daisylead-entry: the
 *  store, servers, callers, and the processes themselves. */
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace stage
{

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using nlohmann::json;

/** Exit status of a case. */
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/** The log of a case; each line begins with the time in ms. */
class record
{
public:
    explicit record(std::string const& file);
    void line(std::string const& text);

private:
    std::mutex m_mutex;
    std::ofstream m_stream;
    clock::time_point m_began = clock::now();
};

/** @return whether the case runs with its disruption. */
bool with_trouble();

/** @return "127.0.0.1:port" with a port that was free. */
std::string free_address();

std::int64_t unix_ms();

/** Head and body of a message. */
struct message
{
    std::string m_start;                         ///< first line
    std::map<std::string, std::string> m_fields; ///< names in lower case
    std::string m_body;

    std::string field(std::string const& name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/** One TCP connection. */
class channel
{
public:
    explicit channel(int descriptor) : m_descriptor(descriptor) {}
    ~channel();
    channel(channel const&) = delete;
    channel& operator=(channel const&) = delete;

    /** @return nothing if the connection cannot be made */
    static std::shared_ptr<channel> connect(std::string const& address,
                                            milliseconds timeout);

    /** Reads a message with a length, chunks, or no body.
     *  @param head_only leaves the body unread
     *  @return nothing if the connection ended before its end */
    std::optional<message> read(bool head_only = false);

    /** Reads the next chunk of a body.
     *  @return empty at the end; nothing if the connection ended before */
    std::optional<std::string> read_chunk();

    bool write(std::string const& bytes);

    /** Limits the time of each read. */
    void set_read_timeout(milliseconds timeout) const;

    /** Ends the connection by a reset. May be called by another thread. */
    void reset();

    /** @return whether the other side has ended the connection. */
    bool has_ended() const;

private:
    bool fill();
    std::optional<std::string> read_line();
    bool read_bytes(std::size_t size, std::string& bytes);

    int m_descriptor;
    std::string m_buffer;
};

/** Serves each connection in a thread. */
class listener
{
public:
    using handler = std::function<void(std::shared_ptr<channel>)>;

    listener(std::string address, handler serve);
    ~listener();
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;

    std::string const& address() const
    {
        return m_address;
    }

    /** Ends all connections by resets and refuses new ones. */
    void stop();

    /** Listens again at the same address. */
    void start();

private:
    void accept_loop(int descriptor);
    void serve_one(std::shared_ptr<channel> const& connection);

    std::string m_address;
    handler m_serve;
    std::mutex m_mutex;
    int m_descriptor = -1;
    std::atomic<int> m_working = 0;
    std::list<std::weak_ptr<channel>> m_open;
    std::thread m_acceptor;
};

/** The platform's store. */
class store
{
public:
    store();

    std::string const& address() const
    {
        return m_listener.address();
    }

    void put(std::string const& table, std::string const& key,
             json const& value);
    /** Keeps a copy of all rows. */
    void take_copy();

    /** Refuses all calls. */
    void go_away();

    /** Comes back with the rows of the copy, in a new era. */
    void come_back_from_copy();

    /** @return whether it answers. */
    bool is_up() const
    {
        return m_is_up;
    }

private:
    struct row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
    };

    void serve(std::shared_ptr<channel> const& connection);
    std::string answer(message const& request);
    std::string rows(std::string const& table);
    std::string transact(std::string const& body, int& status);

    std::mutex m_mutex;
    std::uint64_t m_version = 0;
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_copied_version = 0;
    std::map<std::string, std::map<std::string, row>> m_copy;
    std::uint64_t m_era = 1;
    std::atomic<bool> m_is_up = true;
    clock::time_point m_began = clock::now();
    listener m_listener;
};

/** A process of daisylead-entry. */
class instance
{
public:
    /** @param folder for its settings and its log
     *  @param root of the repository */
    instance(std::string name, std::string const& store_address,
             std::vector<std::string> const& seeds, std::string const& folder,
             std::string const& root);
    ~instance();
    instance(instance const&) = delete;
    instance& operator=(instance const&) = delete;

    void start();
    void signal(int number) const;

    /** @return whether it was ready in time. */
    bool wait_until_ready(milliseconds timeout) const;

    /** @return whether the process has ended. */
    bool has_ended();

    std::string const& caller_address() const
    {
        return m_caller;
    }

    std::string const& peer_address() const
    {
        return m_peer;
    }

private:
    std::string m_name;
    std::string m_folder;
    std::string m_root;
    std::string m_caller = free_address();
    std::string m_readiness = free_address();
    std::string m_peer = free_address();
    pid_t m_process = -1;
};

/** @return the answer of a short call. */
std::optional<message> fetch(std::string const& address,
                             std::string const& request, milliseconds timeout);

/** @return an answer with a length. */
std::string make_answer(int status, std::string const& fields,
                        std::string const& body);

std::string make_chunk(std::string const& bytes);

} // namespace stage
