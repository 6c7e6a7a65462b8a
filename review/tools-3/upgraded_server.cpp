/** @file Case: servers restart one by one under their ids with newer software
 *  while callers read streams that may be resumed. */
#include "engines.hpp"

#include <algorithm>
#include <iostream>

namespace
{

using namespace stage;
using namespace std::chrono_literals;

constexpr int servers = 8;
constexpr int streams = 96;

/** Servers that restart, one after the other. */
constexpr int restarts = 2;

/** Time for which a crashed server is down. */
constexpr milliseconds down_time = 1000ms;

/** Time from the return of one server to the crash of the next one. */
constexpr milliseconds next_crash = 500ms;

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
    for (int i = 0; i < 2; ++i)
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
                std::string const& address =
                    instances[i % instances.size()]->caller_address();
                std::string const name = "a" + std::to_string(i);
                outcomes[i] = read_stream({address, address}, name,
                                          std::to_string(i) + "a:100", 100);
            });
        std::this_thread::sleep_for(20ms);
    }
    std::this_thread::sleep_for(500ms);
    if (with_trouble())
    {
        for (int i = 0; i < restarts; ++i)
        {
            engines[i]->crash();
            std::this_thread::sleep_for(down_time);
            engines[i]->restart("v2");
            std::this_thread::sleep_for(next_crash);
        }
    }
    for (std::thread& item : callers)
    {
        item.join();
    }
    int joined = 0;
    int complete = 0;
    for (int i = 0; i < streams; ++i)
    {
        outcome const& item = outcomes[i];
        std::string versions;
        for (std::string const& version : item.m_software)
        {
            versions += " " + version;
        }
        log.line("stream " + std::to_string(i) + ": software" + versions +
                 ", last event " + item.m_last_event +
                 (item.m_complete ? ", complete" : ", not complete"));
        joined += item.m_software.size() > 1 ? 1 : 0;
        complete += item.m_complete ? 1 : 0;
    }
    log.line(std::to_string(joined) + " of " + std::to_string(streams) +
             " streams hold events of two software versions, " +
             std::to_string(complete) + " are complete");
    std::cout << joined << " joined, " << complete << " complete\n";
    if (complete == 0 && !with_trouble())
    {
        return exit_not_run;
    }
    // ORDER: more than two streams.
    return joined > 2 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? run(argv[1], argv[2]) : exit_not_run;
}
