/** @file Fleet membership, and the choice of peers to exchange state with. */
#include <daisylead/serving/fleet_roster_base.hpp>

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace daisylead::serving
{

namespace
{

/** Max. number of doublings of the relay backoff. */
constexpr int max_doublings = 4;

/** Max. queued items of one kind per peer; the oldest are dropped. */
constexpr std::size_t max_outbox_items = 256;

/** The same for streams that have begun, of which there are more. */
constexpr std::size_t max_outbox_streams = 1024;

/** TTL of the fleet size reported by a relay. */
constexpr duration reported_size_ttl = std::chrono::seconds(5);

/** Ranks over which instances other than relays are spread by hash, so that
 *  they do not read the store at the same time. */
constexpr std::uint64_t rank_spread = 8;

/** Distance of the ranks of children from those of the relays. */
constexpr std::size_t rank_gap = 4;

/** Ratio from which the CPU shares of two instances count as different;
 *  instances on equal hardware differ by less. */
constexpr double min_size_ratio = 1.25;

std::uint64_t hash_of(instance_id const& id, std::uint64_t seed)
{
    return XXH64(id.value().data(), id.value().size(), seed);
}

template <class Item>
void append_bounded(std::vector<Item>& list, std::vector<Item> const& items,
                    std::size_t max_size = max_outbox_items)
{
    list.insert(list.end(), items.begin(), items.end());
    if (list.size() > max_size)
    {
        list.erase(list.begin(),
                   list.end() - static_cast<std::ptrdiff_t>(max_size));
    }
}

} // namespace

fleet_roster::fleet_roster(roster_options options, member self,
                           time_point started_at)
    : m_options(options), m_self(std::move(self)), m_started_at(started_at)
{
}

peer_state* fleet_roster::find(instance_id const& id)
{
    auto const found = m_peers.find(id);
    return found == m_peers.end() ? nullptr : &found->second;
}

fleet_roster::member_change
fleet_roster::note_member(member const& item, bool from_itself, time_point now)
{
    if (item.m_id == m_self.m_id || item.m_id.empty())
    {
        return member_change::none;
    }
    auto const [found, added] = m_peers.try_emplace(item.m_id);
    peer_state& peer = found->second;
    // Compared for inequality only, as the wall clock may be set back.
    bool const is_other_run = item.m_started != peer.m_member.m_started &&
                              (from_itself || !is_live(peer, now));
    if (!added && !is_other_run)
    {
        return member_change::none;
    }
    peer.m_member = item;
    peer.m_leaving = false;
    peer.m_knows_members = false;
    peer.m_failures = 0;
    peer.m_backoff_until = now;
    peer.m_weights_token = 0;
    peer.m_weights_number = 0;
    m_zone_rankings.clear();
    return added ? member_change::added : member_change::restarted;
}

std::map<zone_id, fleet_roster::zone_ranking> const&
fleet_roster::zone_rankings() const
{
    if (!m_zone_rankings.empty())
    {
        return m_zone_rankings;
    }
    m_zone_rankings[m_self.m_zone].push_back(m_self.m_id);
    for (auto const& [id, peer] : m_peers)
    {
        m_zone_rankings[peer.m_member.m_zone].push_back(id);
    }
    auto const member_of = [this](instance_id const& id) -> member const&
    {
        return id == m_self.m_id ? m_self : m_peers.at(id).m_member;
    };
    for (auto& [zone, order] : m_zone_rankings)
    {
        std::sort(order.begin(), order.end(),
                  [&](instance_id const& a, instance_id const& b)
                  { return ranks_before(member_of(a), member_of(b)); });
    }
    return m_zone_rankings;
}

bool fleet_roster::ranks_before(member const& a, member const& b) const
{
    // Instances of equal size are ordered by hash instead of by name, so that
    // not all zones choose those with the lowest names.
    auto const size_a = static_cast<double>(a.m_size);
    auto const size_b = static_cast<double>(b.m_size);
    if (a.m_size != b.m_size &&
        (size_a > size_b * min_size_ratio || size_b > size_a * min_size_ratio))
    {
        return size_a > size_b;
    }
    std::uint64_t const hash_a = hash_of(a.m_id, 0);
    std::uint64_t const hash_b = hash_of(b.m_id, 0);
    return std::tie(hash_a, a.m_id) < std::tie(hash_b, b.m_id);
}

bool fleet_roster::is_live(peer_state const& peer, time_point now) const
{
    return peer.m_last_contact &&
           now - *peer.m_last_contact < m_options.m_liveness_timeout;
}

bool fleet_roster::is_usable(instance_id const& id, time_point now) const
{
    if (id == m_self.m_id)
    {
        return true;
    }
    peer_state const& peer = m_peers.at(id);
    return !peer.m_leaving && peer.m_backoff_until <= now;
}

bool fleet_roster::is_child(peer_state const& peer, time_point now) const
{
    return !peer.m_is_relay && peer.m_last_report &&
           now - *peer.m_last_report < m_options.m_liveness_timeout;
}

bool fleet_roster::is_peer_relay(peer_state const& peer, time_point now) const
{
    return peer.m_is_relay && peer.m_last_contact &&
           now - *peer.m_last_contact < m_options.m_forget_after;
}

bool fleet_roster::is_mesh() const
{
    return m_peers.size() + 1 <= m_options.m_max_mesh_size;
}

std::vector<instance_id>
fleet_roster::designated_relays(zone_ranking const& order, time_point now) const
{
    std::size_t const wanted =
        std::max(m_options.m_min_relays,
                 (order.size() + m_options.m_instances_per_relay - 1) /
                     m_options.m_instances_per_relay);
    std::vector<instance_id> chosen;
    for (instance_id const& id : order)
    {
        if (chosen.size() >= wanted)
        {
            break;
        }
        if (is_usable(id, now))
        {
            chosen.push_back(id);
        }
    }
    return chosen;
}

bool fleet_roster::is_designated_relay(time_point now) const
{
    std::vector<instance_id> const relays =
        designated_relays(zone_rankings().at(m_self.m_zone), now);
    return std::find(relays.begin(), relays.end(), m_self.m_id) != relays.end();
}

bool fleet_roster::is_relay(time_point now) const
{
    return is_mesh() || is_designated_relay(now) ||
           std::any_of(m_active.begin(), m_active.end(),
                       [&](auto const& entry)
                       { return is_child(*entry.second, now); });
}

bool fleet_roster::has_live_relay(time_point now) const
{
    auto const found = m_peers.find(m_confirmed);
    return !is_relay(now) && found != m_peers.end() &&
           is_live(found->second, now);
}

void fleet_roster::choose_relay(time_point now)
{
    auto const current = m_peers.find(m_relay);
    bool const keeps = current != m_peers.end() && is_usable(m_relay, now) &&
                       now < m_review_at;
    if (keeps)
    {
        return;
    }
    m_review_at = now + m_options.m_review_interval;
    std::vector<instance_id> candidates =
        designated_relays(zone_rankings().at(m_self.m_zone), now);
    std::erase(candidates, m_self.m_id);
    if (candidates.empty())
    {
        for (auto const& [zone, order] : zone_rankings())
        {
            for (instance_id const& id : designated_relays(order, now))
            {
                if (id != m_self.m_id)
                {
                    candidates.push_back(id);
                }
            }
        }
    }
    if (candidates.empty())
    {
        // All are in backoff; retry the one whose backoff ends first.
        auto const soonest = std::min_element(
            m_peers.begin(), m_peers.end(),
            [](auto const& a, auto const& b)
            { return a.second.m_backoff_until < b.second.m_backoff_until; });
        if (soonest != m_peers.end())
        {
            candidates.push_back(soonest->first);
        }
    }
    auto const best =
        std::max_element(candidates.begin(), candidates.end(),
                         [this](instance_id const& a, instance_id const& b)
                         {
                             std::uint64_t const seed = hash_of(m_self.m_id, 1);
                             return hash_of(a, seed) < hash_of(b, seed);
                         });
    instance_id const chosen = best == candidates.end() ? instance_id() : *best;
    if (chosen != m_relay)
    {
        m_relay = chosen;
        if (peer_state* const peer = find(m_relay))
        {
            peer->m_next_call = now;
        }
    }
}

std::vector<instance_id> fleet_roster::targets(time_point now)
{
    std::vector<instance_id> result;
    bool const relay = is_relay(now);
    if (relay != m_was_relay)
    {
        // Sums received in the previous role would be counted twice.
        for (auto const& [id, peer] : m_active)
        {
            m_dropped.push_back(id);
        }
        m_was_relay = relay;
        m_relay = instance_id();
        m_confirmed = instance_id();
    }
    if (!relay)
    {
        choose_relay(now);
        if (!m_relay.empty())
        {
            result.push_back(m_relay);
        }
        return result;
    }
    if (is_mesh())
    {
        for (auto const& [id, peer] : m_peers)
        {
            result.push_back(id);
        }
        return result;
    }
    std::set<instance_id> chosen;
    for (auto const& [zone, order] : zone_rankings())
    {
        for (instance_id const& id : designated_relays(order, now))
        {
            chosen.insert(id);
        }
    }
    for (auto const& [id, peer] : m_active)
    {
        if (is_peer_relay(*peer, now) ||
            (peer->m_urgent && is_child(*peer, now)))
        {
            chosen.insert(id);
        }
    }
    chosen.erase(m_self.m_id);
    result.assign(chosen.begin(), chosen.end());
    return result;
}

std::vector<instance_id> fleet_roster::take_due(time_point now)
{
    std::vector<instance_id> due;
    for (instance_id const& id : targets(now))
    {
        peer_state& peer = m_peers.at(id);
        bool const is_urgent =
            peer.m_urgent &&
            now - peer.m_last_call >= m_options.m_min_urgent_interval;
        if (peer.m_call_open || (now < peer.m_next_call && !is_urgent))
        {
            continue;
        }
        bool const silent =
            !peer.m_last_contact ||
            now - *peer.m_last_contact > m_options.m_unresponsive_interval;
        duration const interval =
            !silent ? m_options.m_interval
            : now - m_started_at < m_options.m_start_phase
                ? m_options.m_unresponsive_interval_at_start
                : m_options.m_unresponsive_interval;
        peer.m_next_call = now + interval;
        peer.m_last_call = now;
        peer.m_urgent = false;
        peer.m_call_open = true;
        due.push_back(id);
    }
    return due;
}

time_point fleet_roster::next_due(time_point now)
{
    time_point next = now + m_options.m_interval;
    for (instance_id const& id : targets(now))
    {
        peer_state const& peer = m_peers.at(id);
        if (!peer.m_call_open)
        {
            next = std::min(next, peer.m_urgent
                                      ? peer.m_last_call +
                                            m_options.m_min_urgent_interval
                                      : peer.m_next_call);
        }
    }
    return std::max(next, now);
}

void fleet_roster::mark_urgent(instance_id const& from, time_point now)
{
    bool const relay = is_relay(now);
    bool const from_relay = is_from_relay(from);
    for (auto const& [id, peer] : m_active)
    {
        bool const to_child = relay && is_child(*peer, now);
        bool const to_relay =
            relay && !from_relay && is_live(*peer, now) && peer->m_is_relay;
        bool const to_parent = !relay && !from_relay && id == m_relay;
        peer->m_urgent = peer->m_urgent ||
                         (id != from && (to_child || to_relay || to_parent));
    }
}

bool fleet_roster::is_from_relay(instance_id const& from) const
{
    auto const sender = m_peers.find(from);
    return sender != m_peers.end() && sender->second.m_is_relay;
}

void fleet_roster::enqueue(news_outbox const& items, instance_id const& from,
                           time_point now)
{
    bool const relay = is_relay(now);
    bool const from_relay = is_from_relay(from);
    bool const urgent = !items.m_suspects.empty() || !items.m_crashes.empty() ||
                        !items.m_answered_parts.empty() ||
                        !items.m_leaving.empty();
    for (auto const& [id, peer] : m_active)
    {
        bool const to_child = relay && is_child(*peer, now);
        bool const to_relay = relay && !from_relay && is_peer_relay(*peer, now);
        bool const to_parent = !relay && from.empty() && id == m_relay;
        if (id == from || !(to_child || to_relay || to_parent))
        {
            continue;
        }
        append_bounded(peer->m_outbox.m_suspects, items.m_suspects);
        append_bounded(peer->m_outbox.m_crashes, items.m_crashes);
        append_bounded(peer->m_outbox.m_answered_parts, items.m_answered_parts);
        append_bounded(peer->m_outbox.m_saved, items.m_saved);
        append_bounded(peer->m_outbox.m_leaving, items.m_leaving);
        append_bounded(peer->m_outbox.m_streams, items.m_streams,
                       max_outbox_streams);
        peer->m_urgent = peer->m_urgent || urgent;
        if (is_mesh() && !items.m_saved.empty())
        {
            peer->m_next_call =
                std::min(peer->m_next_call, now + m_options.m_saved_interval);
        }
    }
}

void fleet_roster::requeue(instance_id const& id,
                           std::vector<stream_digest> const& streams)
{
    auto const peer = m_peers.find(id);
    if (peer != m_peers.end())
    {
        append_bounded(peer->second.m_outbox.m_streams, streams,
                       max_outbox_streams);
    }
}

void fleet_roster::note_contact(fleet_news const& news, time_point now)
{
    peer_state& peer = m_peers.at(news.m_member.m_id);
    m_active[news.m_member.m_id] = &peer;
    peer.m_last_contact = now;
    // The interval of calls to an unresponsive peer no longer applies.
    peer.m_next_call = std::min(peer.m_next_call, now + m_options.m_interval);
    peer.m_leaving = news.m_leaving;
    if (peer.m_is_relay && !news.m_is_relay)
    {
        m_dropped.push_back(news.m_member.m_id);
    }
    peer.m_is_relay = news.m_is_relay;
    peer.m_group = std::max<std::int64_t>(1, news.m_group);
    peer.m_failures = 0;
    peer.m_backoff_until = now;
    peer.m_weights_token = news.m_weights_token;
    peer.m_weights_number = news.m_weights_number;
    peer.m_blocked_digest = news.m_blocked_digest;
    peer.m_cut_services = news.m_cut_services;
    peer.m_sends_parts = news.m_sends_parts;
}

peer_relation fleet_roster::note_call(fleet_news const& news, time_point now)
{
    note_contact(news, now);
    peer_state& peer = m_peers.at(news.m_member.m_id);
    if (!news.m_is_relay)
    {
        peer.m_last_report = now;
        return peer_relation::child;
    }
    if (is_relay(now))
    {
        return peer_relation::relay;
    }
    return news.m_member.m_id == m_confirmed ? peer_relation::parent
                                             : peer_relation::other;
}

peer_relation fleet_roster::note_reply(fleet_news const& news, time_point now)
{
    note_contact(news, now);
    if (!news.m_is_relay)
    {
        return peer_relation::other;
    }
    if (is_relay(now))
    {
        return peer_relation::relay;
    }
    if (news.m_member.m_id != m_relay)
    {
        return peer_relation::other;
    }
    if (m_confirmed != m_relay)
    {
        if (!m_confirmed.empty())
        {
            m_dropped.push_back(m_confirmed);
        }
        m_confirmed = m_relay;
    }
    m_reported_fleet_size = news.m_fleet;
    m_reported_at = now;
    if (!news.m_members.empty())
    {
        m_reported_relays_digest = news.m_relays_digest;
    }
    return peer_relation::parent;
}

void fleet_roster::note_failed(instance_id const& id, time_point now)
{
    peer_state* const peer = find(id);
    if (peer == nullptr)
    {
        return;
    }
    peer->m_backoff_until =
        now + m_options.m_relay_backoff *
                  (1 << std::min(peer->m_failures, max_doublings));
    ++peer->m_failures;
}

std::vector<instance_id> fleet_roster::take_dropped(time_point now)
{
    for (auto item = m_active.begin(); item != m_active.end();)
    {
        peer_state& peer = *item->second;
        bool const forgotten =
            now - *peer.m_last_contact > m_options.m_forget_after;
        if (forgotten)
        {
            peer.m_last_contact.reset();
            peer.m_is_relay = false;
            m_dropped.push_back(item->first);
        }
        item = forgotten ? m_active.erase(item) : std::next(item);
    }
    return std::exchange(m_dropped, {});
}

std::int64_t fleet_roster::group_size(time_point now) const
{
    return 1 + std::count_if(m_active.begin(), m_active.end(),
                             [&](auto const& entry)
                             { return is_child(*entry.second, now); });
}

std::int64_t fleet_roster::fleet_size(time_point now) const
{
    if (!is_relay(now))
    {
        bool const told =
            m_reported_at && now - *m_reported_at < reported_size_ttl;
        return std::max<std::int64_t>(
            1, told ? m_reported_fleet_size
                    : static_cast<std::int64_t>(m_peers.size()) + 1);
    }
    std::int64_t size = group_size(now);
    for (auto const& [id, peer] : m_active)
    {
        size += peer->m_is_relay && is_live(*peer, now) ? peer->m_group : 0;
    }
    return size;
}

std::size_t fleet_roster::rank(time_point now) const
{
    std::size_t before = 0;
    std::size_t relays = 0;
    for (auto const& [id, peer] : m_active)
    {
        bool const counts =
            is_live(*peer, now) && !peer->m_leaving && peer->m_is_relay;
        relays += counts ? 1 : 0;
        before += counts && ranks_before(peer->m_member, m_self) ? 1 : 0;
    }
    if (is_relay(now))
    {
        return before;
    }
    auto const spread =
        static_cast<std::size_t>(hash_of(m_self.m_id, 2) % rank_spread);
    return has_live_relay(now) ? relays + rank_gap + spread : spread;
}

std::size_t fleet_roster::live_peers(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_active.begin(), m_active.end(),
        [&](auto const& entry) { return is_live(*entry.second, now); }));
}

