/** @file All instances but one are killed at once; callers take up their
 *  streams at the one that is left, which refuses most of them. */
#include "../tools/shop.hpp"

#include <algorithm>
#include <csignal>
#include <memory>
#include <random>

namespace
{

using namespace review;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr int zones = 4;
constexpr int instances_per_zone = 4;
constexpr int instances = zones * instances_per_zone;
constexpr int streams_per_instance = 28;
constexpr int new_streams = 40;
constexpr int model_servers = 10;
constexpr int model_slots = 48;
constexpr int events = 40;
constexpr auto event_interval = 100ms;
constexpr int deadline_ms = 5000;

/** Retries of a caller, as on the sheet; each at any instance. */
constexpr int tries = 1;
constexpr auto pause_between_tries = 100ms;

constexpr auto heartbeat = 1200ms;
constexpr auto steady_time = 5s;
constexpr auto kill_after = 1500ms;
constexpr auto down_time = 1s;

/** Streams that the rule needs. */
constexpr int min_taken_up = 12;

/** A model server of one software version. */
class model_server
{
public:
    model_server(std::string id, std::string software, store& rows, record& log)
        : m_id(std::move(id)), m_software(std::move(software)), m_rows(rows),
          m_log(log), m_server([this](connection& caller) { serve(caller); })
    {
        beat();
    }

    void beat()
    {
        json row =
            make_server_row("scribe", m_server.address(), model_slots, m_born);
        row["version"] = m_software;
        row["sequence"] = ++m_beats;
        row["models"] = json::array({{{"name", "m0"}, {"version", 1}}});
        m_rows.put("servers", m_id, row);
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
            m_log.add(m_id + " (" + m_software + "): runs " +
                      request.field("X-Attempt-Id") + " after event " +
                      request.field("Last-Event-Id"));
            caller.write(stream_head(request));
            for (int i = std::atoi(request.field("Last-Event-Id").c_str()) + 1;
                 i <= events; ++i)
            {
                std::this_thread::sleep_for(event_interval);
                if (!caller.write(make_chunk("id: " + std::to_string(i) +
                                             "\ndata: " + m_software + "\n\n")))
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
    std::string m_software;
    store& m_rows;
    record& m_log;
    std::int64_t m_born = unix_ms();
    int m_beats = 0;
    server m_server;
};

/** A stream over all tries of its caller. */
struct stream
{
    std::string m_id;
    int m_instance = 0; ///< of the first try
    std::string m_bytes;
    bool m_broke = false;
    bool m_taken_up = false; ///< at the instance that is left
    bool m_went_on = false;
    std::string m_outcomes;
};

int last_event(std::string const& bytes)
{
    std::size_t const end = bytes.rfind("\n\n");
    std::size_t const begin =
        end == std::string::npos ? end : bytes.rfind("id: ", end);
    return begin == std::string::npos ? 0
                                      : std::atoi(bytes.c_str() + begin + 4);
}

/** @return the request of a stream that is taken up */
std::string take_up_request(stream const& item, std::string const& id,
                            milliseconds left)
{
    std::string request =
        stream_request("/caption/1", item.m_id, static_cast<int>(left.count()));
    std::string const field = "X-Attempt-Id: ";
    request.replace(request.find(field) + field.size(), item.m_id.size(),
                    id + "\r\nResumes: " + item.m_id + "\r\nLast-Event-Id: " +
                        std::to_string(last_event(item.m_bytes)));
    return request;
}

class fleet
{
public:
    explicit fleet(record& log) : m_log(log), m_store(log)
    {
        for (int i = 0; i < model_servers; ++i)
        {
            m_servers.push_back(std::make_unique<model_server>(
                "model-" + std::to_string(i), i % 2 == 0 ? "v1" : "v2", m_store,
                log));
        }
        m_store.put("op", "version/m0", {{"model", "m0"}, {"version", 1}});
        m_store.put("op", "config", make_configuration());
        for (int i = 0; i < instances; ++i)
        {
            std::string const zone =
                "zone-" + std::to_string(i / instances_per_zone);
            m_instances.push_back(std::make_unique<instance>(
                "external-" + zone + "-" + std::to_string(i), zone,
                m_store.port(), sheet(), m_files.path()));
        }
    }

    ~fleet()
    {
        for (auto const& item : m_instances)
        {
            item->kill();
        }
        for (auto const& item : m_servers)
        {
            item->stop();
        }
        m_store.stop();
    }

    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    bool start()
    {
        for (auto const& item : m_instances)
        {
            item->start(seeds());
        }
        return wait_until(
            [this]
            {
                return std::all_of(m_instances.begin(), m_instances.end(),
                                   [](auto const& item)
                                   { return item->is_ready(); });
            },
            30s);
    }

    void kill_all_but_first()
    {
        m_log.add("platform: kills " + std::to_string(instances - 1) + " of " +
                  std::to_string(instances) + " processes");
        for (int i = 1; i < instances; ++i)
        {
            m_instances[static_cast<std::size_t>(i)]->signal(SIGKILL);
        }
    }

    void restart()
    {
        m_log.add("platform: starts them again");
        for (int i = 1; i < instances; ++i)
        {
            instance& item = *m_instances[static_cast<std::size_t>(i)];
            item.kill();
            item.start(seeds());
        }
    }

    void beat_until(clock::time_point until)
    {
        while (clock::now() < until)
        {
            if (clock::now() - m_last_beat >= heartbeat)
            {
                m_last_beat = clock::now();
                for (auto const& item : m_servers)
                {
                    item->beat();
                }
            }
            std::this_thread::sleep_for(5ms);
        }
    }

    int caller_port(int number) const
    {
        return m_instances[static_cast<std::size_t>(number)]->caller_port();
    }

private:
    std::vector<std::string> seeds() const
    {
        return {m_instances[1]->peer_address(), m_instances[5]->peer_address(),
                m_instances[9]->peer_address()};
    }

    static json make_configuration()
    {
        json route = make_route("caption", "/caption/", "streaming", "scribe",
                                deadline_ms, 600, 2);
        route["resumable"] = true;
        json const engine = {{"kvCapacity", 106776},
                             {"models", json::array({{{"name", "m0"}}})}};
        return {{"version", 7},
                {"routes", json::array({route})},
                {"services",
                 json::array({{{"name", "scribe"}, {"engine", engine}}})},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 4194304},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}}};
    }

