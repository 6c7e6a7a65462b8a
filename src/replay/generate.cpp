/** @file Generator of traces. */
#include <daisylead/base/error_type.hpp>
#include <daisylead/replay/trace_type.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace daisylead::replay
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::seconds;

constexpr std::size_t organisation_count = 5;
/** A few large organisations: share of the requests of each. */
constexpr std::array<double, organisation_count> shares{0.44, 0.30, 0.14, 0.08,
                                                        0.04};
constexpr std::size_t flooding = 2; ///< organisation above its rate
constexpr double flood_factor = 4;  ///< multiple of its usual requests
/** Usual use of the rate; the flood is far above it. */
constexpr double use_of_rate = 0.6;
constexpr std::int64_t burst_seconds = 10;
constexpr std::size_t topics = 6;
constexpr std::size_t documents = 30;
constexpr std::int64_t root_blocks = 4;
constexpr std::int64_t max_topic_blocks = 8;
constexpr std::int64_t max_document_blocks = 12;
/** Exponents of the popularity; a few documents are very hot. */
constexpr double popularity_exponent = 1.1;
constexpr seconds shift_interval{30}; ///< the hot set changes this often
constexpr double caption_fraction = 0.7;
constexpr microseconds caption_deadline = seconds(5);
constexpr microseconds translation_deadline = seconds(20);
constexpr int caption_priority = 1;
constexpr int translation_priority = 5;

struct site_plan
{
    char const* m_name;
    std::size_t m_zones;
    std::size_t m_engines;
    std::int64_t m_instances;
    double m_requests_per_second;
};

constexpr std::array plans{site_plan{"tengri", 4, 18, 13, 75},
                           site_plan{"wiegenwerk", 3, 12, 13, 50}};

/** Mean tokens of a request, from which the rates are derived. */
constexpr double mean_request_tokens = 5200;

class generator
{
public:
    generator(site_plan const& plan, std::uint64_t seed, seconds length,
              double load)
        : m_plan(plan), m_random(seed), m_length(length)
    {
        m_plan.m_requests_per_second *= load;
    }

    trace generate()
    {
        trace result;
        result.m_site = make_site();
        for (std::size_t index = 0; index < organisation_count; ++index)
        {
            add_arrivals(index, result);
        }
        add_faults(result);
        std::stable_sort(result.m_events.begin(), result.m_events.end(),
                         [](trace_event const& left, trace_event const& right)
                         { return time_of(left) < time_of(right); });
        return result;
    }

private:
    site make_site() const
    {
        site result;
        result.m_name = m_plan.m_name;
        result.m_instances = m_plan.m_instances;
        for (std::size_t index = 0; index < m_plan.m_zones; ++index)
        {
            result.m_zones.emplace_back("zone-" + std::to_string(index));
        }
        for (std::size_t index = 0; index < m_plan.m_engines; ++index)
        {
            result.m_engines.push_back(
                {upstream_id("engine-" + std::to_string(index)),
                 result.m_zones[index % m_plan.m_zones]});
        }
        for (std::size_t index = 0; index < organisation_count; ++index)
        {
            auto const rate = static_cast<std::int64_t>(
                usual_rate(index) * mean_request_tokens / use_of_rate);
            result.m_organisations.push_back({name_of(index), token_rate(rate),
                                              token_count(rate * burst_seconds),
                                              1});
        }
        return result;
    }

    static organisation_id name_of(std::size_t index)
    {
        return organisation_id("org-" + std::to_string(index));
    }

    /** @return requests per second outside a flood */
    double usual_rate(std::size_t organisation) const
    {
        return m_plan.m_requests_per_second * shares[organisation];
    }

    bool is_flood(std::size_t organisation, double at) const
    {
        constexpr double begin = 0.35;
        constexpr double end = 0.6;
        double const fraction = at / static_cast<double>(m_length.count());
        return organisation == flooding && fraction >= begin && fraction < end;
    }

