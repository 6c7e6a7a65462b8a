/** @file Request rate limits that upstreams set for the whole fleet. */
#include <daisylead/serving/upstream_rates_base.hpp>

#include <cmath>

namespace daisylead::serving
{

namespace
{

/** Time for which the end of a limit is kept: longer than an older statement
 *  takes to pass through the fleet. */
constexpr duration end_ttl = std::chrono::seconds(10);

/** Relative difference from which a limit counts as changed. */
constexpr double noticeable_change = 0.1;

bool differs(std::optional<double> const& before,
             std::optional<double> const& after)
{
    if (!before || !after)
    {
        return before.has_value() != after.has_value();
    }
    return std::abs(*after - *before) > noticeable_change * *before;
}

} // namespace

bool upstream_rates::note(rate_statement const& statement)
{
    auto const found = m_statements.find(statement.m_upstream);
    if (found == m_statements.end())
    {
        if (!statement.m_per_second)
        {
            return false;
        }
        m_statements.emplace(statement.m_upstream, statement);
        return true;
    }
    rate_statement& known = found->second;
    if (statement.m_stated_at <= known.m_stated_at)
    {
        return false;
    }
    bool const changed = differs(known.m_per_second, statement.m_per_second);
    known = statement;
    return changed;
}

void upstream_rates::erase(upstream_id const& id)
{
    m_statements.erase(id);
}

std::optional<double> upstream_rates::limit(upstream_id const& id) const
{
    auto const found = m_statements.find(id);
    return found == m_statements.end() ? std::nullopt
                                       : found->second.m_per_second;
}

std::vector<rate_statement> upstream_rates::statements(time_point now)
{
    std::erase_if(m_statements,
                  [now](auto const& entry)
                  {
                      rate_statement const& statement = entry.second;
                      return !statement.m_per_second &&
                             now - statement.m_stated_at > end_ttl;
                  });
    std::vector<rate_statement> list;
    list.reserve(m_statements.size());
    for (auto const& [id, statement] : m_statements)
    {
        list.push_back(statement);
    }
    return list;
}

} // namespace daisylead::serving
