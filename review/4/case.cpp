/** @file A model server ends some answers inside an event, with the last chunk;
 *  the instance passes them on as complete streams. */
#include "../tools/shop.hpp"

namespace
{

using namespace review;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto steady_time = 3s;
constexpr auto trouble_time = 5500ms;
constexpr auto calm_time = 2s;
constexpr int troubles = 2;
constexpr int events = 20;
constexpr int stream_callers = 12;

/** One answer in this many breaks off. */
constexpr int cut_interval = 50;

struct cutter
{
    std::atomic<bool> m_active = false;
    std::atomic<int> m_answers = 0;

    bool cuts_next()
    {
        return m_active && ++m_answers % cut_interval == 0;
    }
};

struct stream_counts
{
    std::atomic<int> m_complete = 0; ///< with all events
    std::atomic<int> m_cut = 0;      ///< the caller sees that they broke off
    std::atomic<int> m_false = 0;    ///< end as complete without all events
};

/** A model server: 20 events in 200 ms, from the one that is asked for. */
void serve_streams(connection& caller, cutter* fault, record& log)
{
    message request;
    while (caller.read_request(request) == end_kind::complete)
    {
        bool const is_cut = fault != nullptr && fault->cuts_next();
        caller.write(stream_head(request));
        for (int i = std::atoi(request.field("Last-Event-Id").c_str()) + 1;
             i <= events; ++i)
        {
            std::this_thread::sleep_for(10ms);
            std::string const event = make_event(i);
            if (is_cut && i == events / 2)
            {
                log.add("faulty server: broke off inside event " +
                        std::to_string(i) + " of " +
                        request.field("X-Attempt-Id"));
                caller.write(make_chunk(event.substr(0, event.size() - 4)));
                break;
            }
            caller.write(make_chunk(event));
        }
        if (!caller.write("0\r\n\r\n"))
        {
            return;
        }
    }
}

void send_streams(shop& deployment, std::string const& path, int number,
                  stream_counts& counts, record& log)
{
    std::string const last = make_event(events);
    for (int i = 0; !deployment.is_stopping(); ++i)
    {
        std::string const id =
            "stream-" + std::to_string(number) + "-" + std::to_string(i);
        auto const caller = connection::open(deployment.entry().caller_port());
        message answer;
        if (caller && caller->write(stream_request(path, id, 5000)))
        {
            end_kind const ended = caller->read_answer(answer, 5500ms);
            bool const is_success =
                ended == end_kind::complete && answer.status() == 200;
            bool const has_all = answer.m_body.ends_with(last);
            counts.m_complete += is_success && has_all ? 1 : 0;
            counts.m_cut += is_success ? 0 : 1;
            if (is_success && !has_all)
            {
                ++counts.m_false;
                std::string const end =
                    json(answer.m_body.substr(answer.m_body.size() - 10))
                        .dump();
                std::string line = "caller: " + id;
                line.append(" on ").append(path);
                line.append(" ended as complete with ").append(end);
                log.add(line);
            }
        }
        std::this_thread::sleep_for(20ms);
    }
}

int run(record& log)
{
    cutter fault;
    json const translate = make_route("translate", "/translate/", "streaming",
                                      "scribe", 15000, 800, 1);
    json caption =
        make_route("caption", "/caption/", "streaming", "scribe", 5000, 600, 2);
    caption["resumable"] = true;
    shop deployment(
        log,
        [&](connection& caller, int number)
        { serve_streams(caller, number == 0 ? &fault : nullptr, log); },
        json::array({translate, caption}));
    if (!deployment.start())
    {
        return 2;
    }
    stream_counts counts;
    for (int i = 0; i < stream_callers; ++i)
    {
        std::string const path = i % 2 == 0 ? "/translate/1" : "/caption/1";
        deployment.run_thread(
            [&, i, path] { send_streams(deployment, path, i, counts, log); });
    }
    std::this_thread::sleep_for(steady_time);
    for (int i = 0; i < troubles; ++i)
    {
        if (has_trouble())
        {
            log.add("trouble begins");
            fault.m_active = true;
        }
        std::this_thread::sleep_for(trouble_time);
        fault.m_active = false;
        log.add("trouble ends");
        std::this_thread::sleep_for(calm_time);
    }
    deployment.stop();
    log.add("streams: " + std::to_string(counts.m_complete) + " complete, " +
            std::to_string(counts.m_cut) + " broken off, as the caller sees, " +
            std::to_string(counts.m_false) +
            " ended as complete before their last event (0 permitted)");
    if (counts.m_complete == 0)
    {
        return 2;
    }
    log.add(counts.m_false > 0 ? "ORDER is broken" : "ORDER holds");
    return counts.m_false > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &run);
}
