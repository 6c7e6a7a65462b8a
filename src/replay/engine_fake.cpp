/** @file A model engine at the upstream interface, for replay. */
#include "engine_fake.hpp"

#include <daisylead/replay/trace_type.hpp>

#include <algorithm>
#include <chrono>

namespace daisylead::replay
{

namespace
{

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

engine_fake::engine_fake(engine_costs costs, engine_hooks hooks,
                         std::uint64_t seed)
    : m_costs(costs), m_hooks(std::move(hooks)), m_random(seed)
{
    sample_load();
}

bool engine_fake::submit(engine_job job)
{
    if (!m_up)
    {
        return false;
    }
    m_waiting.emplace(std::pair(job.m_priority, ++m_arrivals), std::move(job));
    start_prefill();
    return true;
}

bool engine_fake::cancel(std::uint64_t attempt)
{
    return std::erase_if(m_waiting, [&](auto const& entry)
                         { return entry.second.m_attempt == attempt; }) != 0;
}

void engine_fake::crash(duration length)
{
    std::vector<std::uint64_t> lost(m_running.begin(), m_running.end());
    for (auto const& [key, job] : m_waiting)
    {
        lost.push_back(job.m_attempt);
    }
    if (m_prefilling != 0)
    {
        lost.push_back(m_prefilling);
    }
    m_up = false;
    m_waiting.clear();
    m_running.clear();
    m_prefilling = 0;
    m_lru.clear();
    m_cached.clear();
    m_log.clear();
    m_incarnation += incarnation(1);
    m_hooks.m_after(length,
                    [this]
                    {
                        m_up = true;
                        sample_load();
                    });
    for (std::uint64_t const attempt : lost)
    {
        m_hooks.m_on_end(attempt, false);
    }
}

void engine_fake::leave()
{
    m_leaving = true;
}

std::int64_t engine_fake::uncached(engine_job const& job) const
{
    return job.m_prompt_tokens -
           static_cast<std::int64_t>(cached_depth(job.m_blocks)) * block_tokens;
}

routing::load_report engine_fake::true_load() const
{
    routing::load_report report;
    report.m_incarnation = m_incarnation;
    report.m_state = m_leaving ? routing::engine_state::leaving
                               : routing::engine_state::serving;
    report.m_running = static_cast<std::int64_t>(m_running.size());
    report.m_waiting = static_cast<std::int64_t>(m_waiting.size()) +
                       (m_prefilling != 0 ? 1 : 0);
    std::int64_t tokens = 0;
    for (auto const& [key, job] : m_waiting)
    {
        tokens += uncached(job);
    }
    if (m_prefilling != 0)
    {
        double const left =
            std::chrono::duration<double>(m_prefill_end - m_hooks.m_now())
                .count();
        tokens += static_cast<std::int64_t>(left * m_costs.m_prefill_rate);
    }
    report.m_waiting_tokens = token_count(tokens);
    return report;
}

void engine_fake::sample_load()
{
    m_sample = true_load();
    m_sample_at = m_hooks.m_now();
}

routing::load_report engine_fake::load() const
{
    routing::load_report report = m_sample;
    report.m_age = m_hooks.m_now() - m_sample_at;
    return report;
}

std::vector<prefix::cache_event>
engine_fake::events_after(std::int64_t seq) const
{
    std::vector<prefix::cache_event> result;
    time_point const newest = m_hooks.m_now() - m_costs.m_event_delay;
    for (auto index = static_cast<std::size_t>(seq); index < m_log.size();
         ++index)
    {
        logged_event const& item = m_log[index];
        if (item.m_at > newest)
        {
            break;
        }
        if (!item.m_lost)
        {
            result.push_back(item.m_event);
        }
    }
    return result;
}

prefix::cache_snapshot engine_fake::snapshot() const
{
    return {m_incarnation,
            static_cast<std::int64_t>(m_log.size()),
            {m_lru.begin(), m_lru.end()}};
}

std::size_t
engine_fake::cached_depth(std::vector<prefix::block_hash> const& blocks) const
{
    auto const end =
        std::find_if(blocks.begin(), blocks.end(),
                     [&](prefix::block_hash block)
                     { return m_cached.find(block) == m_cached.end(); });
    return static_cast<std::size_t>(end - blocks.begin());
}

void engine_fake::start_prefill()
{
    if (m_prefilling != 0 || m_waiting.empty() ||
        m_running.size() >= m_costs.m_max_running)
    {
        return;
    }
    engine_job job = std::move(m_waiting.begin()->second);
    m_waiting.erase(m_waiting.begin());
    m_prefilling = job.m_attempt;
    std::int64_t const work = uncached(job);
    m_hooks.m_on_prefill(job.m_attempt, job.m_prompt_tokens - work);
    double const slowdown =
        1 + m_costs.m_prefill_slowdown * static_cast<double>(m_running.size());
    duration const length = to_duration(m_costs.m_prefill_fixed +
                                        static_cast<double>(work) * slowdown /
                                            m_costs.m_prefill_rate);
    m_prefill_end = m_hooks.m_now() + length;
    m_hooks.m_after(length,
                    [this, job = std::move(job), life = m_incarnation]
                    {
                        if (life == m_incarnation)
                        {
                            end_prefill(job);
                        }
                    });
}

void engine_fake::end_prefill(engine_job const& job)
{
    m_prefilling = 0;
    touch(job.m_blocks);
    m_running.insert(job.m_attempt);
    double const step =
        m_costs.m_step_fixed +
        m_costs.m_step_per_request * static_cast<double>(m_running.size());
    m_hooks.m_after(
        to_duration(step * static_cast<double>(job.m_generated_tokens)),
        [this, attempt = job.m_attempt, life = m_incarnation]
        {
            if (life == m_incarnation)
            {
                m_running.erase(attempt);
                start_prefill();
                m_hooks.m_on_end(attempt, true);
            }
        });
    start_prefill();
    m_hooks.m_on_first_token(job.m_attempt);
}

/** Leaves are touched first, so that they are evicted before their parents. */
void engine_fake::touch(std::vector<prefix::block_hash> const& blocks)
{
    std::vector<prefix::block_hash> stored;
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block)
    {
        auto const found = m_cached.find(*block);
        if (found != m_cached.end())
        {
            m_lru.splice(m_lru.begin(), m_lru, found->second);
            continue;
        }
        m_lru.push_front(*block);
        m_cached.emplace(*block, m_lru.begin());
        stored.push_back(*block);
    }
    std::vector<prefix::block_hash> evicted;
    while (m_lru.size() > m_costs.m_cache_blocks)
    {
        evicted.push_back(m_lru.back());
        m_cached.erase(m_lru.back());
        m_lru.pop_back();
    }
    log(prefix::cache_event_kind::stored, std::move(stored));
    log(prefix::cache_event_kind::evicted, std::move(evicted));
}

void engine_fake::log(prefix::cache_event_kind kind,
                      std::vector<prefix::block_hash> blocks)
{
    if (blocks.empty())
    {
        return;
    }
    bool const lost =
        std::bernoulli_distribution(m_costs.m_event_loss)(m_random);
    auto const seq = static_cast<std::int64_t>(m_log.size()) + 1;
    m_log.push_back({m_hooks.m_now(), {seq, kind, std::move(blocks)}, lost});
}

} // namespace daisylead::replay
