/** @file A request that is larger than the memory of every engine ends the
 *  process. */
#include "../tools/shop.hpp"

namespace
{

using namespace review;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto steady_time = 3s;
constexpr auto restart_delay = 500ms;
constexpr int large_requests = 8;
constexpr auto large_interval = 2s;
constexpr int events = 20;
constexpr int stream_callers = 2;

/** Prompt tokens and the maximum number of output tokens: 2^53 - 1, the largest
 *  whole number that every JSON library represents. */
constexpr char const* large_count = "826,9007199254740991";
constexpr char const* usual_count = "826,73";

/** A model server: 20 events in 200 ms. What is larger than its memory is
 *  rejected as if it were full. */
void serve_streams(connection& caller, record& log)
{
    message request;
    while (caller.read_request(request) == end_kind::complete)
    {
        if (request.field("X-Token-Count") == large_count)
        {
            log.add("server: " + request.field("X-Attempt-Id") +
                    " is larger than the memory, rejected");
            caller.write(make_answer(
                503, answer_fields(request) + "X-Not-Executed: 1\r\n", ""));
            continue;
        }
        caller.write(stream_head(request));
        for (int i = 1; i <= events; ++i)
        {
            std::this_thread::sleep_for(10ms);
            caller.write(make_chunk(make_event(i)));
        }
        if (!caller.write("0\r\n\r\n"))
        {
            return;
        }
    }
}

/** @return status of the answer; 0: there was none */
int translate(instance const& entry, std::string const& id,
              std::string const& tokens)
{
    auto const caller = connection::open(entry.caller_port());
    message answer;
    std::string request = stream_request("/translate/1", id, 15000);
    request.replace(request.find(usual_count), std::string(usual_count).size(),
                    tokens);
    return caller && caller->write(request) &&
                   caller->read_answer(answer, 15s) == end_kind::complete
               ? answer.status()
               : 0;
}

void send_streams(shop& deployment, int number)
{
    for (int i = 0; !deployment.is_stopping(); ++i)
    {
        translate(deployment.entry(),
                  "stream-" + std::to_string(number) + "-" + std::to_string(i),
                  usual_count);
        std::this_thread::sleep_for(50ms);
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
    shop deployment(
        log, [&log](connection& caller, int) { serve_streams(caller, log); },
        json::array({make_route("translate", "/translate/", "streaming",
                                "scribe", 15000, 800, 1)}));
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
    for (int i = 0; i < large_requests; ++i)
    {
        std::string const tokens = has_trouble() ? large_count : usual_count;
        std::string const id = "large-" + std::to_string(i);
        std::string line = "caller: " + id;
        line.append(" with X-Token-Count ").append(tokens);
        log.add(line);
        int const status = translate(deployment.entry(), id, tokens);
        log.add("caller: " + id + " got " +
                (status == 0 ? "no answer" : std::to_string(status)));
        std::this_thread::sleep_for(large_interval);
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
