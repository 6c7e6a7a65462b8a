/** @file Case: a server restarts under its id with newer software, and later
 * the instance that forwards its former streams is killed. */
#include "engines.hpp"

#include <csignal>
#include <iostream>

namespace
{

using namespace stage;
using namespace std::chrono_literals;

constexpr int servers = 4;
constexpr int streams = 16;

/** Time for which the crashed server is down. */
constexpr milliseconds down_time = 1000ms;

/** Time from the return of the server to the end of the instance; its row has
 *  been written by then. */
constexpr milliseconds until_kill = 2000ms;

int run(std::string const& folder, std::string const& root)
{
    record log("record.txt");
    store rows;
    rows.put("op", "config", stream_configuration());
    rows.put("op", "version/m", {{"model", "m"}, {"version", 1}});
    std::vector<std::unique_ptr<engine>> engines;
    engines.reserve(servers);
    for (int i = 0; i < servers; ++i)
    {
        engines.push_back(
            std::make_unique<engine>("i-" + std::to_string(i + 1), rows, log));
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
    std::vector<outcome> outcomes(streams);
    std::vector<std::thread> callers;
    for (int i = 0; i < streams; ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                std::string const parts =
                    "5c1e:6300," + std::to_string(i) + "a:100";
                outcomes[i] =
                    read_stream({instances[0]->caller_address(),
                                 instances[1 + i % 2]->caller_address()},
                                "a" + std::to_string(i), parts, 6400);
            });
        std::this_thread::sleep_for(20ms);
    }
    std::this_thread::sleep_for(500ms);
    if (with_trouble())
    {
        // The server with the most streams.
        engine* busiest = engines.front().get();
        for (auto const& item : engines)
        {
            busiest =
                item->running() > busiest->running() ? item.get() : busiest;
        }
        log.line("the busiest server runs " +
                 std::to_string(busiest->running()) + " streams");
        busiest->crash();
        std::this_thread::sleep_for(down_time);
        busiest->restart("v2");
        std::this_thread::sleep_for(until_kill);
    }
    log.line("entry-1 is killed");
    instances[0]->signal(SIGKILL);
    // New streams beside those that are taken up.
    std::this_thread::sleep_for(100ms);
    std::vector<outcome> fresh(streams);
    std::vector<std::thread> fresh_callers;
    for (int i = 0; i < streams; ++i)
    {
        fresh_callers.emplace_back(
            [&, i]
            {
                fresh[i] = read_stream(
                    {instances[1 + i % 2]->caller_address()},
                    "b" + std::to_string(i),
                    "5c1e:6300," + std::to_string(i) + "b:100", 6400);
            });
        std::this_thread::sleep_for(20ms);
    }
    for (std::thread& item : callers)
    {
        item.join();
    }
    for (std::thread& item : fresh_callers)
    {
        item.join();
    }
    int taken_up = 0;
    int went_on = 0;
    int begun = 0;
    for (int i = 0; i < streams; ++i)
    {
        outcome const& item = outcomes[i];
        taken_up += item.m_tries > 1 ? 1 : 0;
        went_on += item.m_went_on ? 1 : 0;
        begun += fresh[i].m_last_event.empty() ? 0 : 1;
        log.line("stream " + std::to_string(i) + ": " +
                 std::to_string(item.m_tries) + " tries, last status " +
                 std::to_string(item.m_last_status) + ", last event " +
                 item.m_last_event +
                 (item.m_went_on ? ", went on" : ", did not go on"));
    }
    std::string const result =
        std::to_string(went_on) + " of " + std::to_string(taken_up) +
        " streams that were taken up went on, " + std::to_string(begun) +
        " of " + std::to_string(streams) + " new streams began";
    log.line(result);
    std::cout << result << '\n';
    if (taken_up < 12 || begun == 0)
    {
        return exit_not_run;
    }
    // LOST: the share that goes on is under half of the share that begins.
    return 2 * went_on * streams < begun * taken_up ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? run(argv[1], argv[2]) : exit_not_run;
}
