/** @file Replays traces and compares routing policies. */
#include <daisylead/base/error_type.hpp>
#include <daisylead/replay/run_func.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace
{

namespace options = boost::program_options;
using namespace daisylead;
using replay::run_options;
using replay::run_result;
using std::chrono::milliseconds;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

struct column
{
    char const* m_title;
    double (*m_value)(run_result const&);
    int m_decimals;
};

constexpr double percent = 100;

constexpr column columns[] = {
    {"hit rate %", [](run_result const& r) { return r.m_hit_rate * percent; },
     1},
    {"p99 TTFT s", [](run_result const& r) { return r.m_p99_ttft; }, 3},
    {"wasted ktok", [](run_result const& r) { return r.m_wasted / 1000; }, 0},
    {"worst share %",
     [](run_result const& r) { return r.m_worst_share * percent; }, 1},
    {"worst p99 s", [](run_result const& r) { return r.m_worst_p99_ttft; }, 3},
    {"refused inside", [](run_result const& r) { return r.m_refused_inside; },
     0},
    {"p50 TTFT s", [](run_result const& r) { return r.m_p50_ttft; }, 3},
    {"retries", [](run_result const& r) { return r.m_retries; }, 0},
};

options::options_description make_options()
{
    options::options_description description("daisylead-replay options");
    auto add = description.add_options();
    add("help", "print this help");
    add("trace", options::value<std::string>()->default_value("tengri"),
        "tengri, wiegenwerk, or a file of JSON lines");
    add("policy",
        options::value<std::vector<std::string>>()->multitoken()->default_value(
            {"all"}, "all"),
        "policies, or oracle, or all");
    add("seeds", options::value<int>()->default_value(5), "number of traces");
    add("seconds", options::value<int>()->default_value(120),
        "length of generated traces");
    add("load", options::value<double>()->default_value(1),
        "factor on the requests and rates of generated traces");
    add("write", options::value<std::string>(),
        "write the generated trace of seed 1 to this file and stop");
    add("near-equal-ms", options::value<int>(), "see table_options");
    add("max-wait-ms", options::value<int>(), "see table_options");
    add("rendezvous-blocks", options::value<std::size_t>(),
        "see table_options");
    add("recompute-weight", options::value<double>(), "see table_options");
    add("usual-wait-ms", options::value<int>(), "see table_options");
    add("rank-cost-ms", options::value<int>(), "see table_options");
    add("no-assume", "do not enter own sends into the index");
    return description;
}

replay::trace load_trace(options::variables_map const& values,
                         std::uint64_t seed)
{
    auto const name = values["trace"].as<std::string>();
    if (name == "tengri" || name == "wiegenwerk")
    {
        return replay::generate_trace(
            name, seed, std::chrono::seconds(values["seconds"].as<int>()),
            values["load"].as<double>());
    }
    std::ifstream stream(name);
    if (!stream)
    {
        throw error("cannot read " + name);
    }
    return replay::read_trace(stream, name);
}

run_options make_run_options(options::variables_map const& values,
                             std::string const& name)
{
    run_options result;
    auto& table = result.m_table;
    if (values.count("near-equal-ms") != 0)
    {
        table.m_near_equal = milliseconds(values["near-equal-ms"].as<int>());
    }
    if (values.count("max-wait-ms") != 0)
    {
        table.m_max_wait = milliseconds(values["max-wait-ms"].as<int>());
    }
    if (values.count("rendezvous-blocks") != 0)
    {
        table.m_rendezvous_blocks =
            values["rendezvous-blocks"].as<std::size_t>();
    }
    if (values.count("recompute-weight") != 0)
    {
        table.m_recompute_weight = values["recompute-weight"].as<double>();
    }
    if (values.count("usual-wait-ms") != 0)
    {
        table.m_half_weight_wait =
            milliseconds(values["usual-wait-ms"].as<int>());
    }
    if (values.count("rank-cost-ms") != 0)
    {
        table.m_rank_cost = milliseconds(values["rank-cost-ms"].as<int>());
    }
    result.m_assume_stored = values.count("no-assume") == 0;
    result.m_sees_all = name == "oracle";
    auto const policy =
        routing::parse_policy(result.m_sees_all ? "estimated_ttft" : name);
    if (!policy)
    {
        throw options::error("unknown policy " + name);
    }
    table.m_policy = *policy;
    return result;
}

void print_titles()
{
    std::printf("%-19s", "policy");
    for (column const& item : columns)
    {
        std::printf(" | %22s", item.m_title);
    }
    std::printf("\n");
}

void print_row(std::string const& name, std::vector<run_result> const& results)
{
    std::printf("%-19s", name.c_str());
    for (column const& item : columns)
    {
        std::vector<double> values;
        values.reserve(results.size());
        for (run_result const& result : results)
        {
            values.push_back(item.m_value(result));
        }
        std::sort(values.begin(), values.end());
        char text[64];
        std::snprintf(text, sizeof text, "%.*f (%.*f-%.*f)", item.m_decimals,
                      values[values.size() / 2], item.m_decimals,
                      values.front(), item.m_decimals, values.back());
        std::printf(" | %22s", text);
    }
    std::printf("\n");
    std::fflush(stdout);
}

void compare(options::variables_map const& values)
{
    auto names = values["policy"].as<std::vector<std::string>>();
    if (names == std::vector<std::string>{"all"})
    {
        names = {"round_robin", "least_load", "bounded_rendezvous",
                 "estimated_ttft", "oracle"};
    }
    std::printf("trace %s, %d seeds: median (least-most)\n",
                values["trace"].as<std::string>().c_str(),
                values["seeds"].as<int>());
    print_titles();
    for (std::string const& name : names)
    {
        run_options run = make_run_options(values, name);
        std::vector<run_result> results;
        for (int seed = 1; seed <= values["seeds"].as<int>(); ++seed)
        {
            run.m_seed = static_cast<std::uint64_t>(seed);
            results.push_back(
                replay::run_trace(load_trace(values, run.m_seed), run));
        }
        print_row(name, results);
    }
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        options::options_description const description = make_options();
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description),
                       values);
        options::notify(values);
        if (values.count("help") != 0)
        {
            std::cout << description;
            return exit_ok;
        }
        if (values["seeds"].as<int>() < 1)
        {
            throw options::error("--seeds must be at least 1");
        }
        if (values.count("write") != 0)
        {
            std::ofstream stream(values["write"].as<std::string>());
            replay::write_trace(stream, load_trace(values, 1));
            return stream ? exit_ok : exit_failure;
        }
        compare(values);
        return exit_ok;
    }
    catch (options::error const& failure)
    {
        std::cerr << "daisylead-replay: " << failure.what() << '\n';
        return exit_usage;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "daisylead-replay: " << failure.what() << '\n';
        return exit_failure;
    }
}
