/** @file Software versions that the upstreams of a service had lately. */
#include <daisylead/serving/software_history_base.hpp>

#include <algorithm>

namespace daisylead::serving
{

namespace
{

/** Age from which a use is forgotten; far longer than a stream lasts. */
constexpr duration max_use_age = std::chrono::minutes(10);

} // namespace

software_history::software_history(duration max_gap) : m_max_gap(max_gap) {}

void software_history::note_list(std::vector<upstream_record> const& list,
                                 time_point read_at)
{
    if (m_since && read_at < m_until)
    {
        return;
    }
    if (!m_since || read_at - m_until > m_max_gap)
    {
        m_since = read_at;
    }
    m_until = read_at;
    for (auto const& [service, versions] : m_listed)
    {
        for (software_version const& version : versions)
        {
            m_last_used[service][version] = read_at;
        }
    }
    m_listed.clear();
    for (upstream_record const& record : list)
    {
        m_listed[record.m_service].insert(record.m_software);
        m_last_used[record.m_service][record.m_software] = read_at;
    }
    for (auto& [service, versions] : m_last_used)
    {
        std::erase_if(versions, [read_at](auto const& use)
                      { return read_at - use.second > max_use_age; });
    }
}

void software_history::merge(software_report const& report)
{
    for (software_use const& use : report.m_uses)
    {
        time_point& last = m_last_used[use.m_service]
                               .try_emplace(use.m_software, use.m_last_used)
                               .first->second;
        last = std::max(last, use.m_last_used);
        if (!m_since && use.m_last_used >= report.m_until)
        {
            m_listed[use.m_service].insert(use.m_software);
        }
    }
    if (!m_since)
    {
        m_since = report.m_since;
        m_until = report.m_until;
    }
    else if (report.m_since < *m_since &&
             report.m_until + m_max_gap >= *m_since)
    {
        m_since = report.m_since;
    }
}

std::optional<software_report> software_history::report() const
{
    if (!m_since)
    {
        return std::nullopt;
    }
    software_report result{*m_since, m_until, {}};
    for (auto const& [service, versions] : m_last_used)
    {
        for (auto const& [version, last] : versions)
        {
            result.m_uses.push_back({service, version, last});
        }
    }
    return result;
}

std::optional<software_version>
software_history::sole_version(service_id const& service, time_point since,
                               time_point now) const
{
    auto const known = m_last_used.find(service);
    if (!m_since || *m_since > since || now - m_until > m_max_gap ||
        known == m_last_used.end())
    {
        return std::nullopt;
    }
    std::optional<software_version> sole;
    for (auto const& [version, last] : known->second)
    {
        if (last < since)
        {
            continue;
        }
        if (sole)
        {
            return std::nullopt;
        }
        sole = version;
    }
    return sole;
}

} // namespace daisylead::serving
