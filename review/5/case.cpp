/** @file All processes are killed; streams of before are refused when their
 *  callers take them up again. */
#include "../tools/shop.hpp"

#include <array>

namespace
{

using namespace review;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr int events = 73;
constexpr auto event_interval = 100ms;
constexpr int streams = 20;
constexpr int deadline_ms = 15000;

/** The instance runs for this long before the streams begin. */
constexpr auto steady_time = 5s;

/** Time of the streams before they break. */
constexpr auto first_part = 1500ms;

constexpr auto restart_delay = 800ms;

/** When callers take a stream up again, after it broke. The machine is in touch
 *  at the last one: stableMs has passed since its start. */
constexpr std::array<milliseconds, 3> take_up_at{1500ms, 3000ms, 5000ms};

struct stream
{
    std::string m_id;
    int m_last = 0; ///< id of its last event
    int m_status = 0;
    bool m_whole = false; ///< ended with its last event
};

/** A model server that goes on after Last-Event-Id. */
void serve_streams(connection& caller)
{
    message request;
    while (caller.read_request(request) == end_kind::complete)
    {
        caller.write(stream_head(request));
        for (int i = std::atoi(request.field("Last-Event-Id").c_str()) + 1;
             i <= events; ++i)
        {
            std::this_thread::sleep_for(event_interval);
            if (!caller.write(make_chunk(make_event(i))))
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

/** @return id of the last whole event in the bytes of a stream; 0: none */
int last_event(std::string const& bytes)
{
    std::size_t const end = bytes.rfind("\n\n");
    std::size_t const begin =
        end == std::string::npos ? end : bytes.rfind("id: ", end);
    return begin == std::string::npos ? 0
                                      : std::atoi(bytes.c_str() + begin + 4);
}

/** Sends a request for a stream and reads the answer. */
void read_stream(shop& deployment, stream& item, std::string const& request,
                 milliseconds timeout)
{
    auto const caller = connection::open(deployment.entry().caller_port());
    message answer;
    item.m_status = 0;
    item.m_whole = false;
    if (caller && caller->write(request))
    {
        bool const ended =
            caller->read_answer(answer, timeout) == end_kind::complete;
        item.m_status = answer.status();
        item.m_whole = ended && answer.m_body.ends_with(make_event(events));
        item.m_last = std::max(item.m_last, last_event(answer.m_body));
    }
}

/** Takes a stream up again until it goes on. */
void take_up(shop& deployment, stream& item, clock::time_point began,
             clock::time_point broke)
{
    for (std::size_t i = 0; i < take_up_at.size() && item.m_status != 200; ++i)
    {
        std::this_thread::sleep_until(broke + take_up_at[i]);
        auto const left =
            milliseconds(deadline_ms) -
            std::chrono::duration_cast<milliseconds>(clock::now() - began);
        std::string request =
            stream_request("/translate/1", item.m_id + "-" + std::to_string(i),
                           static_cast<int>(left.count()));
        request.insert(request.find("X-Model"),
                       "Resumes: " + item.m_id + "\r\nLast-Event-Id: " +
                           std::to_string(item.m_last) + "\r\n");
        read_stream(deployment, item, request, left);
    }
}

std::vector<stream> make_streams(std::string const& name)
{
    std::vector<stream> items(streams);
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        items[i].m_id = name + "-" + std::to_string(i);
    }
    return items;
}

/** Runs a function for each stream, in threads of their own. */
std::vector<std::thread> for_each(std::vector<stream>& items,
                                  std::function<void(stream&)> const& run_one)
{
    std::vector<std::thread> threads;
    threads.reserve(items.size());
    for (stream& item : items)
    {
        threads.emplace_back([run_one, &item] { run_one(item); });
    }
    return threads;
}

void join(std::vector<std::thread>& threads)
{
    for (std::thread& item : threads)
    {
        item.join();
    }
}

int judge(std::vector<stream> const& broken, std::vector<stream> const& fresh,
          record& log)
{
    int went_on = 0;
    int began = 0;
    for (stream const& item : broken)
    {
        went_on += item.m_whole ? 1 : 0;
        log.add("caller: " + item.m_id + ", last event " +
                std::to_string(item.m_last) + ", last answer " +
                std::to_string(item.m_status));
    }
    for (stream const& item : fresh)
    {
        began += item.m_status == 200 ? 1 : 0;
    }
    log.add("of " + std::to_string(streams) + " streams that were taken up " +
            std::to_string(went_on) + " went on; of " +
            std::to_string(streams) + " new ones " + std::to_string(began) +
            " began");
    if (began == 0)
    {
        return 2;
    }
    bool const is_broken = went_on * 2 < began;
    log.add(is_broken ? "LOST is broken" : "LOST holds");
    return is_broken ? 1 : 0;
}

int run(record& log)
{
    json route = make_route("translate", "/translate/", "streaming", "scribe",
                            deadline_ms, 800, 2);
    route["resumable"] = true;
    shop deployment(
        log, [](connection& caller, int) { serve_streams(caller); },
        json::array({route}));
    if (!deployment.start())
    {
        return 2;
    }
    std::this_thread::sleep_for(steady_time);
    std::vector<stream> broken = make_streams("stream");
    clock::time_point const began = clock::now();
    std::vector<std::thread> threads = for_each(
        broken,
        [&](stream& item)
        {
            read_stream(deployment, item,
                        stream_request("/translate/1", item.m_id, deadline_ms),
                        first_part);
        });
    if (has_trouble())
    {
        std::this_thread::sleep_until(began + first_part - 100ms);
        deployment.entry().kill();
        log.add("all processes of the system are killed");
    }
    join(threads);
    clock::time_point const broke = clock::now();
    log.add("the streams have lost their connections");
    for (stream& item : broken)
    {
        item.m_status = 0;
    }
    if (has_trouble())
    {
        std::this_thread::sleep_until(broke + restart_delay);
        deployment.entry().start({});
        log.add("the process is started again");
    }
    threads = for_each(broken, [&](stream& item)
                       { take_up(deployment, item, began, broke); });
    std::this_thread::sleep_until(broke + take_up_at.back());
    log.add(deployment.entry().is_ready() ? "the instance is ready"
                                          : "the instance is not ready");
    std::vector<stream> fresh = make_streams("new");
    std::vector<std::thread> others = for_each(
        fresh,
        [&](stream& item)
        {
            read_stream(deployment, item,
                        stream_request("/translate/1", item.m_id, deadline_ms),
                        2s);
        });
    join(others);
    join(threads);
    deployment.stop();
    return judge(broken, fresh, log);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &run);
}
