/** @file Case: servers say that they are brittle while many callers come at
 *  once. */
#include "stage.hpp"

#include <csignal>
#include <deque>
#include <iostream>

namespace
{

using namespace stage;
using namespace std::chrono_literals;

constexpr int servers = 4;
constexpr int slots = 6;
constexpr milliseconds work_time = 100ms;

/** Requests that may wait at a server, usually and while it is brittle. */
constexpr int usual_queue = 24;
constexpr int brittle_queue = 2;

/** Time from the first statement to the shorter queue (stableMs). */
constexpr milliseconds stable_time = 3000ms;

/** Requests that a server may turn away in a second. */
constexpr int brittle_limit = 20;

/** Time for which a server that fell over is away. */
constexpr milliseconds down_time = 2000ms;

/** Requests a second, and how many more come at once. */
constexpr int usual_rate = 160;
constexpr double burst = 1.7;
constexpr milliseconds usual_time = 4000ms;
constexpr milliseconds burst_time = 8000ms;

/** A plain server that falls over when it has to turn too many away. */
class brittle_server
{
public:
    brittle_server(std::string id, store& rows, record& log)
        : m_id(std::move(id)), m_log(log),
          m_listener(free_address(),
                     [this](std::shared_ptr<channel> const& connection)
                     { serve(*connection); })
    {
        rows.put("servers", m_id,
                 {{"service", "counter"},
                  {"address", m_listener.address()},
                  {"zone", "a"},
                  {"version", "v1"},
                  {"slots", slots},
                  {"state", "ready"},
                  {"coldRemainingMs", 0},
                  {"born", unix_ms()},
                  {"sequence", 1}});
        m_keeper = std::thread([this] { keep(); });
    }

    ~brittle_server()
    {
        m_stopping = true;
        m_keeper.join();
        m_listener.stop();
    }

    brittle_server(brittle_server const&) = delete;
    brittle_server& operator=(brittle_server const&) = delete;

    void become_brittle()
    {
        m_brittle_since = clock::now();
        m_is_brittle = true;
    }

    int falls() const
    {
        return m_falls;
    }

    int lost() const
    {
        return m_lost;
    }

    int rejected() const
    {
        return m_rejected;
    }

private:
    std::string fields(message const& request) const
    {
        return "X-Attempt-Id: " + request.field("x-attempt-id") + "\r\n" +
               (m_is_brittle ? "Server-Brittle: " +
                                   std::to_string(brittle_limit) + "\r\n"
                             : "");
    }

    /** @return whether there is room. Falls over if too many were turned
     *          away. */
    bool admit()
    {
        std::lock_guard const lock(m_mutex);
        auto const now = clock::now();
        int const queue =
            m_is_brittle && now - m_brittle_since.load() >= stable_time
                ? brittle_queue
                : usual_queue;
        if (m_placed < slots + queue)
        {
            ++m_placed;
            return true;
        }
        ++m_rejected;
        m_rejects.push_back(now);
        while (now - m_rejects.front() > 1s)
        {
            m_rejects.pop_front();
        }
        if (m_is_brittle &&
            m_rejects.size() > static_cast<std::size_t>(brittle_limit))
        {
            m_rejects.clear();
            m_falling = true;
        }
        return false;
    }

    void serve(channel& connection)
    {
        int const run = m_run;
        while (auto const request = connection.read())
        {
            if (request->field("x-expect-instance") != m_id)
            {
                connection.write(make_answer(421, "", ""));
                continue;
            }
            if (!admit())
            {
                connection.write(make_answer(
                    503, fields(*request) + "X-Not-Executed: 1\r\n", ""));
                continue;
            }
            bool const ran = work(run);
            {
                std::lock_guard const lock(m_mutex);
                --m_placed;
            }
            if (!ran ||
                !connection.write(make_answer(
                    200, fields(*request) + "X-Server-Seal: s\r\n", "done")))
            {
                return;
            }
        }
    }

    /** @return whether the request was done before the server fell over */
    bool work(int run)
    {
        while (++m_working > slots)
        {
            --m_working;
            std::this_thread::sleep_for(5ms);
            if (run != m_run)
            {
                return false;
            }
        }
        std::this_thread::sleep_for(work_time);
        --m_working;
        m_lost += run == m_run ? 0 : 1;
        return run == m_run;
    }

    void keep()
    {
        while (!m_stopping)
        {
            std::this_thread::sleep_for(5ms);
            if (m_falling.exchange(false))
            {
                ++m_falls;
                ++m_run;
                m_log.line(m_id + " falls over, " + std::to_string(m_working) +
                           " requests at work");
                m_listener.stop();
                std::this_thread::sleep_for(down_time);
                m_listener.start();
                m_log.line(m_id + " is back");
            }
        }
    }

