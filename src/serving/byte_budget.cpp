/** @file Bound on what a process holds for all of its callers together. */
#include <daisylead/serving/byte_budget_base.hpp>

namespace daisylead::serving
{

byte_budget::byte_budget(byte_budget_options options) : m_options(options) {}

byte_holder byte_budget::open(time_point now)
{
    byte_holder const id{++m_last_id};
    holder_state& item = m_holders[id];
    item.m_opened_at = now;
    item.m_progress_at = now;
    return id;
}

std::size_t byte_budget::limit_for(std::size_t bytes) const
{
    auto const part = [this](double share)
    {
        return static_cast<std::size_t>(static_cast<double>(m_options.m_limit) *
                                        share);
    };
    std::size_t limit = m_options.m_limit;
    if (bytes > m_options.m_bodiless_size)
    {
        limit -= part(m_options.m_bodiless_share);
    }
    if (bytes > m_options.m_small_size)
    {
        limit -= part(m_options.m_small_share);
    }
    return limit;
}

bool byte_budget::fits(std::size_t bytes) const
{
    return bytes <= limit_for(bytes);
}

bool byte_budget::resize(byte_holder holder, std::size_t bytes, time_point now)
{
    auto const found = m_holders.find(holder);
    if (found == m_holders.end())
    {
        return false;
    }
    holder_state& item = found->second;
    std::size_t const others = m_used - item.m_bytes;
    if (bytes > item.m_bytes && others + bytes > limit_for(bytes))
    {
        return false;
    }
    m_used = others + bytes;
    item.m_bytes = bytes;
    item.m_progress_at = now;
    return true;
}

void byte_budget::note_progress(byte_holder holder, time_point now)
{
    auto const found = m_holders.find(holder);
    if (found != m_holders.end())
    {
        found->second.m_progress_at = now;
    }
}

void byte_budget::note_complete(byte_holder holder)
{
    auto const found = m_holders.find(holder);
    if (found != m_holders.end())
    {
        found->second.m_complete = true;
    }
}

void byte_budget::close(byte_holder holder)
{
    auto const found = m_holders.find(holder);
    if (found != m_holders.end())
    {
        m_used -= found->second.m_bytes;
        m_holders.erase(found);
    }
}

std::optional<byte_holder> byte_budget::stalled(time_point now) const
{
    std::optional<byte_holder> largest;
    std::size_t most = 0;
    for (auto const& [id, item] : m_holders)
    {
        bool const is_stalled =
            !item.m_complete &&
            now - item.m_progress_at >= m_options.m_stalled_after;
        if (is_stalled && item.m_bytes > most)
        {
            largest = id;
            most = item.m_bytes;
        }
    }
    return largest ? largest : slowest(now);
}

std::optional<byte_holder> byte_budget::slowest(time_point now) const
{
    std::optional<byte_holder> oldest;
    if (m_options.m_slow_after <= duration::zero())
    {
        return oldest;
    }
    time_point opened_at = now - m_options.m_slow_after;
    for (auto const& [id, item] : m_holders)
    {
        if (!item.m_complete && item.m_bytes > m_options.m_bodiless_size &&
            item.m_opened_at <= opened_at)
        {
            oldest = id;
            opened_at = item.m_opened_at;
        }
    }
    return oldest;
}

} // namespace daisylead::serving
