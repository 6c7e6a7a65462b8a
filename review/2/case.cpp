/** @file A server starts again with another software version and leaves soon
 *  after; streams that the new version began go on at the old one. */
#include "../tools/shop.hpp"

#include <memory>

namespace
{

using namespace review;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr int model_slots = 48;
constexpr int rounds = 3;
constexpr int streams = 49;
constexpr std::size_t model_servers = 7;
constexpr int events = 40;
constexpr auto event_interval = 100ms;
constexpr int deadline_ms = 5000;

/** Streams of two versions that the rule permits. */
constexpr int max_mixed = 2;

constexpr auto heartbeat = 1200ms;
constexpr auto steady_time = 2s;

/** From the end of the old process to the start of the new one. */
constexpr auto down_time = 300ms;

/** From the start of the new process on. */
constexpr auto streams_after = 50ms;
constexpr auto removed_after = 1s;

/** drainMs of the sheet, and a little longer. */
constexpr auto serves_on_for = 2300ms;
constexpr auto end_after = 5200ms;

/** A model server: a process may follow another under the same id. */
class model_server
{
public:
    model_server(std::string id, store& rows, record& log)
        : m_id(std::move(id)), m_rows(rows), m_log(log),
          m_server([this](connection& caller) { serve(caller); })
    {
    }

    /** A process of this software starts. */
    void start(std::string const& software)
    {
        m_software = software;
        m_born = unix_ms();
        ++m_process;
        m_up = true;
        m_log.add(m_id + ": a process of " + software + " starts");
        beat();
    }

    void end()
    {
        m_up = false;
        ++m_process;
        m_log.add(m_id + ": its process has ended");
    }

    void beat()
    {
        if (!m_up || m_leaves)
        {
            return;
        }
        json row =
            make_server_row("scribe", m_server.address(), model_slots, m_born);
        row["version"] = m_software;
        row["sequence"] = ++m_beats;
        row["models"] = json::array({{{"name", "m0"}, {"version", 1}}});
        m_rows.put("servers", m_id, row);
        m_last_beat = clock::now();
    }

    /** The server leaves; it never says that it drains. */
    void remove_row()
    {
        m_leaves = true;
        m_rows.erase("servers", m_id);
        m_log.add("its row is removed: " + m_id);
    }

    clock::time_point last_beat() const
    {
        return m_last_beat;
    }

    void stop()
    {
        m_server.stop();
    }

private:
    void serve(connection& caller)
    {
        int const process = m_process;
        message request;
        while (m_up && process == m_process &&
               caller.read_request(request) == end_kind::complete)
        {
            if (process != m_process || !m_up)
            {
                return;
            }
            std::string const software = m_software;
            m_log.add(m_id + " (" + software + "): runs " +
                      request.field("X-Attempt-Id") + " after event " +
                      request.field("Last-Event-Id"));
            caller.write(stream_head(request));
            for (int i = std::atoi(request.field("Last-Event-Id").c_str()) + 1;
                 i <= events; ++i)
            {
                std::this_thread::sleep_for(event_interval);
                if (process != m_process ||
                    !caller.write(make_chunk("id: " + std::to_string(i) +
                                             "\ndata: " + software + "\n\n")))
                {
                    return;
                }
            }
            if (!caller.write("0\r\n\r\n"))
            {
                return;
            }
        }
    }

    std::string m_id;
    store& m_rows;
    record& m_log;
    std::string m_software;
    std::int64_t m_born = 0;
    int m_beats = 0;
    std::atomic<int> m_process = 0;
    std::atomic<bool> m_up = false;
    bool m_leaves = false;
    clock::time_point m_last_beat;
    server m_server;
};

struct stream
{
    std::string m_id;
    int m_status = 0;
    bool m_ended = false; ///< as its framing says
    std::string m_bytes;
};

int last_event(std::string const& bytes)
{
    std::size_t const end = bytes.rfind("\n\n");
    std::size_t const begin =
        end == std::string::npos ? end : bytes.rfind("id: ", end);
    return begin == std::string::npos ? 0
                                      : std::atoi(bytes.c_str() + begin + 4);
}

void ask(instance const& entry, stream& item)
{
    auto const caller = connection::open(entry.caller_port());
    message answer;
    if (caller &&
        caller->write(stream_request("/caption/1", item.m_id, deadline_ms)))
    {
        item.m_ended = caller->read_answer(answer, milliseconds(deadline_ms)) ==
                       end_kind::complete;
        item.m_status = answer.status();
        item.m_bytes = answer.m_body;
    }
}

json make_configuration()
{
    json route = make_route("caption", "/caption/", "streaming", "scribe",
                            deadline_ms, 600, 2);
    route["resumable"] = true;
    json const engine = {{"kvCapacity", 106776},
                         {"models", json::array({{{"name", "m0"}}})}};
    return {
        {"version", 7},
        {"routes", json::array({route})},
        {"services", json::array({{{"name", "scribe"}, {"engine", engine}}})},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}}};
}

