/** @file Table of the entry instances: schedule of the pings. */
#include <daisylead/membership/member_table_base.hpp>

#include <daisylead/membership/quorum_func.hpp>

#include <algorithm>

namespace daisylead::membership
{

namespace
{

/** Pings of a round that are available for instances whose last ping failed, so
 *  that a failure is confirmed without waiting for a full rotation. */
constexpr std::size_t recheck_slots = 4;

void append_unique(std::vector<std::string>& list, std::string const& item,
                   std::size_t limit)
{
    bool const present = std::ranges::find(list, item) != list.end();
    if (list.size() < limit && !present)
    {
        list.push_back(item);
    }
}

} // namespace

std::vector<send_ping> member_table::tick(time_point now,
                                          std::set<instance_id> const& urgent)
{
    expire_pings(now);
    if (m_last_round && now < m_next_round)
    {
        return {};
    }
    bool const is_quorum_wide = is_table_contact_lost(now);
    bool const is_small = m_members.size() <= pings_per_round;
    m_last_round = now;
    m_next_round =
        now + (is_quorum_wide && !is_small ? m_options.m_quorum_round_interval
                                           : m_options.m_ping_interval);
    std::vector<send_ping> pings;
    for (std::string const& address : select_round(urgent, is_quorum_wide))
    {
        pings.push_back(start_ping(address, now));
    }
    return pings;
}

time_point member_table::next_timer() const
{
    return m_next_round;
}

void member_table::ping_failed(std::uint64_t number, time_point now)
{
    auto const open = m_open_pings.find(number);
    if (open == m_open_pings.end())
    {
        return;
    }
    std::string const address = open->second.m_address;
    m_open_pings.erase(open);
    note_failure(address, now);
}

void member_table::expire_pings(time_point now)
{
    while (!m_open_pings.empty())
    {
        auto const oldest = m_open_pings.begin();
        if (now - oldest->second.m_sent_at < m_options.m_ping_timeout)
        {
            return;
        }
        ping_failed(oldest->first, now);
    }
}

bool member_table::is_table_contact_lost(time_point now) const
{
    return !m_table_sent_at ||
           now - *m_table_sent_at > m_options.m_table_contact_timeout;
}

bool member_table::has_open_ping(std::string const& address) const
{
    return std::ranges::any_of(m_open_pings, [&](auto const& entry)
                               { return entry.second.m_address == address; });
}

std::vector<std::string> member_table::rotated_addresses()
{
    std::set<std::string> addresses = m_seed_addresses;
    for (auto const& [id, item] : m_members)
    {
        addresses.insert(item.m_address);
    }
    std::vector<std::string> result(addresses.upper_bound(m_rotation_cursor),
                                    addresses.end());
    result.insert(result.end(), addresses.begin(),
                  addresses.upper_bound(m_rotation_cursor));
    return result;
}

std::vector<std::string>
member_table::select_round(std::set<instance_id> const& urgent,
                           bool is_quorum_wide)
{
    std::vector<std::string> round;
    for (instance_id const& id : urgent)
    {
        member const* const item = find(id);
        if (item != nullptr && !has_open_ping(item->m_address))
        {
            append_unique(round, item->m_address, urgent_pings_per_round);
        }
    }
    std::vector<std::string> const order = rotated_addresses();
    if (is_quorum_wide)
    {
        auto const all =
            quorum_round(order, addresses_with(member_status::silent));
        round.insert(round.end(), all.begin(), all.end());
        std::ranges::sort(round);
        round.erase(std::unique(round.begin(), round.end()), round.end());
        return round;
    }
    std::size_t const limit = round.size() + pings_per_round;
    std::size_t const recheck_limit = round.size() + recheck_slots;
    for (auto const& [id, item] : m_members)
    {
        if (item.m_failures > 0 && item.m_failures < failures_until_silent)
        {
            append_unique(round, item.m_address, recheck_limit);
        }
    }
    for (std::string const& address : order)
    {
        if (round.size() >= limit)
        {
            break;
        }
        append_unique(round, address, limit);
        m_rotation_cursor = address;
    }
    return round;
}

std::vector<std::string>
member_table::quorum_round(std::vector<std::string> addresses,
                           std::set<std::string> const& silent_addresses)
{
    // Pings a quorum, preferably of instances that are not silent. An eighth
    // more allows for instances that have failed since. A normal round of
    // silent instances is added, so that their return is detected.
    std::size_t const known = m_members.size() + 1;
    std::size_t const wanted = std::max(
        quorum_size(known) + known / 8 + pings_per_round, pings_per_round);
    std::stable_partition(addresses.begin(), addresses.end(),
                          [&](auto const& address)
                          { return !silent_addresses.contains(address); });
    std::vector<std::string> result;
    for (std::string const& address : addresses)
    {
        append_unique(result, address, wanted);
    }
    std::size_t const with_silent = result.size() + pings_per_round;
    for (std::string const& address : addresses)
    {
        if (silent_addresses.contains(address) && result.size() < with_silent)
        {
            append_unique(result, address, with_silent);
            m_rotation_cursor = address;
        }
    }
    return result;
}

std::set<std::string> member_table::addresses_with(member_status status) const
{
    std::set<std::string> result;
    for (auto const& [id, item] : m_members)
    {
        if (item.m_status == status)
        {
            result.insert(item.m_address);
        }
    }
    return result;
}

send_ping member_table::start_ping(std::string const& address, time_point now)
{
    std::uint64_t const number = m_next_number++;
    m_open_pings[number] = open_ping{address, now};
    return send_ping{address,
                     ping{m_options.m_self, m_options.m_incarnation,
                          m_options.m_address, number, m_version, m_state}};
}

} // namespace daisylead::membership
