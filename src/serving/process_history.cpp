/** @file Processes that service discovery listed under the id of an upstream.
 */
#include <daisylead/serving/process_history_base.hpp>

#include <algorithm>

namespace daisylead::serving
{

namespace
{

/** Maximum number of processes that are known for one id. */
constexpr std::size_t max_processes = 8;

/** Interval of dropping processes that are too old. */
constexpr duration sweep_interval = std::chrono::seconds(30);

} // namespace

process_history::process_history(process_history_options const& options,
                                 unix_time_hook to_unix)
    : m_options(options), m_to_unix(std::move(to_unix))
{
}

template <class Listings>
auto process_history::find(Listings& known, std::int64_t started,
                           software_version const& software)
{
    return std::find_if(known.begin(), known.end(),
                        [&](listing const& item) {
                            return item.m_started == started &&
                                   item.m_software == software;
                        });
}

void process_history::note_list(std::vector<upstream_record> const& list,
                                time_point read_at, time_point now)
{
    time_point const previous_read = m_read_at;
    m_read_at = std::max(m_read_at, read_at);
    for (upstream_record const& record : list)
    {
        listings& known = m_listings[record.m_id];
        auto const found = find(known, record.m_started, record.m_software);
        if (found != known.end())
        {
            if (found->m_last_listed < previous_read)
            {
                found->m_listed_since = read_at;
            }
            found->m_last_listed = std::max(found->m_last_listed, read_at);
            continue;
        }
        if (known.size() >= max_processes)
        {
            known.erase(known.begin());
        }
        known.push_back({record.m_started, record.m_software, read_at, now,
                         read_at, read_at, std::nullopt});
    }
    if (read_at < m_next_sweep)
    {
        return;
    }
    m_next_sweep = read_at + sweep_interval;
    for (auto& [id, known] : m_listings)
    {
        std::erase_if(
            known, [&](listing const& item)
            { return read_at - item.m_last_listed > m_options.m_max_age; });
    }
    std::erase_if(m_listings,
                  [](auto const& entry) { return entry.second.empty(); });
}

bool process_history::note_ended(upstream_id const& upstream,
                                 std::int64_t started, time_point at)
{
    auto const known = m_listings.find(upstream);
    if (known == m_listings.end())
    {
        return false;
    }
    bool is_new = false;
    for (listing& item : known->second)
    {
        if (item.m_started == started && !has_ended(item, at))
        {
            item.m_ended_at = at;
            is_new = true;
        }
    }
    return is_new;
}

bool process_history::has_ended(listing const& item, time_point time) const
{
    if (!item.m_ended_at || *item.m_ended_at > time)
    {
        return false;
    }
    bool const is_refuted =
        item.m_listed_since <= *item.m_ended_at &&
        item.m_last_listed - *item.m_ended_at >= m_options.m_settle_time;
    return !is_refuted;
}

bool process_history::has_equal_successor(listings const& all,
                                          listing const& own,
                                          time_point connected_at)
{
    listing const* next = nullptr;
    for (listing const& item : all)
    {
        if (item.m_started > own.m_started &&
            (next == nullptr || item.m_started < next->m_started))
        {
            next = &item;
        }
    }
    return next != nullptr && next->m_software == own.m_software &&
           next->m_last_listed >= connected_at;
}

bool process_history::may_have_reached(listing const& other, listing const* own,
                                       upstream_process const& process,
                                       time_point connected_at) const
{
    bool const has_order = other.m_started != 0 && process.m_started != 0;
    bool const is_later = has_order && other.m_started > process.m_started;
    if (own != nullptr)
    {
        if (!is_later && other.m_last_listed <= own->m_first_listed)
        {
            return false;
        }
        // A later process would have written its record meanwhile.
        auto const is_settled = [&](time_point since)
        {
            return own->m_last_listed - since >= m_options.m_settle_time;
        };
        if (own->m_listed_since <= connected_at &&
            (is_settled(connected_at) ||
             (is_settled(own->m_listed_since) &&
              other.m_last_listed < own->m_listed_since)))
        {
            return false;
        }
    }
    if (!has_order)
    {
        return true;
    }
    if (!is_later)
    {
        // A copy of the store may list it again.
        return own == nullptr || other.m_first_listed > own->m_first_listed;
    }
    milliseconds const margin =
        std::chrono::ceil<milliseconds>(m_options.m_max_clock_difference);
    bool const began_later =
        other.m_started > m_to_unix(connected_at) + margin.count();
    // Else the clock of this machine or that of the upstream is wrong.
    bool const is_plausible =
        other.m_started <= m_to_unix(other.m_first_known) + margin.count();
    return !began_later || !is_plausible;
}

process_check process_history::check(upstream_process const& process,
                                     time_point connected_at,
                                     bool is_vouched) const
{
    process_check result;
    auto const known = m_listings.find(process.m_upstream);
    listings const none;
    listings const& all = known == m_listings.end() ? none : known->second;
    auto const found = find(all, process.m_started, process.m_software);
    listing const* const own = found == all.end() ? nullptr : &*found;
    if (own != nullptr)
    {
        result.m_first_listed = own->m_first_listed;
        result.m_last_listed = own->m_last_listed;
    }
    auto const other = std::find_if(
        all.begin(), all.end(),
        [&](listing const& item)
        {
            return item.m_software != process.m_software &&
                   may_have_reached(item, own, process, connected_at);
        });
    if (other != all.end())
    {
        result.m_proof = process_proof::contradicted;
        result.m_other = {process.m_upstream, other->m_started,
                          other->m_software};
        result.m_other_first_listed = other->m_first_listed;
    }
    else if (own != nullptr && has_ended(*own, connected_at))
    {
        result.m_proof = has_equal_successor(all, *own, connected_at)
                             ? process_proof::proven
                             : process_proof::ended;
    }
    else if (is_vouched ||
             (own != nullptr && own->m_last_listed >= connected_at))
    {
        result.m_proof = process_proof::proven;
    }
    return result;
}

} // namespace daisylead::serving
