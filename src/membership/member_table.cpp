/** @file Table of the entry instances: platform list and received messages. */
#include <daisylead/membership/member_table_base.hpp>

#include <algorithm>
#include <utility>

namespace daisylead::membership
{

member_table::member_table(member_options options)
    : m_options(std::move(options)),
      m_newest_own_incarnation(m_options.m_incarnation)
{
}

void member_table::set_peer_addresses(std::vector<std::string> const& addresses)
{
    m_seed_addresses.insert(addresses.begin(), addresses.end());
    m_seed_addresses.erase(m_options.m_address);
    for (auto const& [id, item] : m_members)
    {
        m_seed_addresses.erase(item.m_address);
    }
}

void member_table::list_received(
    std::vector<table::listed_instance> const& machines, time_point now)
{
    m_has_list = true;
    for (auto& [id, item] : m_members)
    {
        item.m_listed = false;
    }
    for (table::listed_instance const& machine : machines)
    {
        if (machine.m_role != table::instance_role::entry)
        {
            continue;
        }
        member* const item =
            add_member(instance_id(machine.m_id), machine.m_peer);
        if (item != nullptr)
        {
            item->m_listed = true;
            item->m_leaving = machine.m_leaving;
        }
    }
    remove_departed(now);
}

void member_table::table_reached(time_point sent_at)
{
    if (!m_table_sent_at || *m_table_sent_at < sent_at)
    {
        m_table_sent_at = sent_at;
    }
}

void member_table::set_version(config_version version)
{
    m_version = std::max(m_version, version);
}

void member_table::set_state(instance_state state)
{
    m_state = state;
}

ping_reply member_table::ping_received(ping const& message, time_point now)
{
    ping_reply reply{m_options.m_self, m_options.m_incarnation,
                     message.m_number, m_version,
                     m_state,          message.m_incarnation};
    if (message.m_sender == m_options.m_self)
    {
        m_newest_own_incarnation =
            std::max(m_newest_own_incarnation, message.m_incarnation);
        reply.m_known_incarnation = m_newest_own_incarnation;
        return reply;
    }
    member* const item = add_member(message.m_sender, message.m_address);
    if (is_superseded(message.m_sender, message.m_incarnation))
    {
        reply.m_known_incarnation = item->m_incarnation;
        return reply;
    }
    raise_incarnation(*item, message.m_incarnation);
    item->m_address = message.m_address;
    item->m_version = std::max(item->m_version, message.m_version);
    item->m_state = message.m_state;
    note_contact(*item, now);
    return reply;
}

std::optional<peer_contact>
member_table::reply_received(ping_reply const& reply, time_point now)
{
    auto const open = m_open_pings.find(reply.m_number);
    if (open == m_open_pings.end())
    {
        return std::nullopt;
    }
    open_ping const sent = open->second;
    m_open_pings.erase(open);
    m_newest_own_incarnation =
        std::max(m_newest_own_incarnation, reply.m_known_incarnation);
    if (reply.m_sender == m_options.m_self ||
        is_superseded(reply.m_sender, reply.m_incarnation))
    {
        return std::nullopt;
    }
    member* const item = add_member(reply.m_sender, sent.m_address);
    raise_incarnation(*item, reply.m_incarnation);
    item->m_version = std::max(item->m_version, reply.m_version);
    item->m_state = reply.m_state;
    note_contact(*item, now);
    return peer_contact{reply.m_sender, reply.m_incarnation, sent.m_sent_at,
                        reply.m_version,
                        reply.m_state != instance_state::starting};
}

bool member_table::is_superseded(instance_id const& sender,
                                 incarnation value) const
{
    member const* const item = find(sender);
    return item != nullptr && value < item->m_incarnation;
}

bool member_table::is_self_superseded() const
{
    return m_newest_own_incarnation > m_options.m_incarnation;
}

std::set<instance_id> member_table::instances() const
{
    std::set<instance_id> result{m_options.m_self};
    for (auto const& [id, item] : m_members)
    {
        result.insert(id);
    }
    if (!m_has_list)
    {
        for (std::string const& address : m_seed_addresses)
        {
            result.insert(instance_id(address));
        }
    }
    return result;
}

std::set<instance_id> member_table::live_instances() const
{
    std::set<instance_id> result;
    if (m_state != instance_state::draining)
    {
        result.insert(m_options.m_self);
    }
    for (auto const& [id, item] : m_members)
    {
        if (item.m_status == member_status::alive && !item.m_leaving &&
            item.m_state != instance_state::draining)
        {
            result.insert(id);
        }
    }
    return result;
}

member const* member_table::find(instance_id const& id) const
{
    auto const found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

std::map<instance_id, member> const& member_table::members() const
{
    return m_members;
}

config_version member_table::newest_version() const
{
    config_version newest = m_version;
    for (auto const& [id, item] : m_members)
    {
        newest = std::max(newest, item.m_version);
    }
    return newest;
}

member* member_table::add_member(instance_id const& id,
                                 std::string const& address)
{
    if (id == m_options.m_self || id.empty())
    {
        return nullptr;
    }
    auto const [place, inserted] = m_members.try_emplace(id);
    member& item = place->second;
    if (inserted)
    {
        item.m_id = id;
        item.m_address = address;
    }
    m_seed_addresses.erase(item.m_address);
    return &item;
}

void member_table::note_contact(member& item, time_point now)
{
    item.m_last_contact = now;
    item.m_failures = 0;
    set_status(item, member_status::alive, now);
}

void member_table::note_failure(std::string const& address, time_point now)
{
    for (auto& [id, item] : m_members)
    {
        if (item.m_address != address)
        {
            continue;
        }
        ++item.m_failures;
        if (item.m_failures >= failures_until_silent)
        {
            set_status(item, member_status::silent, now);
        }
    }
}

void member_table::set_status(member& item, member_status status,
                              time_point now)
{
    if (item.m_status != status)
    {
        item.m_status = status;
        item.m_status_since = now;
    }
}

void member_table::remove_departed(time_point now)
{
    std::erase_if(m_members,
                  [&](auto const& entry)
                  {
                      member const& item = entry.second;
                      return !item.m_listed &&
                             item.m_status == member_status::silent &&
                             now - item.m_status_since >=
                                 m_options.m_forget_after;
                  });
}

void member_table::raise_incarnation(member& item, incarnation value)
{
    if (value > item.m_incarnation)
    {
        item.m_incarnation = value;
        item.m_version = config_version();
        item.m_state = instance_state::starting;
    }
}

} // namespace daisylead::membership
