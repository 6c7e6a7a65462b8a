/** @file A model server sends bytes without end where the size of a chunk is
 *  due; the instance keeps them all. */
#include "../tools/shop.hpp"

namespace
{

using namespace review;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto steady_time = 4s;
constexpr auto trouble_time = 8s;
constexpr auto restart_delay = 500ms;
constexpr int events = 20;

/** What an instance's own link carries, bytes a second: 700 Mbit/s. */
constexpr double link_rate = 700e6 / 8;

void send_without_end(connection& caller, record& log)
{
    std::string const bytes(64 << 10, 'x');
    std::size_t sent = 0;
    clock::time_point const began = clock::now();
    while (caller.write(bytes))
    {
        sent += bytes.size();
        std::chrono::duration<double> const due(static_cast<double>(sent) /
                                                link_rate);
        std::this_thread::sleep_until(
            began + std::chrono::duration_cast<clock::duration>(due));
    }
    log.add("server in trouble: the caller closed after " +
            std::to_string(sent) + " bytes");
}

/** A model server: 20 events in 400 ms. In trouble, a head and then bytes
 *  without a line end until the caller closes. */
void serve_streams(connection& caller, bool may_fail,
                   std::atomic<bool> const& in_trouble, record& log)
{
    message request;
    while (caller.read_request(request) == end_kind::complete)
    {
        caller.write(stream_head(request));
        if (may_fail && in_trouble)
        {
            log.add("server in trouble: bytes without end for " +
                    request.field("X-Attempt-Id"));
            send_without_end(caller, log);
            return;
        }
        for (int i = 1; i <= events; ++i)
        {
            std::this_thread::sleep_for(20ms);
            caller.write(make_chunk(make_event(i)));
        }
        if (!caller.write("0\r\n\r\n"))
        {
            return;
        }
    }
}

/** Starts translations one after the other. */
void send_streams(shop& deployment, int number)
{
    for (int i = 0; !deployment.is_stopping(); ++i)
    {
        auto const caller = connection::open(deployment.entry().caller_port());
        if (caller)
        {
            caller->write(stream_request("/translate/1",
                                         "stream-" + std::to_string(number) +
                                             "-" + std::to_string(i),
                                         15000));
            message answer;
            clock::time_point const until = clock::now() + 15s;
            while (!deployment.is_stopping() && clock::now() < until &&
                   !caller->is_closed() &&
                   caller->read_answer(answer, 500ms) == end_kind::timed_out)
            {
            }
        }
        std::this_thread::sleep_for(100ms);
    }
}

/** The platform kills a process over its memory limit and starts it again. */
void limit_memory(shop& deployment, record& log)
{
    std::size_t const limit = sheet().m_memory_mb;
    std::size_t peak = 0;
    int kills = 0;
    while (!deployment.is_stopping())
    {
        std::size_t const used = deployment.entry().memory() >> 20U;
        peak = std::max(peak, used);
        if (used > limit)
        {
            ++kills;
            log.add("platform: the process has " + std::to_string(used) +
                    " MB of " + std::to_string(limit) + " MB, killed");
            deployment.entry().kill();
            std::this_thread::sleep_for(restart_delay);
            deployment.entry().start({});
        }
        std::this_thread::sleep_for(10ms);
    }
    log.add("platform: peak of the process " + std::to_string(peak) +
            " MB, killed " + std::to_string(kills) + " times");
}

int run(record& log)
{
    std::atomic<bool> in_trouble = false;
    shop deployment(
        log,
        [&](connection& caller, int number)
        { serve_streams(caller, number == 0, in_trouble, log); },
        json::array({make_route("translate", "/translate/", "streaming",
                                "scribe", 15000, 800, 1)}));
    if (!deployment.start())
    {
        return 2;
    }
    deployment.start_callers();
    for (int i = 0; i < 2; ++i)
    {
        deployment.run_thread([&, i] { send_streams(deployment, i); });
    }
    deployment.run_thread([&] { limit_memory(deployment, log); });
    std::this_thread::sleep_for(steady_time);
    if (has_trouble())
    {
        log.add("trouble begins");
        in_trouble = true;
    }
    std::this_thread::sleep_for(trouble_time);
    in_trouble = false;
    log.add("trouble ends");
    std::this_thread::sleep_for(1s);
    deployment.stop();
    return deployment.judge();
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &run);
}