    void add_arrivals(std::size_t organisation, trace& result)
    {
        double at = 0;
        for (;;)
        {
            double const rate = usual_rate(organisation) *
                                (is_flood(organisation, at) ? flood_factor : 1);
            at += std::exponential_distribution<double>(rate)(m_random);
            if (at >= static_cast<double>(m_length.count()))
            {
                return;
            }
            result.m_events.emplace_back(make_arrival(organisation, at));
        }
    }

    /** Zipf-like rank, by inversion of the continuous distribution. */
    std::size_t popular(std::size_t count)
    {
        double const draw = std::uniform_real_distribution<double>()(m_random);
        double const power = 1 - popularity_exponent;
        double const top = std::pow(static_cast<double>(count) + 1, power);
        double const rank = std::pow(1 + draw * (top - 1), 1 / power);
        return std::min(count - 1, static_cast<std::size_t>(rank) - 1);
    }

    /** Length of a level, the same each time it is drawn. */
    static std::int64_t level_tokens(std::string const& name,
                                     std::int64_t max_blocks)
    {
        std::int64_t const half = max_blocks / 2;
        auto const spread =
            static_cast<std::int64_t>(XXH3_64bits(name.data(), name.size()) %
                                      static_cast<std::uint64_t>(half + 1));
        return (half + spread) * block_tokens;
    }

    arrival make_arrival(std::size_t organisation, double at)
    {
        arrival item;
        item.m_at =
            duration_cast<microseconds>(std::chrono::duration<double>(at));
        item.m_instance = draw(0, m_plan.m_instances - 1);
        item.m_organisation = name_of(organisation);
        auto const epoch = static_cast<std::size_t>(
            item.m_at / duration_cast<microseconds>(shift_interval));
        // The most popular ranks fall on other documents in each epoch.
        constexpr std::size_t document_stride = 7;
        std::size_t const topic = (popular(topics) + epoch) % topics;
        std::size_t const document =
            (popular(documents) + epoch * document_stride) % documents;
        std::string const topic_name = "topic-" + std::to_string(topic);
        std::string const document_name =
            topic_name + "/document-" + std::to_string(document);
        item.m_path = {
            {"root", root_blocks * block_tokens},
            {topic_name, level_tokens(topic_name, max_topic_blocks)},
            {document_name, level_tokens(document_name, max_document_blocks)}};
        bool const is_caption =
            std::bernoulli_distribution(caption_fraction)(m_random);
        for (path_segment const& segment : item.m_path)
        {
            item.m_prompt_tokens += segment.m_tokens;
        }
        item.m_prompt_tokens += is_caption ? draw(20, 200) : draw(200, 800);
        item.m_generated_tokens = is_caption ? draw(20, 80) : draw(150, 400);
        item.m_priority = is_caption ? caption_priority : translation_priority;
        item.m_deadline = is_caption ? caption_deadline : translation_deadline;
        return item;
    }

    std::int64_t draw(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least,
                                                           most)(m_random);
    }

    microseconds at_fraction(double fraction) const
    {
        return duration_cast<microseconds>(m_length * fraction);
    }

    void add_faults(trace& result)
    {
        auto const& engines = result.m_site.m_engines;
        auto const last = static_cast<std::int64_t>(engines.size()) - 1;
        auto const crashed = static_cast<std::size_t>(draw(0, last));
        auto const leaving = (crashed + 1) % engines.size();
        result.m_events.emplace_back(fault{at_fraction(0.7),
                                           fault_kind::engine_crash,
                                           engines[crashed].m_id, seconds(5)});
        result.m_events.emplace_back(
            fault{at_fraction(0.4), fault_kind::table_outage, {}, seconds(10)});
        result.m_events.emplace_back(
            upstream_leaves{at_fraction(0.85), engines[leaving].m_id});
    }

    site_plan m_plan;
    std::mt19937_64 m_random;
    seconds m_length;
};

} // namespace

trace generate_trace(std::string const& site_name, std::uint64_t seed,
                     seconds length, double load)
{
    for (site_plan const& plan : plans)
    {
        if (site_name == plan.m_name)
        {
            return generator(plan, seed, length, load).generate();
        }
    }
    throw error("unknown site " + site_name +
                "; known are tengri and wiegenwerk");
}

} // namespace daisylead::replay
