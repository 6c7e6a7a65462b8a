/** @file Test doubles around one entry instance. */
#pragma once

#include <daisylead/entry/entry_instance_base.hpp>
#include <daisylead/entry/http_caller_base.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace daisylead::entry_test
{

/** @return a configuration with an open route for repeatable requests below
 *          "/again/" at host "h", to service "s". */
serving::catalog make_open_catalog(std::chrono::milliseconds target_latency);

/** @return a row of service discovery for an upstream of service "s" in zone
 *          "a" with ten slots. */
serving::upstream_record make_upstream_record(std::string const& id,
                                              std::string const& address);

/** @return bytes as one chunk of a chunked body. */
std::string make_chunk(std::string const& bytes);

/** A connection accepted by a scripted upstream. */
class served_connection
{
public:
    explicit served_connection(int descriptor);
    ~served_connection();
    served_connection(served_connection const&) = delete;
    served_connection& operator=(served_connection const&) = delete;

    /** @return the next request with its body; empty if the connection
     *  ended. */
    std::string read_request();

    /** @return whether all bytes were written. */
    bool write(std::string const& bytes) const;

    /** Waits until the peer closes the connection.
     *  @return whether it did within @p timeout */
    bool wait_for_close(std::chrono::milliseconds timeout) const;

    /** Ends the connection while it is served. */
    void shut_down() const;

    /** Reads bytes that are no part of a request any more.
     *  @return whether so many came before the connection ended */
    bool read_bytes(std::size_t size) const;

    /** Ends the sending side; the connection stays open. */
    void end_sending() const;

    /** Ends the connection by a reset; bytes that wait to be read are lost. */
    void reset() const;

private:
    int m_descriptor;
    std::string m_buffer;
};

/** An upstream that runs a script of the test on each connection. */
class scripted_upstream
{
public:
    using script = std::function<void(served_connection&)>;

    explicit scripted_upstream(script run);
    ~scripted_upstream();
    scripted_upstream(scripted_upstream const&) = delete;
    scripted_upstream& operator=(scripted_upstream const&) = delete;

    /** @return "IP:port". */
    std::string const& address() const
    {
        return m_address;
    }

    /** Closes all connections and refuses new ones for a time. */
    void crash(std::chrono::milliseconds down_time);

    /** @return number of accepted connections. */
    int connections() const
    {
        return m_connections;
    }

private:
    void accept_loop();

    script m_run;
    std::atomic<int> m_listener = -1;
    std::string m_address;
    std::atomic<int> m_connections = 0;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::chrono::milliseconds> m_down_time{};
    std::mutex m_mutex;
    std::vector<std::thread> m_workers; ///< guarded by m_mutex
    std::vector<std::shared_ptr<served_connection>>
        m_served; ///< guarded by m_mutex
    std::thread m_acceptor;
};

/** An upstream that answers each request with id "a1". */
class sound_upstream
{
public:
    /** @return the list of service discovery. */
    std::vector<serving::upstream_record> records() const
    {
        return {make_upstream_record("u", m_server.address())};
    }

private:
    scripted_upstream m_server{
        [](served_connection& connection)
        {
            while (!connection.read_request().empty())
            {
                connection.write("HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
                                 "Content-Length: 2\r\n\r\nok");
            }
        }};
};

/** Bytes that an upstream sends next. */
class next_answer
{
public:
    void set(std::string bytes)
    {
        std::lock_guard const lock(m_mutex);
        m_bytes = std::move(bytes);
    }

    /** Sends the bytes and ends the connection after each request. */
    scripted_upstream::script script()
    {
        return [this](served_connection& connection)
        {
            if (!connection.read_request().empty())
            {
                std::lock_guard const lock(m_mutex);
                connection.write(m_bytes);
            }
        };
    }

private:
    std::mutex m_mutex;
    std::string m_bytes;
};

/** @return an address whose port no other socket gets by chance. */
std::string free_address();

/** Calls the store with the client of an instance.
 *  @param body sent by POST; empty: GET
 *  @return its answer, if what came is one */
std::optional<entry::http_answer> call_store(std::string const& address,
                                             std::string const& body = "");

/** A caller that reads nothing of its answer. */
class stalled_caller
{
public:
    /** Connects with a small receive buffer and sends bytes. */
    stalled_caller(std::string const& address, std::string const& bytes);
    ~stalled_caller();
    stalled_caller(stalled_caller const&) = delete;
    stalled_caller& operator=(stalled_caller const&) = delete;

    /** @return whether the answer began within @p timeout */
    bool wait_for_answer(std::chrono::milliseconds timeout) const;

    /** Ends its sending side; the connection stays open. */
    void end_sending() const;

private:
    int m_descriptor;
};

/** Connects the instances of one process; messages are not lost. */
class peer_network
{
public:
    /** @return a factory for the transport of one instance. */
    peer::transport_factory factory();

    /** Loses all messages from and to an instance from now on. */
    void cut_off(int number);

private:
    friend class network_transport;

    std::mutex m_mutex;
    std::map<std::string, peer::message_hook> m_hooks; ///< by address
    std::set<std::string> m_cut_off;                   ///< addresses
};

/** Blocked prompt parts in the store of a test. */
class block_store
{
public:
    std::vector<request::blocked_part> read();
    void write(request::blocked_part const& part);
    void erase(request::part_digest part);

private:
    std::mutex m_mutex;
    std::map<request::part_digest, request::blocked_part> m_parts;
};

/** What the store of an instance holds when it starts. */
struct store_state
{
    std::uint64_t m_revision = 1; ///< of the configuration
    std::shared_ptr<block_store> m_blocks = std::make_shared<block_store>();
    bool m_answers = true; ///< whether it gives answers
};

/** How an instance is connected to its peers. */
struct peer_access
{
    std::string m_address;              ///< where peers reach it
    std::vector<std::string> m_seeds{}; ///< peers to contact first
    peer::transport_factory m_make_transport;
};

/** Engines of a test as the rollout of weights sees them. The hooks run on the
 *  thread of the instance. */
struct engine_control
{
    std::function<std::optional<entry::engine_report>(upstream_id const&)>
        m_report;
    /** No answer comes in time for an unknown outcome. */
    std::function<entry::order_outcome(entry::load_order const&)> m_order;
};

/** One entry instance with a minimal adapter. Header fields: Id, Key, Parts,
 *  Model, Tokens, Deadline-Ms, Last-Event-Id, Resumes, Seal, Not-Run, Leaving,
 *  Retry-After, Rate-Limit; Throw makes the adapter fail. */
class running_instance
{
public:
    /** @param catalog configuration in force
     *  @param upstreams in service discovery */
    running_instance(serving::catalog catalog,
                     std::vector<serving::upstream_record> upstreams,
                     engine_control engines = {});
    /** An instance that exchanges news with the others of a network.
     *  @param number of this instance, from 1; the first one is the seed */
    running_instance(serving::catalog catalog,
                     std::vector<serving::upstream_record> upstreams,
                     peer_network& network, int number, store_state store = {});
    /** An instance with a transport of the test.
     *  @param number of this instance, from 1 */
    running_instance(serving::catalog catalog,
                     std::vector<serving::upstream_record> upstreams,
                     peer_access peers, int number, store_state store = {});
    ~running_instance();
    running_instance(running_instance const&) = delete;
    running_instance& operator=(running_instance const&) = delete;

    /** @return "IP:port" for callers. */
    std::string const& caller_address() const
    {
        return m_settings.m_caller_address;
    }

    /** Sends bytes on a new connection and reads the answer until the
     *  connection ends or is idle.
     *  @param idle_timeout time without a byte that ends the reading */
    std::string exchange(std::string const& bytes,
                         std::chrono::milliseconds idle_timeout =
                             std::chrono::milliseconds(700));

    /** Connects, keeps the thread of the instance busy for a time and sends
     *  bytes meanwhile.
     *  @return the answer */
    std::string exchange_while_busy(std::string const& bytes,
                                    std::chrono::milliseconds busy);

    /** Sends a request in two parts, calls @p between after the first one,
     *  and reads the answer. */
    std::string exchange_in_parts(std::string const& first,
                                  std::function<void()> const& between,
                                  std::chrono::milliseconds pause,
                                  std::string const& rest);

    /** Sends bytes and closes the connection after a delay. */
    void send_and_close(std::string const& bytes,
                        std::chrono::milliseconds after);

    /** The store holds another configuration from now on.
     *  @param padding makes the document larger */
    void set_rules(std::uint64_t revision, serving::catalog catalog,
                   std::string const& padding = "");

    /** @return the state that the instance reports, as JSON text. */
    std::string state() const;

    /** Keeps the thread of the instance busy, as if its machine stood still. */
    void freeze(std::chrono::milliseconds time);

    /** Time between a stop signal and the end of the process. */
    void set_grace(std::chrono::milliseconds grace)
    {
        m_settings.m_grace = grace;
    }

    /** Service discovery holds other upstreams from now on. */
    void set_upstreams(std::vector<serving::upstream_record> upstreams);

    /** @return number of reads of the configuration. */
    int rules_reads() const
    {
        return m_rules_reads;
    }

    /** @return the answer to a request at the address for tunnels. */
    std::string ask_for_tunnel(std::string const& upstream);

    /** The store gives no answer from now on. */
    void fail_store()
    {
        m_store_failed = true;
    }

private:
    entry::adapter make_adapter();
    void start(peer::transport_factory const& make_transport);

    std::mutex m_mutex;
    std::string m_rules;          ///< see add_catalog(), guarded by m_mutex
    std::uint64_t m_revision = 1; ///< guarded by m_mutex
    std::vector<serving::upstream_record> m_upstreams; ///< see m_mutex
    engine_control m_engines;
    std::atomic<int> m_rules_reads = 0;
    std::atomic<bool> m_store_failed = false;
    std::shared_ptr<block_store> m_blocks = std::make_shared<block_store>();
    config::entry_settings m_settings;
    boost::asio::io_context m_context{1};
    std::unique_ptr<entry::entry_instance> m_instance;
    std::thread m_thread;
};

} // namespace daisylead::entry_test
