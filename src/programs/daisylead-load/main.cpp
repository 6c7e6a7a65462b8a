/** @file Bounded load on loopback: latency through an instance beside the same
 *  request sent to the engine directly, and the throughput of an instance. */
#include <daisylead/base/error_type.hpp>
#include <daisylead/http/client_base.hpp>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

namespace
{

namespace options = boost::program_options;
using namespace daisylead;
using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using millis = std::chrono::duration<double, std::milli>;

constexpr std::size_t max_body = 1 << 20;
constexpr std::chrono::seconds max_run{30}; ///< bound of one run

/** What to send where. */
struct target
{
    std::string m_name;    ///< in the report
    std::string m_address; ///< "IP:port"
    std::string m_key;     ///< caller's key; empty: none
};

/** Outcome of one run. */
struct samples
{
    std::mutex m_mutex;
    std::vector<double> m_latencies; ///< milliseconds, answered with 200
    std::size_t m_failures = 0;      ///< anything else
};

http::client_request make_request(target const& where)
{
    http::client_request request;
    request.m_method = "POST";
    request.m_url = "http://" + where.m_address + "/v1/completions";
    request.m_headers = {{"Content-Type", "application/json"}};
    if (!where.m_key.empty())
    {
        request.m_headers.push_back({"Authorization", "Bearer " + where.m_key});
    }
    request.m_body = std::make_shared<std::string const>(
        R"({"model":"caption","max_tokens":1,"prompt":"a postcard"})");
    request.m_total_timeout = std::chrono::seconds(5);
    return request;
}

void send(http::client& client, target const& where, samples& result,
          std::function<void()> on_end)
{
    auto const begin = clock_type::now();
    start_whole(client, make_request(where), max_body,
                [&result, begin, on_end = std::move(on_end)](
                    http::client_response const& response)
                {
                    millis const taken = clock_type::now() - begin;
                    {
                        std::lock_guard const lock(result.m_mutex);
                        if (response.m_result.m_http_status == 200)
                        {
                            result.m_latencies.push_back(taken.count());
                        }
                        else
                        {
                            ++result.m_failures;
                        }
                    }
                    on_end();
                });
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    auto const index = static_cast<std::size_t>(
        fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

json report(std::string const& name, samples& result, double seconds)
{
    std::lock_guard const lock(result.m_mutex);
    return {{"target", name},
            {"answered", result.m_latencies.size()},
            {"failed", result.m_failures},
            {"per_second",
             static_cast<double>(result.m_latencies.size()) / seconds},
            {"p50_ms", percentile(result.m_latencies, 0.5)},
            {"p99_ms", percentile(result.m_latencies, 0.99)}};
}

/** Sends at a fixed rate, to the targets in turn, and prints a line each. */
void run_open_loop(std::vector<target> const& targets, int rate,
                   std::chrono::seconds length)
{
    http::client client;
    std::vector<samples> results(targets.size());
    std::atomic<std::size_t> open{0};
    auto const begin = clock_type::now();
    auto const total = static_cast<std::int64_t>(rate) * length.count();
    for (std::int64_t i = 0; i < total; ++i)
    {
        std::this_thread::sleep_until(
            begin + i * std::chrono::nanoseconds(std::nano::den / rate));
        for (std::size_t k = 0; k < targets.size(); ++k)
        {
            ++open;
            send(client, targets[k], results[k], [&open] { --open; });
        }
    }
    while (open > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::chrono::duration<double> const taken = clock_type::now() - begin;
    for (std::size_t k = 0; k < targets.size(); ++k)
    {
        std::cout << report(targets[k].m_name, results[k], taken.count())
                  << '\n';
    }
}

/** Keeps a fixed number of requests under way and prints the throughput. */
void run_closed_loop(target const& where, int concurrency,
                     std::chrono::seconds length)
{
    samples result;
    std::atomic<int> open{0};
    std::vector<std::unique_ptr<http::client>> clients;
    constexpr std::size_t client_threads = 4;
    clients.reserve(client_threads);
    for (std::size_t i = 0; i < client_threads; ++i)
    {
        clients.push_back(std::make_unique<http::client>());
    }
    auto const begin = clock_type::now();
    auto const end = begin + length;
    std::function<void(std::size_t)> next = [&](std::size_t index)
    {
        if (clock_type::now() >= end)
        {
            --open;
            return;
        }
        send(*clients[index], where, result, [&next, index] { next(index); });
    };
    for (int i = 0; i < concurrency; ++i)
    {
        ++open;
        next(static_cast<std::size_t>(i) % clients.size());
    }
    while (open > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::chrono::duration<double> const taken = clock_type::now() - begin;
    std::cout << report(where.m_name, result, taken.count()) << '\n';
    clients.clear();
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        options::options_description description("daisylead-load options");
        description.add_options()("help", "print this help")(
            "instance", options::value<std::string>()->required(),
            "IP:port of an instance on loopback")(
            "direct", options::value<std::string>()->default_value(""),
            "IP:port of the engine, measured beside it")(
            "key", options::value<std::string>()->default_value(""),
            "caller's key")("rate", options::value<int>()->default_value(0),
                            "requests per second; 0: as many as possible")(
            "concurrency", options::value<int>()->default_value(64),
            "requests under way without a rate")(
            "seconds", options::value<int>()->default_value(5), "at most 30");
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description),
                       values);
        if (values.count("help") != 0)
        {
            std::cout << description;
            return 0;
        }
        options::notify(values);
        auto const length = std::min(
            max_run, std::chrono::seconds(values["seconds"].as<int>()));
        target const instance{"instance", values["instance"].as<std::string>(),
                              values["key"].as<std::string>()};
        std::string const direct = values["direct"].as<std::string>();
        for (std::string const& address : {instance.m_address, direct})
        {
            if (!address.empty() && !address.starts_with("127."))
            {
                throw error("load goes to loopback addresses only");
            }
        }
        if (values["rate"].as<int>() == 0)
        {
            run_closed_loop(instance, values["concurrency"].as<int>(), length);
            return 0;
        }
        std::vector<target> targets = {instance};
        if (!direct.empty())
        {
            targets.push_back({"direct", direct, ""});
        }
        run_open_loop(targets, values["rate"].as<int>(), length);
        return 0;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "daisylead-load: " << failure.what() << '\n';
        return 1;
    }
}