/** @return exit status of the case */
int judge(std::vector<stream> const& items, record& log)
{
    int mixed = 0;
    int whole = 0;
    for (stream const& item : items)
    {
        bool const is_mixed = item.m_bytes.find("v1") != std::string::npos &&
                              item.m_bytes.find("v2") != std::string::npos;
        bool const is_whole =
            item.m_ended && last_event(item.m_bytes) == events;
        mixed += is_mixed ? 1 : 0;
        whole += is_whole ? 1 : 0;
        std::string line = "caller: " + item.m_id + ", ";
        line += std::to_string(item.m_status) + ", last event ";
        line += std::to_string(last_event(item.m_bytes));
        line += is_whole ? ", whole" : ", cut";
        line += is_mixed ? ", events of two software versions" : "";
        log.add(line);
    }
    log.add(std::to_string(whole) + " of " + std::to_string(streams) +
            " streams whole, " + std::to_string(mixed) +
            " with events of two software versions (" +
            std::to_string(max_mixed) + " permitted)");
    log.add(mixed > max_mixed ? "ORDER is broken" : "ORDER holds");
    return whole == 0 ? 2 : mixed > max_mixed ? 1 : 0;
}

/** @return exit status of a round */
int play(record& log)
{
    temporary_folder files;
    store rows(log);
    std::vector<std::unique_ptr<model_server>> servers;
    for (std::size_t i = 0; i < model_servers; ++i)
    {
        servers.push_back(std::make_unique<model_server>(
            "model-" + std::to_string(i), rows, log));
        servers.back()->start("v1");
    }
    model_server& upgraded = *servers.front();
    rows.put("op", "version/m0", {{"model", "m0"}, {"version", 1}});
    rows.put("op", "config", make_configuration());
    instance entry("external-ub-north-1", "ub-north", rows.port(), sheet(),
                   files.path());
    entry.start({});
    if (!wait_until([&] { return entry.is_ready(); }, 15s))
    {
        return 2;
    }
    auto const beat_until = [&](clock::time_point until)
    {
        while (clock::now() < until)
        {
            for (auto const& item : servers)
            {
                if (clock::now() - item->last_beat() >= heartbeat)
                {
                    item->beat();
                }
            }
            std::this_thread::sleep_for(5ms);
        }
    };
    beat_until(clock::now() + steady_time);
    if (has_trouble())
    {
        upgraded.end();
        beat_until(clock::now() + down_time);
        upgraded.start("v2");
    }
    clock::time_point const up = clock::now();
    beat_until(up + streams_after);
    std::vector<stream> items(streams);
    std::vector<std::thread> threads;
    threads.reserve(streams);
    for (stream& item : items)
    {
        item.m_id = "stream-" + std::to_string(threads.size());
        threads.emplace_back([&entry, &item] { ask(entry, item); });
    }
    beat_until(up + removed_after);
    if (has_trouble())
    {
        upgraded.remove_row();
    }
    beat_until(up + removed_after + serves_on_for);
    if (has_trouble())
    {
        upgraded.end();
    }
    beat_until(up + end_after);
    for (std::thread& item : threads)
    {
        item.join();
    }
    entry.kill();
    for (auto const& item : servers)
    {
        item->stop();
    }
    rows.stop();
    return judge(items, log);
}

/** Where the instance reads the list of servers between the start of the new
 *  process and the streams, there is nothing to see; then another round. */
int run(record& log)
{
    int result = 0;
    for (int i = 0; i < rounds && result == 0; ++i)
    {
        log.add("round " + std::to_string(i + 1));
        result = play(log);
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &run);
}