rate_group fleet_roster::rate_sharers(time_point now) const
{
    rate_group group{m_self.m_id, {}, {}};
    for (auto const& [id, peer] : m_active)
    {
        if (peer->m_leaving)
        {
            continue;
        }
        if (peer->m_is_relay && is_live(*peer, now))
        {
            group.m_relays.push_back(id);
        }
        else if (is_child(*peer, now))
        {
            group.m_children.push_back(id);
        }
    }
    return group;
}

std::vector<member> fleet_roster::record_keepers(std::string const& key,
                                                 std::size_t count,
                                                 time_point now) const
{
    std::uint64_t const seed = XXH64(key.data(), key.size(), 0);
    std::vector<std::pair<std::uint64_t, member const*>> ranked;
    for (auto const& [zone, order] : zone_rankings())
    {
        std::vector<instance_id> const& candidates =
            is_mesh() ? order : designated_relays(order, now);
        for (instance_id const& id : candidates)
        {
            peer_state const* const peer =
                id == m_self.m_id ? nullptr : &m_peers.at(id);
            // Children are in contact with their own relay only.
            bool const is_known =
                peer == nullptr ||
                (!peer->m_leaving && (peer->m_last_contact || !is_mesh()));
            if (is_known)
            {
                ranked.emplace_back(hash_of(id, seed), peer == nullptr
                                                           ? &m_self
                                                           : &peer->m_member);
            }
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](auto const& a, auto const& b) { return a.first > b.first; });
    std::set<zone_id> zones;
    std::vector<member> keepers;
    std::vector<member> others; // in the zone of a better one
    for (auto const& [weight, item] : ranked)
    {
        (zones.insert(item->m_zone).second ? keepers : others).push_back(*item);
    }
    keepers.insert(keepers.end(), others.begin(), others.end());
    // This instance takes its place in the order, as the others see it there.
    std::erase_if(keepers, [this](member const& item)
                  { return item.m_id == m_self.m_id; });
    keepers.resize(std::min(keepers.size(), count));
    return keepers;
}

