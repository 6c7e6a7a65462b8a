/** @file Collection of the results of one run. */
#include "metrics.hpp"

#include <algorithm>

namespace daisylead::replay
{

namespace
{

constexpr double p50 = 0.5;
constexpr double p99 = 0.99;

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    auto const rank = static_cast<std::ptrdiff_t>(
        fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

double tokens_of(arrival const& item)
{
    return static_cast<double>(item.m_prompt_tokens + item.m_generated_tokens);
}

} // namespace

void metrics::note_refused_outside()
{
    ++m_counts.m_refused_outside;
}

void metrics::note_due(arrival const& item)
{
    m_organisations[item.m_organisation].m_due += tokens_of(item);
}

void metrics::note_refused_inside()
{
    ++m_counts.m_refused_inside;
}

void metrics::note_prefill(std::int64_t prompt_tokens, std::int64_t cached,
                           std::int64_t cached_anywhere)
{
    m_prompt_tokens += static_cast<double>(prompt_tokens);
    m_cached_tokens += static_cast<double>(cached);
    m_counts.m_wasted += static_cast<double>(cached_anywhere - cached);
}

void metrics::note_first_token(arrival const& item, double ttft)
{
    organisation_counts& counts = m_organisations[item.m_organisation];
    counts.m_served += tokens_of(item);
    counts.m_ttft.push_back(ttft);
    ++m_counts.m_served;
}

void metrics::note_retry()
{
    ++m_counts.m_retries;
}

run_result metrics::result() const
{
    run_result result = m_counts;
    result.m_hit_rate =
        m_prompt_tokens > 0 ? m_cached_tokens / m_prompt_tokens : 0;
    std::vector<double> all;
    for (auto const& [id, counts] : m_organisations)
    {
        all.insert(all.end(), counts.m_ttft.begin(), counts.m_ttft.end());
        if (counts.m_due > 0)
        {
            result.m_worst_share =
                std::min(result.m_worst_share, counts.m_served / counts.m_due);
        }
        result.m_worst_p99_ttft =
            std::max(result.m_worst_p99_ttft, percentile(counts.m_ttft, p99));
    }
    result.m_p50_ttft = percentile(all, p50);
    result.m_p99_ttft = percentile(std::move(all), p99);
    return result;
}

} // namespace daisylead::replay
