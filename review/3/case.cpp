/** @file A model server spoils some answers with an event that has a very long
 *  id, and breaks off; the instance ends by a fault in its memory. */
#include "../tools/shop.hpp"

namespace
{

using namespace review;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto steady_time = 3s;
constexpr auto trouble_time = 5500ms;
constexpr auto calm_time = 3s;
constexpr int troubles = 2;
constexpr auto restart_delay = 500ms;
constexpr int events = 20;
constexpr int stream_callers = 22;

/** Callers abandon a stream of this route after a pause of 2.4 s; the pause
 *  begins within the first 200 ms. */
constexpr auto abandon_after = 2600ms;

/** One answer in this many is spoiled. */
constexpr int spoiled_interval = 50;

/** Length of the spoiled id, bytes. */
constexpr std::size_t spoiled_length = 70000;

struct spoiler
{
    std::atomic<bool> m_active = false;
    std::atomic<int> m_answers = 0;

    bool spoils_next()
    {
        return m_active && ++m_answers % spoiled_interval == 0;
    }
};

/** A model server: 20 events in 200 ms, from the one that is asked for. */
void serve_streams(connection& caller, spoiler* wrong, record& log)
{
    message request;
    while (caller.read_request(request) == end_kind::complete)
    {
        bool const is_spoiled = wrong != nullptr && wrong->spoils_next();
        caller.write(stream_head(request));
        for (int i = std::atoi(request.field("Last-Event-Id").c_str()) + 1;
             i <= events; ++i)
        {
            std::this_thread::sleep_for(10ms);
            if (is_spoiled && i == events / 2)
            {
                log.add("faulty server: wrong bytes for " +
                        request.field("X-Attempt-Id"));
                caller.write(make_chunk(
                    "id: " + std::string(spoiled_length, '7') + "\n\n"));
                return;
            }
            caller.write(make_chunk(make_event(i)));
        }
        if (!caller.write("0\r\n\r\n"))
        {
            return;
        }
    }
}

/** Reads one stream and abandons it at a long pause. */
void read_stream(shop& deployment, std::string const& id)
{
    auto const caller = connection::open(deployment.entry().caller_port());
    if (caller)
    {
        caller->write(stream_request("/caption/1", id, 5000));
        message answer;
        caller->read_answer(answer, abandon_after);
    }
}

void send_streams(shop& deployment, int number)
{
    for (int i = 0; !deployment.is_stopping(); ++i)
    {
        read_stream(deployment, "caption-" + std::to_string(number) + "-" +
                                    std::to_string(i));
        std::this_thread::sleep_for(20ms);
    }
}

/** The platform starts a process again that has ended. */
void restart(shop& deployment, std::atomic<int>& ends, record& log)
{
    while (!deployment.is_stopping())
    {
        if (deployment.entry().has_ended())
        {
            ++ends;
            log.add("platform: the process has ended by itself");
            std::this_thread::sleep_for(restart_delay);
            deployment.entry().start({});
        }
        std::this_thread::sleep_for(10ms);
    }
}

int run(record& log)
{
    spoiler wrong;
    json route =
        make_route("caption", "/caption/", "streaming", "scribe", 5000, 600, 2);
    route["resumable"] = true;
    shop deployment(
        log,
        [&](connection& caller, int number)
        { serve_streams(caller, number == 0 ? &wrong : nullptr, log); },
        json::array({route}));
    if (!deployment.start())
    {
        return 2;
    }
    std::atomic<int> ends = 0;
    deployment.start_callers();
    for (int i = 0; i < stream_callers; ++i)
    {
        deployment.run_thread([&, i] { send_streams(deployment, i); });
    }
    deployment.run_thread([&] { restart(deployment, ends, log); });
    std::this_thread::sleep_for(steady_time);
    for (int i = 0; i < troubles; ++i)
    {
        if (has_trouble())
        {
            log.add("trouble begins");
            wrong.m_active = true;
        }
        std::this_thread::sleep_for(trouble_time);
        wrong.m_active = false;
        log.add("trouble ends");
        std::this_thread::sleep_for(calm_time);
    }
    deployment.stop();
    log.add("the process ended by itself " + std::to_string(ends) + " times");
    return deployment.judge();
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &run);
}
