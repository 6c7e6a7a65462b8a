/** @file Case: the store comes back from a copy that lists a server as it was
 *  before it restarted with newer software. */
#include "engines.hpp"

#include <iostream>

namespace
{

using namespace stage;
using namespace std::chrono_literals;

constexpr int servers = 4;
constexpr int streams = 96;

/** Time for which a crashed server is down. */
constexpr milliseconds down_time = 1000ms;

/** Time from the return of the first server to the drill. */
constexpr milliseconds until_drill = 3 * heartbeat + 100ms;

/** Time for which the store is away. */
constexpr milliseconds away_time = 400ms;

/** Time from its return to the crash of the second server. */
constexpr milliseconds until_crash = 200ms;

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
    rows.take_copy();
    log.line("the copy of the store is made");
    engines[0]->crash();
    std::this_thread::sleep_for(down_time);
    engines[0]->restart("v2");
    auto const back_at = clock::now();
    std::this_thread::sleep_for(1500ms);
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
        std::this_thread::sleep_for(18ms);
    }
    std::this_thread::sleep_until(back_at + until_drill);
    if (with_trouble())
    {
        log.line("the store goes away");
        rows.go_away();
        std::this_thread::sleep_for(away_time);
        rows.come_back_from_copy();
        log.line("the store is back from its copy");
        std::this_thread::sleep_for(until_crash);
    }
    engines[1]->crash();
    std::this_thread::sleep_for(down_time);
    engines[1]->restart("v1");
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
    std::string const result =
        std::to_string(joined) + " of " + std::to_string(streams) +
        " streams hold events of two software versions, " +
        std::to_string(complete) + " are complete";
    log.line(result);
    std::cout << result << '\n';
    if (complete == 0)
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
