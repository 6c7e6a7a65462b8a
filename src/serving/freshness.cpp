/** @file How long knowledge of the configuration stays valid. */
#include <daisylead/serving/freshness_base.hpp>

#include <algorithm>

namespace daisylead::serving
{

bool freshness::note_read(std::uint64_t revision, time_point read_at)
{
    if (revision < m_revision)
    {
        // An older answer that arrived late proves nothing about the content
        // in force.
        return false;
    }
    bool const changed = revision > m_revision;
    m_revision = revision;
    // A newer revision may come from an older read than the last proof of the
    // old one, which that read disproves.
    m_read_at = changed || !m_read_at ? read_at : std::max(*m_read_at, read_at);
    return changed;
}

std::optional<duration> freshness::age(time_point now) const
{
    if (!m_read_at)
    {
        return std::nullopt;
    }
    return std::max(duration::zero(), now - *m_read_at);
}

bool freshness::is_valid(time_point now, duration limit) const
{
    auto const current = age(now);
    return current && *current < limit;
}

duration store_read_delay(std::size_t rank, duration base, duration step,
                          duration max_delay)
{
    return std::min(max_delay, base + step * static_cast<std::int64_t>(rank));
}

} // namespace daisylead::serving
