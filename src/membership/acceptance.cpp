/** @file Tracks whether a committed configuration version is accepted. */
#include <daisylead/membership/acceptance_base.hpp>

#include <daisylead/membership/quorum_func.hpp>

#include <algorithm>

namespace daisylead::membership
{

acceptance_tracker::acceptance_tracker(config_version version,
                                       time_point committed_at,
                                       std::set<instance_id> const& members,
                                       duration fencing_wait)
    : m_version(version), m_committed_at(committed_at),
      m_fencing_wait(fencing_wait)
{
    add_members(members);
}

void acceptance_tracker::add_members(std::set<instance_id> const& members)
{
    for (instance_id const& member : members)
    {
        m_members.try_emplace(member);
    }
    if (m_second_quorum_at && !has_quorum(&member_progress::m_confirmed_twice))
    {
        m_second_quorum_at.reset();
    }
}

void acceptance_tracker::confirmed_locally(instance_id const& self,
                                           time_point now)
{
    member_progress& item = m_members[self];
    item.m_confirmed = true;
    item.m_confirmed_twice = true;
    update_quorum(now);
}

void acceptance_tracker::reply_received(peer_contact const& contact,
                                        time_point received_at)
{
    member_progress* const item = note_contact(
        contact.m_peer, contact.m_incarnation, contact.m_version, received_at);
    if (item == nullptr || !item->m_confirmed)
    {
        return;
    }
    if (m_first_quorum_at && contact.m_sent_at >= *m_first_quorum_at)
    {
        item->m_confirmed_twice = true;
    }
    update_quorum(received_at);
}

void acceptance_tracker::ping_received(instance_id const& peer,
                                       incarnation value,
                                       config_version version,
                                       time_point received_at)
{
    note_contact(peer, value, version, received_at);
    update_quorum(received_at);
}

acceptance_status acceptance_tracker::status(time_point now) const
{
    bool const accepted = m_second_quorum_at && outstanding(now).empty();
    return accepted ? acceptance_status::accepted : acceptance_status::pending;
}

std::vector<outstanding_instance>
acceptance_tracker::outstanding(time_point now) const
{
    std::vector<outstanding_instance> result;
    for (auto const& [id, item] : m_members)
    {
        if (item.m_confirmed)
        {
            continue;
        }
        if (!m_second_quorum_at)
        {
            result.push_back({id, std::nullopt});
        }
        else if (now <= fenced_at(item))
        {
            result.push_back({id, fenced_at(item)});
        }
    }
    return result;
}

time_point acceptance_tracker::fenced_at(member_progress const& item) const
{
    time_point since = std::max(m_committed_at, *m_second_quorum_at);
    if (item.m_older_version_seen_at)
    {
        since = std::max(since, *item.m_older_version_seen_at);
    }
    return since + m_fencing_wait;
}

acceptance_tracker::member_progress*
acceptance_tracker::note_contact(instance_id const& peer, incarnation value,
                                 config_version version, time_point received_at)
{
    auto const found = m_members.find(peer);
    if (found == m_members.end() || value < found->second.m_incarnation)
    {
        return nullptr;
    }
    member_progress& item = found->second;
    if (value > item.m_incarnation)
    {
        item = member_progress();
        item.m_incarnation = value;
    }
    if (version < m_version)
    {
        item.m_older_version_seen_at = received_at;
    }
    else
    {
        item.m_confirmed = true;
    }
    return &item;
}

bool acceptance_tracker::has_quorum(bool member_progress::*flag) const
{
    auto const count = std::ranges::count_if(
        m_members, [flag](auto const& entry) { return entry.second.*flag; });
    return static_cast<std::size_t>(count) >= quorum_size(m_members.size());
}

void acceptance_tracker::update_quorum(time_point now)
{
    if (!m_first_quorum_at && has_quorum(&member_progress::m_confirmed))
    {
        m_first_quorum_at = now;
    }
    if (!m_second_quorum_at && has_quorum(&member_progress::m_confirmed_twice))
    {
        m_second_quorum_at = now;
    }
}

} // namespace daisylead::membership
