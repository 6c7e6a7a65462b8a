/** @file A small deployment: one instance, a service of orders that may run
 *  once, and a service of model servers. */
#pragma once

#include "platform.hpp"

namespace review
{

/** Counts of the orders. */
struct order_counts
{
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_answered = 0;
    /** Passed on to a sound server from a kept connection that was closed
     *  without a byte of an answer. */
    std::atomic<int> m_lost = 0;
};

/** Its callers send orders on kept connections for as long as it lives. */
class shop
{
public:
    /** @param streams serves connections to a model server, by its number
     *  @param routes beside that of the orders */
    shop(record& log, std::function<void(connection&, int)> const& streams,
         nlohmann::json const& routes);
    ~shop();
    shop(shop const&) = delete;
    shop& operator=(shop const&) = delete;

    /** Starts the instance. @return whether it became ready */
    bool start();

    /** Starts the callers of orders. */
    void start_callers();

    /** Runs a thread until the end of the case. */
    void run_thread(std::function<void()> run);

    /** Ends callers, instance and servers. */
    void stop();

    bool is_stopping() const
    {
        return m_stopping;
    }

    instance& entry()
    {
        return m_entry;
    }

    order_counts const& orders() const
    {
        return m_orders;
    }

    /** Records the counts. @return exit status of the case */
    int judge();

private:
    void serve_orders(connection& caller);
    void send_orders(int number);
    bool has_run(std::string const& id);

    record& m_log;
    temporary_folder m_files;
    store m_store;
    std::mutex m_mutex;
    std::set<std::string> m_runs; ///< guarded by m_mutex
    std::vector<std::unique_ptr<server>> m_servers;
    instance m_entry;
    order_counts m_orders;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads;
};

/** @return header fields of a sound answer */
std::string answer_fields(message const& request);

/** @return head of a sound stream in chunks */
std::string stream_head(message const& request);

/** @return an event of a stream */
std::string make_event(int number);

/** @return a request for a stream */
std::string stream_request(std::string const& path, std::string const& id,
                           int deadline_ms);

/** Runs a case with the folder that the command line names. */
int run_case(int argc, char** argv, std::function<int(record&)> const& run);

} // namespace review