    record& m_log;
    temporary_folder m_files;
    store m_store;
    std::vector<std::unique_ptr<model_server>> m_servers;
    std::vector<std::unique_ptr<instance>> m_instances;
    clock::time_point m_last_beat;
};

/** Takes a stream up once. @return whether the caller is done with it */
bool take_up(fleet const& all, stream& item, int number, int place,
             milliseconds left)
{
    auto const caller = connection::open(all.caller_port(place));
    std::string const id = item.m_id + "-" + std::to_string(number);
    int const before = last_event(item.m_bytes);
    message answer;
    if (!caller || !caller->write(take_up_request(item, id, left)))
    {
        item.m_outcomes += " refused";
        return false;
    }
    caller->read_answer(answer, left);
    if (answer.m_start.empty())
    {
        item.m_outcomes += " closed";
        return false;
    }
    item.m_outcomes += " " + std::to_string(answer.status());
    item.m_outcomes += place == 0 ? "@0" : "";
    item.m_taken_up = item.m_taken_up || place == 0;
    if (answer.status() != 200)
    {
        return false;
    }
    item.m_bytes += answer.m_body;
    item.m_went_on = last_event(item.m_bytes) > before;
    return true;
}

/** @param breaks_at when the caller itself breaks its connection */
void read_stream(fleet const& all, stream& item, clock::time_point breaks_at)
{
    clock::time_point const until = clock::now() + milliseconds(deadline_ms);
    {
        auto const caller = connection::open(all.caller_port(item.m_instance));
        if (!caller || !caller->write(stream_request("/caption/1", item.m_id,
                                                     deadline_ms)))
        {
            return;
        }
        message answer;
        end_kind const ended = caller->read_answer(
            answer, std::chrono::duration_cast<milliseconds>(
                        std::min(until, breaks_at) - clock::now()));
        item.m_bytes = answer.m_body;
        item.m_broke =
            ended != end_kind::complete && last_event(item.m_bytes) > 0;
    }
    if (!item.m_broke)
    {
        return;
    }
    std::mt19937 random(std::random_device{}());
    for (int i = 1; i <= tries; ++i)
    {
        // Without the trouble the callers go to the same instance at once.
        int const place =
            has_trouble() ? static_cast<int>(random() % instances) : 0;
        auto const left =
            std::chrono::duration_cast<milliseconds>(until - clock::now());
        if (left < 500ms || take_up(all, item, i, place, left))
        {
            return;
        }
        std::this_thread::sleep_for(pause_between_tries);
    }
}

