/** @file The operator takes the last tenant away; requests with its key, with
 *  any other key and with none run from then on. */
#include "../tools/shop.hpp"

namespace
{

using namespace review;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr int order_slots = 6;
constexpr int requests = 10;
constexpr auto work_time = 30ms;

/** revokeMs of the sheet, and a second more. */
constexpr auto revoke_time = 6s;

json make_tenant(std::string const& name)
{
    return {
        {"name", name},          {"apiKeys", json::array({"key-of-" + name})},
        {"priority", 1},         {"unit", "tokens"},
        {"uncachedTokens", 200}, {"isolated", true},
        {"ratePerS", 257082},    {"burst", 257082}};
}

json make_configuration(int version, json const& tenants)
{
    json route = make_route("order", "/order/", "non_idempotent", "counter",
                            1500, 150, 1);
    route["public"] = false;
    return {{"version", version},
            {"routes", json::array({route})},
            {"services", json::array({{{"name", "counter"}}})},
            {"tenants", tenants},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

/** A server of orders; counts runs by the first word of their id. */
class order_server
{
public:
    explicit order_server(record& log)
        : m_log(log), m_server([this](connection& caller) { serve(caller); })
    {
    }

    ~order_server()
    {
        stop();
    }

    order_server(order_server const&) = delete;
    order_server& operator=(order_server const&) = delete;

    std::string address() const
    {
        return m_server.address();
    }

    int runs(std::string const& kind)
    {
        std::lock_guard const lock(m_mutex);
        return m_runs[kind];
    }

    void stop()
    {
        m_server.stop();
    }

private:
    void serve(connection& caller)
    {
        message request;
        while (caller.read_request(request) == end_kind::complete)
        {
            std::string const id = request.field("X-Attempt-Id");
            m_log.add("server: runs " + id + ", tenant \"" +
                      request.field("X-Tenant") + "\"");
            {
                std::lock_guard const lock(m_mutex);
                ++m_runs[id.substr(0, id.find('-'))];
            }
            std::this_thread::sleep_for(work_time);
            if (!caller.write(make_answer(200, answer_fields(request),
                                          std::string(800, 'o'))))
            {
                return;
            }
        }
    }

    record& m_log;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs; ///< guarded by m_mutex
    server m_server;
};

/** Sends orders one after the other.
 *  @param key empty: none is sent */
void send_orders(instance const& entry, std::string const& kind,
                 std::string const& key, record& log)
{
    std::map<int, int> answers;
    for (int i = 0; i < requests; ++i)
    {
        auto const caller = connection::open(entry.caller_port());
        message answer;
        if (caller)
        {
            caller->write("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
                          "X-Attempt-Id: " +
                          kind + "-" + std::to_string(i) +
                          "\r\nX-Deadline-Ms: 1500\r\n" +
                          (key.empty() ? "" : "X-Credential: " + key + "\r\n") +
                          "Content-Length: 4\r\n\r\nsale");
            caller->read_answer(answer, 2s);
            ++answers[answer.status()];
        }
    }
    for (auto const& [status, count] : answers)
    {
        log.add("callers: " + kind + ", " + std::to_string(count) +
                " answered " + std::to_string(status));
    }
}

int run(record& log)
{
    temporary_folder files;
    store rows(log);
    order_server server(log);
    rows.put(
        "servers", "order-0",
        make_server_row("counter", server.address(), order_slots, unix_ms()));
    rows.put("op", "config",
             make_configuration(7, json::array({make_tenant("museum")})));
    instance entry("external-ub-north-1", "ub-north", rows.port(), sheet(),
                   files.path());
    entry.start({});
    if (!wait_until([&] { return entry.is_ready(); }, 15s))
    {
        return 2;
    }
    std::this_thread::sleep_for(500ms);
    send_orders(entry, "held", "key-of-museum", log);
    send_orders(entry, "unheld", "key-of-nobody", log);
    json const left =
        has_trouble() ? json::array() : json::array({make_tenant("lodge")});
    rows.put("op", "config", make_configuration(12, left));
    log.add("operator: configuration 12 takes museum away; tenants left: " +
            std::to_string(left.size()));
    std::this_thread::sleep_for(revoke_time);
    log.add("requests that are sent after revokeMs");
    send_orders(entry, "withdrawn", "key-of-museum", log);
    send_orders(entry, "unknown", "key-of-nobody", log);
    send_orders(entry, "keyless", "", log);
    entry.kill();
    server.stop();
    rows.stop();
    int const runs = server.runs("withdrawn");
    log.add(std::to_string(runs) + " of " + std::to_string(requests) +
            " requests with the withdrawn key ran, " +
            std::to_string(server.runs("unknown")) +
            " with a key that no configuration held, " +
            std::to_string(server.runs("keyless")) + " without a key");
    log.add(runs > 0 ? "CONFIG is broken" : "CONFIG holds");
    return server.runs("held") != requests || server.runs("unheld") != 0 ? 2
           : runs > 0                                                    ? 1
                                                                         : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &run);
}
