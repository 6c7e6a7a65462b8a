/** @file Stand-in for a model server that loads weights by orders. */
#pragma once

#include "platform.hpp"

#include <deque>

namespace review
{

/** An order that a model server received. */
struct received_order
{
    clock::time_point m_at;
    std::string m_holder;
    std::uint64_t m_token = 0;
};

/** Answers reports and orders as the pages say, and registers itself. It takes
 *  no other requests. */
class engine
{
public:
    engine(std::string id, std::string model, store& rows, record& log);
    ~engine();
    engine(engine const&) = delete;
    engine& operator=(engine const&) = delete;

    /** Writes the row of this server, as it does with each heartbeat. */
    void beat();

    /** The operator has named these weights. */
    void note_named(std::int64_t version);

    std::vector<received_order> orders();

    std::string const& id() const
    {
        return m_id;
    }

    void stop()
    {
        m_server.stop();
    }

private:
    struct state
    {
        clock::time_point m_since;
        bool m_busy = false;
        std::int64_t m_weights = 1;
        int m_accepted = 0;
    };

    void serve(connection& caller);
    std::string report();
    std::string take_order(std::string const& body);
    void end_load();

    std::string m_id;
    std::string m_model;
    store& m_store;
    record& m_log;
    std::int64_t m_born = unix_ms();
    std::mutex m_mutex;
    std::deque<state> m_states;           ///< oldest first; by m_mutex
    std::int64_t m_named = 1;             ///< guarded by m_mutex
    std::int64_t m_loading = 0;           ///< guarded by m_mutex
    std::vector<received_order> m_orders; ///< guarded by m_mutex
    int m_beats = 0;                      ///< guarded by m_mutex
    server m_server;
};

} // namespace review