    std::string m_id;
    record& m_log;
    std::mutex m_mutex;
    std::deque<clock::time_point> m_rejects;
    int m_placed = 0;
    std::atomic<int> m_working = 0;
    std::atomic<int> m_run = 0;
    std::atomic<int> m_falls = 0;
    std::atomic<int> m_lost = 0;
    std::atomic<int> m_rejected = 0;
    std::atomic<bool> m_falling = false;
    std::atomic<bool> m_is_brittle = false;
    std::atomic<clock::time_point> m_brittle_since{};
    std::atomic<bool> m_stopping = false;
    std::thread m_keeper;
    listener m_listener;
};

json configuration()
{
    return {{"version", 1},
            {"routes",
             {{{"name", "order"},
               {"host", "h"},
               {"prefix", "/order/"},
               {"routeType", "non_idempotent"},
               {"timeoutMs", 1500},
               {"targetLatencyMs", 150},
               {"priority", 2},
               {"service", "counter"},
               {"attempts", 1},
               {"public", true}}}},
            {"services",
             {{{"name", "counter"},
               {"healthPath", "/healthz"},
               {"maxConnections", 232}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

/** Callers that come at a steady rate. */
class traffic
{
public:
    traffic(std::vector<std::unique_ptr<instance>> const& instances)
        : m_instances(instances)
    {
    }

    void run(double rate, milliseconds length)
    {
        auto const until = clock::now() + length;
        auto next = clock::now();
        auto const interval = std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(1 / rate));
        while (next < until)
        {
            std::this_thread::sleep_until(next);
            next += interval;
            m_threads.emplace_back([this, number = m_sent++] { call(number); });
        }
    }

    void join()
    {
        for (std::thread& item : m_threads)
        {
            item.join();
        }
    }

    std::string summary()
    {
        std::string text;
        for (auto const& [status, count] : m_answers)
        {
            text +=
                std::to_string(count) + " x " + std::to_string(status) + ", ";
        }
        return text;
    }

    int answered(int status)
    {
        return m_answers[status];
    }

private:
    void call(int number)
    {
        auto const answer =
            fetch(m_instances[number % m_instances.size()]->caller_address(),
                  "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a" +
                      std::to_string(number) +
                      "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\nhi",
                  2000ms);
        std::lock_guard const lock(m_mutex);
        ++m_answers[answer ? answer->status() : 0];
    }

    std::vector<std::unique_ptr<instance>> const& m_instances;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    int m_sent = 0;
    std::map<int, int> m_answers;
};

int run(std::string const& folder, std::string const& root)
{
    record log("record.txt");
    store rows;
    rows.put("op", "config", configuration());
    std::vector<std::unique_ptr<brittle_server>> list;
    list.reserve(servers);
    for (int i = 0; i < servers; ++i)
    {
        list.push_back(std::make_unique<brittle_server>(
            "i-" + std::to_string(i + 1), rows, log));
    }
    std::vector<std::unique_ptr<instance>> instances;
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i)
    {
        instances.push_back(
            std::make_unique<instance>("entry-" + std::to_string(i + 1),
                                       rows.address(), seeds, folder, root));
        seeds.push_back(instances.back()->peer_address());
        instances.back()->start();
    }
    for (auto const& item : instances)
    {
        if (!item->wait_until_ready(15s))
        {
            log.line("an instance is not ready");
            return exit_not_run;
        }
    }
    // Traffic starts 10 s after the machines do.
    std::this_thread::sleep_for(10s);
    traffic callers(instances);
    if (with_trouble())
    {
        log.line("the servers say that they are brittle");
        for (auto const& item : list)
        {
            item->become_brittle();
        }
    }
    callers.run(usual_rate, usual_time);
    log.line("more callers come");
    callers.run(usual_rate * burst, burst_time);
    callers.join();
    int falls = 0;
    int lost = 0;
    int rejected = 0;
    for (auto const& item : list)
    {
        falls += item->falls();
        lost += item->lost();
        rejected += item->rejected();
    }
    std::string const result =
        std::to_string(falls) + " falls of " + std::to_string(servers) +
        " servers, " + std::to_string(rejected) + " turned away, " +
        std::to_string(lost) + " runs lost; answers: " + callers.summary();
    log.line(result);
    std::cout << result << '\n';
    if (callers.answered(200) == 0)
    {
        return exit_not_run;
    }
    // LIMIT: more often than 2 + a tenth of their number.
    return falls > 2 + servers / 10 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? run(argv[1], argv[2]) : exit_not_run;
}
