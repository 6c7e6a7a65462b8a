/** @file Case: servers restart one after the other under their ids with newer
 *  software, while two others keep the former one. */
#include "engines.hpp"

#include <algorithm>
#include <iostream>

namespace
{

using namespace stage;
using namespace std::chrono_literals;

constexpr int servers = 4;
constexpr int streams = 180;

/** Streams that begin after the restarts, to compare with. */
constexpr int new_streams = 20;

/** Time for which a crashed server is down. */
constexpr milliseconds down_time = 1000ms;

/** Time from the return of a server to the crash of the next one; its row says
 *  by then which software it has. */
constexpr milliseconds next_crash = heartbeat + 200ms;

void restart(engine& server, record& log)
{
    log.line("the next server runs " + std::to_string(server.running()) +
             " streams, " + std::to_string(server.moved()) +
             " of them began at another one");
    server.crash();
    std::this_thread::sleep_for(down_time);
    server.restart("v2");
}

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
    auto const address = [&](int number)
    {
        return instances[number % instances.size()]->caller_address();
    };
    std::vector<outcome> outcomes(streams);
    std::vector<std::thread> callers;
    for (int i = 0; i < streams; ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                outcomes[i] = read_stream({address(i), address(i + 1)},
                                          "a" + std::to_string(i),
                                          std::to_string(i) + "a:100", 100);
            });
        std::this_thread::sleep_for(5ms);
    }
    std::this_thread::sleep_for(200ms);
    if (with_trouble())
    {
        restart(*engines.front(), log);
        std::this_thread::sleep_for(next_crash);
        // The server to which most of the streams went on.
        auto const next = std::max_element(engines.begin(), engines.end(),
                                           [](auto const& a, auto const& b)
                                           { return a->moved() < b->moved(); });
        restart(**next, log);
    }
    std::vector<outcome> fresh(new_streams);
    for (int i = 0; i < new_streams; ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                fresh[i] = read_stream({address(i)}, "b" + std::to_string(i),
                                       std::to_string(i) + "b:100", 100);
            });
    }
    for (std::thread& item : callers)
    {
        item.join();
    }
    int taken_up = 0;
    int went_on = 0;
    int complete = 0;
    for (int i = 0; i < streams; ++i)
    {
        outcome const& item = outcomes[i];
        taken_up += item.m_tries > 1 ? 1 : 0;
        went_on += item.m_went_on ? 1 : 0;
        complete += item.m_complete ? 1 : 0;
        if (item.m_tries > 1)
        {
            log.line("stream " + std::to_string(i) +
                     " was taken up after event " + item.m_last_event +
                     ", status " + std::to_string(item.m_last_status) +
                     (item.m_went_on ? ", went on" : ", did not go on"));
        }
    }
    int begun = 0;
    for (outcome const& item : fresh)
    {
        begun += item.m_last_event.empty() ? 0 : 1;
    }
    std::string const result =
        std::to_string(went_on) + " of " + std::to_string(taken_up) +
        " streams that were taken up went on, " + std::to_string(begun) +
        " of " + std::to_string(new_streams) + " new streams began, " +
        std::to_string(complete) + " of " + std::to_string(streams) +
        " are complete";
    log.line(result);
    std::cout << result << '\n';
    if (begun == 0 || (with_trouble() && taken_up < 12))
    {
        return exit_not_run;
    }
    // LOST: of 12 or more, the share that goes on is under half of the share
    // that begins.
    return 2 * went_on * new_streams < begun * taken_up ? exit_broken
                                                        : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? run(argv[1], argv[2]) : exit_not_run;
}
