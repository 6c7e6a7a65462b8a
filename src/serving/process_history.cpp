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

process_history::process_history(duration max_age) : m_max_age(max_age) {}

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
                                time_point read_at)
{
    for (upstream_record const& record : list)
    {
        listings& known = m_listings[record.m_id];
        auto const found = find(known, record.m_started, record.m_software);
        if (found != known.end())
        {
            found->m_last_listed = std::max(found->m_last_listed, read_at);
            continue;
        }
        if (known.size() >= max_processes)
        {
            known.erase(known.begin());
        }
        known.push_back(
            {record.m_started, record.m_software, read_at, read_at});
    }
    if (read_at < m_next_sweep)
    {
        return;
    }
    m_next_sweep = read_at + sweep_interval;
    for (auto& [id, known] : m_listings)
    {
        std::erase_if(known, [&](listing const& item)
                      { return read_at - item.m_last_listed > m_max_age; });
    }
    std::erase_if(m_listings,
                  [](auto const& entry) { return entry.second.empty(); });
}

process_check process_history::check(upstream_process const& process,
                                     time_point connected_at,
                                     bool is_vouched) const
{
    process_check result;
    auto const known = m_listings.find(process.m_upstream);
    if (known != m_listings.end())
    {
        listings const& all = known->second;
        auto const own = find(all, process.m_started, process.m_software);
        if (own != all.end())
        {
            result.m_first_listed = own->m_first_listed;
            result.m_last_listed = own->m_last_listed;
        }
        auto const other =
            std::find_if(all.begin(), all.end(),
                         [&](listing const& item)
                         {
                             return item.m_software != process.m_software &&
                                    (own == all.end() ||
                                     item.m_last_listed > own->m_first_listed);
                         });
        if (other != all.end())
        {
            result.m_proof = process_proof::contradicted;
            result.m_other = {process.m_upstream, other->m_started,
                              other->m_software};
            result.m_other_first_listed = other->m_first_listed;
            return result;
        }
    }
    if (is_vouched ||
        (result.m_last_listed && *result.m_last_listed >= connected_at))
    {
        result.m_proof = process_proof::proven;
    }
    return result;
}

} // namespace daisylead::serving
