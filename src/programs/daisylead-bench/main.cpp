/** @file Slopes for the capacity page: bytes and time for each unit of work. */
#include "fleet_bench.hpp"

#include <daisylead/admission/admission_queue_base.hpp>
#include <daisylead/prefix/prefix_index_base.hpp>
#include <daisylead/routing/upstream_table_base.hpp>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <random>

namespace
{

namespace options = boost::program_options;
using namespace daisylead;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t upstream_count = 1800;
constexpr std::size_t entry_count = 540000;
constexpr std::size_t organisation_count = 1700;
constexpr std::size_t chain_length = 24;
constexpr std::int64_t tokens_per_block = 256;
constexpr byte_count ample_memory{256 << 20};
constexpr std::size_t blocks_per_event = 4;
constexpr double nanoseconds_per_microsecond = 1000;

time_point const start{std::chrono::hours(1)};
model_id const model("model");

void print(std::string const& name, nlohmann::json figures)
{
    figures["slope"] = name;
    std::cout << figures.dump() << '\n';
}

double nanoseconds_since(clock_type::time_point begin)
{
    return std::chrono::duration<double, std::nano>(clock_type::now() - begin)
        .count();
}

/** @return bytes allocated from the heap now */
double heap_bytes()
{
    struct mallinfo2 const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double percentile(std::vector<double>& values, double fraction)
{
    auto const rank = static_cast<std::ptrdiff_t>(
        fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

/** Chains that share their first blocks in groups, as nested prefixes do. */
std::vector<prefix::block_chain> make_chains(std::size_t count,
                                             std::mt19937_64& random)
{
    constexpr std::size_t shared = 8;
    constexpr std::size_t groups = 50;
    std::vector<prefix::block_chain> roots(groups);
    for (prefix::block_chain& root : roots)
    {
        for (std::size_t block = 0; block < shared; ++block)
        {
            root.m_blocks.push_back(random());
        }
    }
    std::vector<prefix::block_chain> chains(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        chains[index] = roots[index % groups];
        while (chains[index].m_blocks.size() < chain_length)
        {
            chains[index].m_blocks.push_back(random());
        }
    }
    return chains;
}

/** Index with the entries of the design size; hot roots have many holders. */
void fill(prefix::prefix_index& index,
          std::vector<prefix::block_chain> const& chains,
          std::mt19937_64& random)
{
    for (std::size_t next = 0; index.entries() < entry_count; ++next)
    {
        index.assume_stored(
            static_cast<prefix::engine_number>(random() % upstream_count),
            chains[next % chains.size()]);
    }
}

void bench_block_entry()
{
    std::mt19937_64 random(1);
    double const before = heap_bytes();
    prefix::prefix_index index(ample_memory);
    std::vector<prefix::block_hash> blocks(entry_count);
    std::generate(blocks.begin(), blocks.end(), std::ref(random));
    double const blocks_bytes = heap_bytes() - before;
    auto const begin = clock_type::now();
    for (std::size_t at = 0; at < entry_count; at += blocks_per_event)
    {
        std::vector<prefix::cache_event> event(1);
        auto const engine =
            static_cast<prefix::engine_number>(at % upstream_count);
        event[0].m_seq = index.last_seq(engine) + 1;
        event[0].m_blocks.assign(
            blocks.begin() + static_cast<std::ptrdiff_t>(at),
            blocks.begin() +
                static_cast<std::ptrdiff_t>(at + blocks_per_event));
        index.apply(engine, incarnation(1), event);
    }
    double const elapsed = nanoseconds_since(begin);
    auto const entries = static_cast<double>(index.entries());
    print("block entry",
          {{"entries", index.entries()},
           {"bytes", static_cast<double>(index.memory_bytes()) / entries},
           {"heap_bytes", (heap_bytes() - before - blocks_bytes) / entries},
           {"ns", elapsed / entries}});
    print("cache event", {{"blocks", blocks_per_event},
                          {"ns", elapsed / entries * blocks_per_event}});
}

void add_upstreams(routing::upstream_table& table, std::mt19937_64& random)
{
    constexpr std::size_t zones = 7;
    std::vector<config::upstream> upstreams(upstream_count);
    for (std::size_t number = 0; number < upstream_count; ++number)
    {
        config::upstream& item = upstreams[number];
        item.m_id = upstream_id("engine-" + std::to_string(number));
        item.m_zone = zone_id("zone-" + std::to_string(number % zones));
        item.m_models = {model, model_id("second"), model_id("third")};
    }
    table.apply_configuration(upstreams);
    for (config::upstream const& item : upstreams)
    {
        constexpr std::uint64_t max_waiting = 4000;
        routing::load_report report;
        report.m_incarnation = incarnation(1);
        report.m_waiting_tokens =
            token_count(static_cast<std::int64_t>(random() % max_waiting));
        for (model_id const& served : item.m_models)
        {
            report.m_models.emplace_back(served, weights_version("1"));
        }
        table.apply_load_report(item.m_id, report, start);
    }
}

/** One choice is a lookup in the index and the choice itself. */
void bench_choice(std::size_t count)
{
    std::mt19937_64 random(2);
    double const before = heap_bytes();
    routing::upstream_table table(routing::table_options(),
                                  [&random] { return random(); });
    add_upstreams(table, random);
    double const table_bytes = heap_bytes() - before;
    prefix::prefix_index index(ample_memory);
    auto const chains = make_chains(entry_count / chain_length, random);
    fill(index, chains, random);
    prefix::cached_blocks cached;
    std::vector<double> times;
    times.reserve(count);
    std::vector<double> lookups;
    lookups.reserve(count);
    for (std::size_t number = 0; number < count; ++number)
    {
        prefix::block_chain const& chain = chains[random() % chains.size()];
        auto const begin = clock_type::now();
        index.lookup(chain, cached);
        lookups.push_back(nanoseconds_since(begin));
        routing::choice_request request;
        request.m_model = model;
        request.m_weights_version = weights_version("1");
        request.m_zone = zone_id("zone-1");
        request.m_blocks = chain.m_blocks;
        request.m_cached = cached;
        request.m_prompt_tokens = token_count(chain_length * tokens_per_block);
        request.m_block_tokens = token_count(tokens_per_block);
        routing::choice const chosen = table.choose(request, start);
        times.push_back(nanoseconds_since(begin));
        if (!chosen.m_upstream)
        {
            throw std::runtime_error("no upstream was chosen");
        }
    }
    constexpr double p50 = 0.5;
    constexpr double p99 = 0.99;
    print("choice",
          {{"upstreams", upstream_count},
           {"entries", index.entries()},
           {"blocks", index.blocks()},
           {"bytes_per_entry", static_cast<double>(index.memory_bytes()) /
                                   static_cast<double>(index.entries())},
           {"lookup_p50_us",
            percentile(lookups, p50) / nanoseconds_per_microsecond},
           {"lookup_p99_us",
            percentile(lookups, p99) / nanoseconds_per_microsecond},
           {"p50_us", percentile(times, p50) / nanoseconds_per_microsecond},
           {"p99_us", percentile(times, p99) / nanoseconds_per_microsecond}});
    print("upstream", {{"bytes", table_bytes / upstream_count}});
}

admission::queued_request make_queued(std::size_t number)
{
    admission::queued_request item;
    item.m_id = request_id("request-" + std::to_string(number));
    item.m_organisation = organisation_id(
        "organisation-" + std::to_string(number % organisation_count));
    item.m_priority = static_cast<int>(number % 3);
    item.m_cost = token_count(2000);
    item.m_latest_start = start + std::chrono::hours(1);
    return item;
}

/** Push and pop with a standing queue. */
void bench_admission(std::size_t count, std::size_t waiting)
{
    admission::queue_options queue_options;
    queue_options.m_max_queued = 2 * organisation_count;
    double const before = heap_bytes();
    admission::admission_queue queue(queue_options);
    for (std::size_t number = 0; number < waiting; ++number)
    {
        queue.push(make_queued(number), start);
    }
    double const bytes = heap_bytes() - before;
    auto const begin = clock_type::now();
    for (std::size_t number = 0; number < count; ++number)
    {
        queue.push(make_queued(waiting + number), start);
        queue.pop(start, [](admission::queued_request const&) { return true; });
    }
    double const elapsed = nanoseconds_since(begin);
    print("admission",
          {{"waiting", waiting},
           {"organisations", std::min(waiting, organisation_count)},
           {"ns", elapsed / static_cast<double>(count)}});
    if (waiting == organisation_count)
    {
        print("organisation",
              {{"bytes", bytes / static_cast<double>(waiting)},
               {"what", "queue state with one waiting request"}});
    }
}

void bench_hash(std::size_t count)
{
    constexpr std::size_t kilobyte = 1024;
    constexpr std::size_t kilobytes = 24;
    std::string const prompt(kilobytes * kilobyte, 'x');
    prefix::cache_scope const scope{organisation_id("organisation"), model,
                                    adapter_id(), weights_version("1")};
    std::size_t blocks = 0;
    auto const begin = clock_type::now();
    for (std::size_t number = 0; number < count; ++number)
    {
        blocks += prefix::make_block_chain(scope, prompt, byte_count(kilobyte))
                      .m_blocks.size();
    }
    print("hash of a prompt KB",
          {{"ns", nanoseconds_since(begin) / static_cast<double>(blocks)}});
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int exit_failure = 1;
    constexpr std::size_t few_waiting = 16;
    try
    {
        options::options_description description("daisylead-bench options");
        description.add_options()("help", "print this help")(
            "count", options::value<std::size_t>()->default_value(20000),
            "repetitions of each measurement");
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description),
                       values);
        options::notify(values);
        if (values.count("help") != 0)
        {
            std::cout << description;
            return 0;
        }
        auto const count =
            std::max<std::size_t>(values["count"].as<std::size_t>(), 1);
        bench_block_entry();
        bench_choice(count);
        bench_admission(count, few_waiting);
        bench_admission(count, organisation_count);
        bench_hash(count);
        daisylead::bench::bench_messages();
        daisylead::bench::bench_configuration();
        daisylead::bench::bench_decisions();
        return 0;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "daisylead-bench: " << failure.what() << '\n';
        return exit_failure;
    }
}
