/** @file Age and validity of documents read from the store. */
#include <daisylead/serving/freshness_base.hpp>

#include <algorithm>

namespace daisylead::serving
{

bool freshness::note_read(std::uint64_t revision, time_point read_at)
{
    if (revision < m_revision)
    {
        // A late response with an older revision does not confirm the current
        // content.
        return false;
    }
    bool const changed = revision > m_revision;
    m_revision = revision;
    // A newer revision may come from a read before the one that last confirmed
    // the old revision; that confirmation is then invalid, so the age may grow.
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
