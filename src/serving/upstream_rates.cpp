/** @file Request rate limits that upstreams set for the whole fleet. */
#include <daisylead/serving/upstream_rates_base.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisylead::serving
{

namespace
{

/** Time for which the end of a limit is kept: longer than an older statement
 *  takes to pass through the fleet. */
constexpr duration end_ttl = std::chrono::seconds(10);

/** Smallest share that is used, requests per second; keeps the interval between
 *  two requests finite. */
constexpr double min_share = 0.001;

/** Age of a statement from which an answer is wanted, so that the end of the
 *  limit becomes known. */
constexpr duration max_statement_age = std::chrono::seconds(3);

/** Limits above this, requests per second, bind no fleet; the bound keeps them
 *  within the range of the peer messages. */
constexpr double max_limit = 1e6;

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

upstream_rates::upstream_rates(rate_share_hook share)
    : m_share(std::move(share))
{
}

bool upstream_rates::note(rate_statement statement)
{
    if (statement.m_per_second)
    {
        statement.m_per_second =
            std::clamp(*statement.m_per_second, 0.0, max_limit);
    }
    auto const found = m_entries.find(statement.m_upstream);
    if (found == m_entries.end())
    {
        if (!statement.m_per_second)
        {
            return false;
        }
        // The upstream has just had requests at the former pace.
        m_entries.emplace(statement.m_upstream,
                          entry{statement, statement.m_stated_at, 0, {}});
        return true;
    }
    rate_statement& known = found->second.m_statement;
    if (statement.m_stated_at <= known.m_stated_at)
    {
        return false;
    }
    bool const changed = is_change(statement);
    if (!known.m_per_second)
    {
        found->second.m_last_sent = statement.m_stated_at;
    }
    known = statement;
    return changed;
}

bool upstream_rates::is_change(rate_statement const& statement) const
{
    return differs(limit(statement.m_upstream), statement.m_per_second);
}

void upstream_rates::erase(upstream_id const& id)
{
    m_entries.erase(id);
}

std::optional<double> upstream_rates::limit(upstream_id const& id) const
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() ? std::nullopt
                                    : found->second.m_statement.m_per_second;
}

time_point upstream_rates::next_send(upstream_id const& id,
                                     time_point now) const
{
    auto const found = m_entries.find(id);
    if (found == m_entries.end() || !found->second.m_statement.m_per_second)
    {
        return now;
    }
    double const limit = *found->second.m_statement.m_per_second;
    double const share = m_share ? m_share(id, limit, now) : limit;
    if (share <= 0)
    {
        return time_point::max();
    }
    auto const interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / std::max(share, min_share)));
    return found->second.m_last_sent + interval;
}

bool upstream_rates::wants_answer(upstream_id const& id, time_point now) const
{
    auto const found = m_entries.find(id);
    return found != m_entries.end() && found->second.m_statement.m_per_second &&
           now - found->second.m_statement.m_stated_at > max_statement_age;
}

void upstream_rates::note_sent(upstream_id const& id, time_point now)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end())
    {
        found->second.m_last_sent = now;
    }
}

void upstream_rates::note_grant(upstream_id const& id, double per_second,
                                time_point until)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end())
    {
        found->second.m_granted = per_second;
        found->second.m_granted_until = until;
    }
}

double upstream_rates::granted(upstream_id const& id, time_point now) const
{
    auto const found = m_entries.find(id);
    return found != m_entries.end() && now < found->second.m_granted_until
               ? found->second.m_granted
               : 0;
}

std::vector<rate_statement> upstream_rates::statements(time_point now)
{
    std::erase_if(m_entries,
                  [now](auto const& item)
                  {
                      rate_statement const& statement = item.second.m_statement;
                      return !statement.m_per_second &&
                             now - statement.m_stated_at > end_ttl;
                  });
    std::vector<rate_statement> list;
    list.reserve(m_entries.size());
    for (auto const& [id, item] : m_entries)
    {
        list.push_back(item.m_statement);
    }
    return list;
}

} // namespace daisylead::serving