std::vector<member> fleet_roster::tunnel_peers(service_id const& service,
                                               time_point now) const
{
    auto const can_open = [&](peer_state const& peer)
    {
        return !peer.m_leaving && !peer.m_member.m_tunnel_address.empty() &&
               std::find(peer.m_cut_services.begin(), peer.m_cut_services.end(),
                         service) == peer.m_cut_services.end();
    };
    std::vector<member> peers;
    if (is_mesh())
    {
        for (auto const& [id, peer] : m_active)
        {
            if (is_live(*peer, now) && can_open(*peer))
            {
                peers.push_back(peer->m_member);
            }
        }
        return peers;
    }
    for (auto const& [zone, order] : zone_rankings())
    {
        for (instance_id const& id : designated_relays(order, now))
        {
            if (id != m_self.m_id && can_open(m_peers.at(id)))
            {
                peers.push_back(m_peers.at(id).m_member);
            }
        }
    }
    return peers;
}

std::vector<member> fleet_roster::members_for_peers(time_point now) const
{
    std::vector<member> members;
    for (auto const& [id, peer] : m_active)
    {
        if (peer->m_last_contact && (is_mesh() || is_peer_relay(*peer, now)))
        {
            members.push_back(peer->m_member);
        }
    }
    return members;
}

std::uint64_t fleet_roster::relays_digest(time_point now) const
{
    if (!is_relay(now))
    {
        return m_reported_relays_digest;
    }
    std::uint64_t digest =
        hash_of(m_self.m_id, static_cast<std::uint64_t>(m_self.m_started));
    for (auto const& [id, peer] : m_active)
    {
        if (is_peer_relay(*peer, now))
        {
            digest += hash_of(
                id, static_cast<std::uint64_t>(peer->m_member.m_started));
        }
    }
    return digest;
}

} // namespace daisylead::serving
