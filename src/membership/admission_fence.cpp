/** @file Decides whether this instance may admit requests. */
#include <daisylead/membership/admission_fence_base.hpp>

#include <daisylead/membership/quorum_func.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace daisylead::membership
{

namespace
{

void raise_to(std::optional<time_point>& current, time_point candidate)
{
    if (!current || *current < candidate)
    {
        current = candidate;
    }
}

} // namespace

admission_fence::admission_fence(instance_id self, duration fencing_time)
    : m_self(std::move(self)), m_fencing_time(fencing_time)
{
    m_members.insert(m_self);
}

void admission_fence::set_members(std::set<instance_id> members)
{
    m_members = std::move(members);
    m_members.insert(m_self);
    std::erase_if(m_peers, [this](auto const& entry)
                  { return !m_members.contains(entry.first); });
}

void admission_fence::set_in_force(config_version version)
{
    if (version <= m_in_force)
    {
        return;
    }
    m_in_force = version;
    promote_pending(m_table);
    for (auto& [peer, item] : m_peers)
    {
        promote_pending(item);
    }
    update_informed();
}

void admission_fence::table_reached(time_point sent_at, config_version head)
{
    note_contact(m_table, sent_at, head);
    update_informed();
}

void admission_fence::peer_reached(peer_contact const& contact)
{
    if (!contact.m_informed || contact.m_peer == m_self ||
        !m_members.contains(contact.m_peer))
    {
        return;
    }
    note_contact(m_peers[contact.m_peer], contact.m_sent_at, contact.m_version);
    update_informed();
}

bool admission_fence::may_admit(time_point now) const
{
    return m_informed &&
           (is_recent(m_table.m_counted_at, now) || has_quorum(now));
}

bool admission_fence::has_quorum(time_point now) const
{
    std::optional<time_point> const until = quorum_until();
    return until && now < *until;
}

bool admission_fence::is_informed() const
{
    return m_informed;
}

std::optional<time_point> admission_fence::admits_until(time_point now) const
{
    if (!may_admit(now))
    {
        return std::nullopt;
    }
    time_point until = now;
    if (m_table.m_counted_at)
    {
        until = std::max(until, *m_table.m_counted_at + m_fencing_time);
    }
    if (std::optional<time_point> const quorum = quorum_until())
    {
        until = std::max(until, *quorum);
    }
    return until;
}

void admission_fence::note_contact(contact_times& item, time_point sent_at,
                                   config_version version) const
{
    if (version <= m_in_force)
    {
        raise_to(item.m_counted_at, sent_at);
        return;
    }
    raise_to(item.m_pending_at, sent_at);
    item.m_pending_version = std::max(item.m_pending_version, version);
}

void admission_fence::promote_pending(contact_times& item) const
{
    if (item.m_pending_at && item.m_pending_version <= m_in_force)
    {
        raise_to(item.m_counted_at, *item.m_pending_at);
        item.m_pending_at.reset();
    }
}

void admission_fence::update_informed()
{
    // All contacts were made after the start, so their age does not matter.
    m_informed = m_informed || m_table.m_counted_at || quorum_until();
}

std::size_t admission_fence::needed_peers() const
{
    std::size_t const known = m_members.size();
    return m_informed ? quorum_size(known) - 1 : restart_quorum_size(known);
}

std::optional<time_point> admission_fence::quorum_until() const
{
    std::size_t const needed = needed_peers();
    if (needed == 0)
    {
        return time_point::max();
    }
    std::vector<time_point> times;
    for (auto const& [peer, item] : m_peers)
    {
        if (item.m_counted_at)
        {
            times.push_back(*item.m_counted_at);
        }
    }
    if (times.size() < needed)
    {
        return std::nullopt;
    }
    // The quorum lasts as long as the oldest of its most recent contacts.
    auto const nth = times.begin() + static_cast<std::ptrdiff_t>(needed) - 1;
    std::nth_element(times.begin(), nth, times.end(), std::greater<>());
    return *nth + m_fencing_time;
}

bool admission_fence::is_recent(std::optional<time_point> sent_at,
                                time_point now) const
{
    return sent_at && now < *sent_at + m_fencing_time;
}

} // namespace daisylead::membership