bool begins(fleet const& all, std::string const& id)
{
    auto const caller = connection::open(all.caller_port(0));
    message answer;
    if (caller && caller->write(stream_request("/caption/1", id, deadline_ms)))
    {
        caller->read_answer(answer, 1500ms);
    }
    return last_event(answer.m_body) > 0;
}

int judge(std::vector<stream> const& items, int begun, record& log)
{
    int broke = 0;
    int taken_up = 0;
    int went_on = 0;
    for (stream const& item : items)
    {
        broke += item.m_broke ? 1 : 0;
        taken_up += item.m_taken_up ? 1 : 0;
        went_on += item.m_taken_up && item.m_went_on ? 1 : 0;
        log.add("caller: " + item.m_id + " of instance " +
                std::to_string(item.m_instance) + ", tries:" + item.m_outcomes +
                ", last event " + std::to_string(last_event(item.m_bytes)));
    }
    log.add(
        "new streams at the instance that is left: " + std::to_string(begun) +
        " of " + std::to_string(new_streams) + " begin");
    log.add("streams: " + std::to_string(broke) + " broke, " +
            std::to_string(taken_up) +
            " taken up at the instance that is "
            "left, " +
            std::to_string(went_on) + " of them go on");
    if (begun == 0 || taken_up < min_taken_up)
    {
        return 2;
    }
    bool const is_broken =
        2.0 * went_on / taken_up < static_cast<double>(begun) / new_streams;
    log.add(is_broken ? "LOST is broken" : "LOST holds");
    return is_broken ? 1 : 0;
}

int run(record& log)
{
    fleet all(log);
    if (!all.start())
    {
        return 2;
    }
    all.beat_until(clock::now() + steady_time);
    clock::time_point const began = clock::now();
    clock::time_point const breaks_at =
        has_trouble() ? clock::time_point::max() : began + kill_after;
    std::vector<stream> items;
    for (int i = 1; i < instances; ++i)
    {
        for (int j = 0; j < streams_per_instance; ++j)
        {
            items.push_back({"stream-" + std::to_string(items.size()),
                             i,
                             {},
                             false,
                             false,
                             false,
                             {}});
        }
    }
    std::vector<std::thread> threads;
    threads.reserve(items.size() + new_streams);
    for (stream& item : items)
    {
        threads.emplace_back([&, breaks_at]
                             { read_stream(all, item, breaks_at); });
    }
    all.beat_until(began + kill_after);
    if (has_trouble())
    {
        all.kill_all_but_first();
    }
    std::atomic<int> begun = 0;
    for (int i = 0; i < new_streams; ++i)
    {
        threads.emplace_back(
            [&, i]
            { begun += begins(all, "new-" + std::to_string(i)) ? 1 : 0; });
        all.beat_until(clock::now() + 20ms);
    }
    all.beat_until(began + kill_after + down_time);
    if (has_trouble())
    {
        all.restart();
    }
    all.beat_until(began + milliseconds(deadline_ms) + 500ms);
    for (std::thread& item : threads)
    {
        item.join();
    }
    return judge(items, begun, log);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &run);
}
