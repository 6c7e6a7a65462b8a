/** @file Decides whether this instance may admit requests. */
#include <daisylead/membership/fence_base.hpp>

#include <daisylead/membership/quorum_func.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace daisylead::membership
{

namespace
{

void raise(std::optional<time_point>& current, time_point candidate)
{
    if (!current || *current < candidate)
    {
        current = candidate;
    }
}

} // namespace

fence::fence(instance_id self, duration fencing_time)
    : m_self(std::move(self)), m_fencing_time(fencing_time)
{
    m_members.insert(m_self);
}

void fence::set_members(std::set<instance_id> members)
{
    m_members = std::move(members);
    m_members.insert(m_self);
    std::erase_if(m_peers, [this](auto const& entry)
                  { return !m_members.contains(entry.first); });
}

void fence::set_in_force(config_version version)
{
    if (version <= m_in_force)
    {
        return;
    }
    m_in_force = version;
    release_waiting(m_table);
    for (auto& [peer, item] : m_peers)
    {
        release_waiting(item);
    }
    update_informed();
}

void fence::table_reached(time_point sent_at, config_version head)
{
    note(m_table, sent_at, head);
    update_informed();
}

void fence::peer_reached(peer_evidence const& evidence)
{
    if (!evidence.m_informed || evidence.m_peer == m_self ||
        !m_members.contains(evidence.m_peer))
    {
        return;
    }
    note(m_peers[evidence.m_peer], evidence.m_sent_at, evidence.m_version);
    update_informed();
}

bool fence::may_admit(time_point now) const
{
    return m_informed && (is_recent(m_table.m_counted, now) || has_quorum(now));
}

bool fence::has_quorum(time_point now) const
{
    std::optional<time_point> const until = quorum_until();
    return until && now < *until;
}

bool fence::is_informed() const
{
    return m_informed;
}

std::optional<time_point> fence::open_until(time_point now) const
{
    if (!may_admit(now))
    {
        return std::nullopt;
    }
    time_point until = now;
    if (m_table.m_counted)
    {
        until = std::max(until, *m_table.m_counted + m_fencing_time);
    }
    if (std::optional<time_point> const quorum = quorum_until())
    {
        until = std::max(until, *quorum);
    }
    return until;
}

void fence::note(contact& item, time_point sent_at,
                 config_version version) const
{
    if (version <= m_in_force)
    {
        raise(item.m_counted, sent_at);
        return;
    }
    raise(item.m_waiting, sent_at);
    item.m_version = std::max(item.m_version, version);
}

void fence::release_waiting(contact& item) const
{
    if (item.m_waiting && item.m_version <= m_in_force)
    {
        raise(item.m_counted, *item.m_waiting);
        item.m_waiting.reset();
    }
}

void fence::update_informed()
{
    // Every contact is later than the start, so its age does not matter here.
    m_informed = m_informed || m_table.m_counted || quorum_until();
}

std::size_t fence::needed_peers() const
{
    std::size_t const known = m_members.size();
    return m_informed ? quorum_size(known) - 1 : restart_quorum_size(known);
}

std::optional<time_point> fence::quorum_until() const
{
    std::size_t const needed = needed_peers();
    if (needed == 0)
    {
        return time_point::max();
    }
    std::vector<time_point> times;
    for (auto const& [peer, item] : m_peers)
    {
        if (item.m_counted)
        {
            times.push_back(*item.m_counted);
        }
    }
    if (times.size() < needed)
    {
        return std::nullopt;
    }
    // The oldest contact of the best quorum ends it.
    auto const nth = times.begin() + static_cast<std::ptrdiff_t>(needed) - 1;
    std::nth_element(times.begin(), nth, times.end(), std::greater<>());
    return *nth + m_fencing_time;
}

bool fence::is_recent(std::optional<time_point> sent_at, time_point now) const
{
    return sent_at && now < *sent_at + m_fencing_time;
}

} // namespace daisylead::membership
