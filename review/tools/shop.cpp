/** @file A small deployment: one instance, a service of orders that may run
 *  once, and a service of model servers. */
#include "shop.hpp"

#include <csignal>
#include <iostream>

namespace review
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int callers = 12;
constexpr int order_servers = 2;
constexpr int order_slots = 6;
constexpr int model_servers = 3;
constexpr int model_slots = 48;
constexpr int shared_parts = 8;
constexpr auto work_time = 60ms;
constexpr auto pause_time = 20ms;
constexpr auto order_timeout = 2500ms;

/** Lost orders that the rule permits. */
constexpr int max_lost = 3;

} // namespace

std::string answer_fields(message const& request)
{
    return "X-Attempt-Id: " + request.field("X-Attempt-Id") +
           "\r\nX-Server-Seal: 3e1b.07\r\n";
}

std::string stream_head(message const& request)
{
    return "HTTP/1.1 200 OK\r\n" + answer_fields(request) +
           "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string make_event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: word\n\n";
}

std::string stream_request(std::string const& path, std::string const& id,
                           int deadline_ms)
{
    // Several shared parts, so that all servers get requests.
    std::size_t const subject = std::hash<std::string>()(id) % shared_parts;
    return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\n" +
           "X-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nX-Model: m0\r\nX-Token-Count: 826,73\r\n"
           "X-Prompt-Prefix: 5c1e07a" +
           std::to_string(subject) + ":198," + id +
           ":628\r\nContent-Length: 4\r\n\r\ntext";
}

int run_case(int argc, char** argv, std::function<int(record&)> const& run)
{
    if (argc != 2)
    {
        std::cerr << "usage: " << argv[0] << " FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        record log(std::string(argv[1]) + "/record.txt");
        return run(log);
    }
    catch (std::exception const& failure)
    {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}

shop::shop(record& log, std::function<void(connection&, int)> const& streams,
           json const& routes)
    : m_log(log), m_store(log), m_entry("external-ub-north-1", "ub-north",
                                        m_store.port(), sheet(), m_files.path())
{
    std::int64_t const born = unix_ms();
    for (int i = 0; i < order_servers; ++i)
    {
        m_servers.push_back(std::make_unique<server>(
            [this](connection& caller) { serve_orders(caller); }));
        m_store.put("servers", "order-" + std::to_string(i),
                    make_server_row("counter", m_servers.back()->address(),
                                    order_slots, born));
    }
    for (int i = 0; i < model_servers; ++i)
    {
        m_servers.push_back(std::make_unique<server>(
            [streams, i](connection& caller) { streams(caller, i); }));
        json row = make_server_row("scribe", m_servers.back()->address(),
                                   model_slots, born);
        row["models"] = json::array({{{"name", "m0"}, {"version", 1}}});
        m_store.put("servers", "model-" + std::to_string(i), row);
    }
    json all = routes;
    all.push_back(make_route("order", "/order/", "non_idempotent", "counter",
                             1500, 150, 1));
    json const engine = {{"kvCapacity", 106776},
                         {"models", json::array({{{"name", "m0"}}})}};
    m_store.put("op", "version/m0", {{"model", "m0"}, {"version", 1}});
    m_store.put(
        "op", "config",
        {{"version", 7},
         {"routes", all},
         {"services", json::array({{{"name", "scribe"}, {"engine", engine}},
                                   {{"name", "counter"}}})},
         {"limits",
          {{"maxHeaderBytes", 16384},
           {"maxBodyBytes", 4194304},
           {"headerTimeoutMs", 3000},
           {"idleTimeoutMs", 15000}}}});
}

shop::~shop()
{
    stop();
}

bool shop::start()
{
    m_entry.start({});
    bool const ready = wait_until([this] { return m_entry.is_ready(); }, 15s);
    m_log.add(ready ? "the instance is ready" : "the instance is not ready");
    return ready;
}

void shop::start_callers()
{
    for (int i = 0; i < callers; ++i)
    {
        run_thread([this, i] { send_orders(i); });
    }
}

void shop::run_thread(std::function<void()> run)
{
    m_threads.emplace_back(std::move(run));
}

void shop::stop()
{
    m_stopping = true;
    for (std::thread& item : m_threads)
    {
        item.join();
    }
    m_threads.clear();
    m_entry.kill();
    for (auto const& item : m_servers)
    {
        item->stop();
    }
    m_store.stop();
}

int shop::judge()
{
    m_log.add("orders: " + std::to_string(m_orders.m_sent) + " sent, " +
              std::to_string(m_orders.m_answered) + " answered, " +
              std::to_string(m_orders.m_lost) +
              " passed on and closed without an answer (" +
              std::to_string(max_lost) + " permitted)");
    if (m_orders.m_answered == 0)
    {
        return 2;
    }
    bool const is_broken = m_orders.m_lost > max_lost;
    m_log.add(is_broken ? "LOST is broken" : "LOST holds");
    return is_broken ? 1 : 0;
}

void shop::serve_orders(connection& caller)
{
    message request;
    while (caller.read_request(request) == end_kind::complete)
    {
        {
            std::lock_guard const lock(m_mutex);
            m_runs.insert(request.field("X-Attempt-Id"));
        }
        std::this_thread::sleep_for(work_time);
        if (!caller.write(make_answer(200, answer_fields(request),
                                      std::string(800, 'o'))))
        {
            return;
        }
    }
}

bool shop::has_run(std::string const& id)
{
    std::lock_guard const lock(m_mutex);
    return m_runs.contains(id);
}

void shop::send_orders(int number)
{
    // Spread over a round of work and pause, so that the callers do not all
    // pause at the same time.
    std::this_thread::sleep_for((work_time + pause_time) * number / callers);
    std::unique_ptr<connection> kept;
    int on_connection = 0;
    for (int i = 0; !m_stopping; ++i)
    {
        if (!kept)
        {
            kept = connection::open(m_entry.caller_port());
            on_connection = 0;
            if (!kept)
            {
                std::this_thread::sleep_for(100ms);
                continue;
            }
        }
        std::string const id =
            "order-" + std::to_string(number) + "-" + std::to_string(i);
        ++m_orders.m_sent;
        kept->write("POST /order/" + std::to_string(i) +
                    " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id +
                    "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nsale");
        message answer;
        end_kind const ended = kept->read_answer(answer, order_timeout);
        ++on_connection;
        if (ended == end_kind::complete)
        {
            ++m_orders.m_answered;
            std::this_thread::sleep_for(pause_time);
            continue;
        }
        bool const ran = has_run(id);
        bool const is_lost =
            ended == end_kind::no_bytes && ran && on_connection > 1;
        m_orders.m_lost += is_lost ? 1 : 0;
        m_log.add("caller: " + id + " ended without an answer, " +
                  (ran ? "has run" : "has not run") + ", request " +
                  std::to_string(on_connection) + " of its connection");
        kept.reset();
    }
}

} // namespace review
