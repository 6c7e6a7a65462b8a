/** @file A server ends some of its streams in the middle of an event. */
#include "../tools-2/stand_in.hpp"

#include <iostream>

using namespace review;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr int memory_mb = 96;

/** Streams, and how many of them begin at a time. */
constexpr int streams = 240;
constexpr int parallel = 24;

constexpr int events = 13;
constexpr milliseconds event_interval = 10ms;
constexpr milliseconds timeout = 5s;

/** The faulty server cuts each of so many answers: 0.02 of them. */
constexpr int cut_interval = 50;

/** The event in whose middle a cut answer ends. */
constexpr int cut_event = 7;

json make_configuration()
{
    json const route = {{"name", "r-caption"},
                        {"host", "jepu9.example"},
                        {"prefix", "/caption/"},
                        {"routeType", "streaming"},
                        {"timeoutMs", timeout.count()},
                        {"targetLatencyMs", 600},
                        {"priority", 1},
                        {"service", "scribe"},
                        {"attempts", 2},
                        {"public", false},
                        {"sticky", true},
                        {"resumable", true},
                        {"gapTargetMs", 300}};
    return review::make_configuration(route, make_engine_service("scribe"));
}

/** Serves streams.
 *  @param count counts the answers of the faulty server; null for sound ones */
void serve(connection& peer, record_file& record, std::string const& id,
           std::atomic<int>* count)
{
    while (auto const request = peer.read(steady::now() + 30s))
    {
        std::string const attempt = request->field("X-Attempt-Id");
        std::string const last = request->field("Last-Event-Id");
        record.line(run_line(id, attempt, last));
        bool const is_cut = count != nullptr && ++*count % cut_interval == 0;
        bool open = peer.write(make_stream_header(attempt));
        for (int i = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
             i <= events && open; ++i)
        {
            std::this_thread::sleep_for(event_interval);
            if (is_cut && i >= cut_event)
            {
                open = peer.write(
                    make_chunk("id: " + std::to_string(i) + "\ndata: tok"));
                record.line(run_line(id, attempt, "") + ", cut in event " +
                            std::to_string(i));
                break;
            }
            open = peer.write(make_event(i, "token"));
        }
        if (!open || !peer.write("0\r\n\r\n"))
        {
            return;
        }
    }
}

std::string make_request(std::string const& attempt)
{
    std::string const body(1800, 'b');
    return "POST /caption/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
           "X-Attempt-Id: " +
           attempt +
           "\r\nX-Model: m0\r\nX-Token-Count: 800,13\r\nX-Prompt-Prefix: " +
           attempt +
           ":800\r\nX-Deadline-Ms: " + std::to_string(timeout.count()) +
           "\r\nX-Credential: " + tenant_key +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/** What a caller got. */
enum class outcome
{
    whole,
    cut,        ///< the answer did not end as a complete one
    incomplete, ///< it ended as a complete one before its last event
    none
};

outcome call(std::uint16_t port, std::string const& attempt,
             record_file& record)
{
    auto const link = connection::open(port);
    if (!link || !link->write(make_request(attempt)))
    {
        return outcome::none;
    }
    auto const answer = link->read(steady::now() + timeout + 1s);
    if (!answer || answer->status() != 200)
    {
        return outcome::none;
    }
    bool const has_last =
        answer->m_body.find("id: " + std::to_string(events) +
                            "\ndata: token\n\n") != std::string::npos;
    bool const ended = answer->field("Incomplete").empty();
    if (ended && !has_last)
    {
        record.line("caller of " + attempt +
                    " got a complete answer without its last event");
        return outcome::incomplete;
    }
    return ended ? outcome::whole : outcome::cut;
}

int run(std::string const& folder)
{
    record_file record(folder + "/record.txt");
    std::atomic<int> count = 0;
    server sound([&](connection& peer)
                 { serve(peer, record, "i-1", nullptr); });
    server faulty(
        [&](connection& peer)
        { serve(peer, record, "i-2", is_calm() ? nullptr : &count); });
    store platform;
    platform.put("op", "config", make_configuration());
    platform.put("op", "version/m0", {{"model", "m0"}, {"version", 1}});
    platform.put("servers", "i-1",
                 make_engine_row("scribe", sound.address(), "v1", unix_ms()));
    platform.put("servers", "i-2",
                 make_engine_row("scribe", faulty.address(), "v1", unix_ms()));
    entry_process entry(platform.address(), memory_mb);
    entry.start();
    if (!entry.wait_until_ready(20s))
    {
        record.line("the instance did not get ready");
        return 2;
    }
    std::map<outcome, int> results;
    std::mutex mutex;
    std::atomic<int> next = 0;
    std::vector<std::thread> callers;
    callers.reserve(parallel);
    for (int i = 0; i < parallel; ++i)
    {
        callers.emplace_back(
            [&]
            {
                for (int number = next++; number < streams; number = next++)
                {
                    outcome const got = call(entry.caller_port(),
                                             attempt_id(100 + number), record);
                    std::lock_guard const lock(mutex);
                    ++results[got];
                }
            });
    }
    for (std::thread& item : callers)
    {
        item.join();
    }
    record.line(std::to_string(results[outcome::whole]) + " of " +
                std::to_string(streams) + " streams are whole, " +
                std::to_string(results[outcome::cut]) + " are cut, " +
                std::to_string(results[outcome::incomplete]) +
                " end as complete before their last event");
    if (results[outcome::whole] * 2 < streams)
    {
        return 2;
    }
    return results[outcome::incomplete] > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc > 1 ? argv[1] : ".");
    }
    catch (std::exception const& failure)
    {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
