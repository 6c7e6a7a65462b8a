/** @file Token bucket with reservations and refunds. */
#include <daisylead/limits/token_bucket_base.hpp>

#include <algorithm>
#include <chrono>

namespace daisylead::limits
{

namespace
{

/** Bounds the memory of a bucket. Beyond it the two oldest entries are merged,
 *  which reduces refunds of the oldest reservations. */
constexpr std::size_t max_used_minima = 64;

using seconds = std::chrono::duration<double>;

/** Maximum time returned by time_until(). */
constexpr double max_wait_seconds = 3600;

} // namespace

token_bucket::token_bucket(bucket_limit limit, time_point now)
    : m_limit(limit), m_updated_at(now), m_used(limit.m_burst)
{
}

void token_bucket::advance(time_point now)
{
    if (now <= m_updated_at)
    {
        return;
    }
    // The local clock may be fast, but the limit applies to real time.
    double const elapsed =
        seconds(now - m_updated_at).count() / (1 + clock_drift);
    m_used = std::max(0.0, m_used - (elapsed * m_limit.m_rate));
    m_updated_at = now;
}

void token_bucket::set_limit(bucket_limit limit)
{
    record_used();
    m_used = std::max(0.0, m_used + limit.m_burst - m_limit.m_burst);
    m_limit = limit;
    record_used();
}

double token_bucket::level() const
{
    return m_limit.m_burst - m_used - m_pending;
}

void token_bucket::reserve(double tokens)
{
    m_pending += tokens;
}

void token_bucket::reserve_everything()
{
    m_pending = m_limit.m_burst;
    m_used = 0;
}

bucket_sequence token_bucket::confirm(double tokens)
{
    record_used();
    m_pending = std::max(0.0, m_pending - tokens);
    m_used += tokens;
    return m_next_sequence;
}

void token_bucket::cancel(double tokens)
{
    m_pending = std::max(0.0, m_pending - tokens);
}

double token_bucket::refund(double tokens, bucket_sequence sequence)
{
    record_used();
    double const restored = std::min(tokens, min_used_since(sequence));
    m_used -= restored;
    reduce_minima_since(sequence, restored);
    return restored;
}

void token_bucket::charge(double tokens)
{
    record_used();
    m_used += tokens;
}

duration token_bucket::time_until(double tokens) const
{
    double const missing = std::min(tokens, m_limit.m_burst) - level();
    if (missing <= 0)
    {
        return duration::zero();
    }
    double const rate = m_limit.m_rate / (1 + clock_drift);
    double const wait =
        missing < rate * max_wait_seconds ? missing / rate : max_wait_seconds;
    return std::chrono::ceil<std::chrono::milliseconds>(seconds(wait));
}

void token_bucket::record_used()
{
    while (!m_used_minima.empty() && m_used_minima.back().m_used >= m_used)
    {
        m_used_minima.pop_back();
    }
    m_used_minima.push_back({m_next_sequence++, m_used});
    if (m_used_minima.size() > max_used_minima)
    {
        m_used_minima[1].m_used = m_used_minima[0].m_used;
        m_used_minima.erase(m_used_minima.begin());
    }
}

double token_bucket::min_used_since(bucket_sequence sequence) const
{
    auto const found = std::ranges::lower_bound(m_used_minima, sequence, {},
                                                &used_minimum::m_sequence);
    return found == m_used_minima.end() ? m_used : found->m_used;
}

void token_bucket::reduce_minima_since(bucket_sequence sequence, double tokens)
{
    std::vector<used_minimum> lowered;
    for (used_minimum item : m_used_minima)
    {
        if (item.m_sequence >= sequence)
        {
            item.m_used -= tokens;
        }
        while (!lowered.empty() && lowered.back().m_used >= item.m_used)
        {
            lowered.pop_back();
        }
        lowered.push_back(item);
    }
    m_used_minima = std::move(lowered);
}

} // namespace daisylead::limits
