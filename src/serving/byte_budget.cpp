/** @file Bound on what a process holds for all of its callers together. */
#include <daisylead/serving/byte_budget_base.hpp>

namespace daisylead::serving
{

byte_budget::byte_budget(byte_budget_options options) : m_options(options) {}

byte_holder byte_budget::open(time_point now)
{
    byte_holder const id{++m_last_id};
    m_holders[id].m_progress_at = now;
    return id;
}

std::size_t byte_budget::limit_for(std::size_t bytes) const
{
    auto const reserve = static_cast<std::size_t>(
        static_cast<double>(m_options.m_limit) * m_options.m_small_share);
    return bytes <= m_options.m_small_size ? m_options.m_limit
                                           : m_options.m_limit - reserve;
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
    return largest;
}

} // namespace daisylead::serving
