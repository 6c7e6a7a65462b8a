/** @file The instances of the fleet and which of them exchange news. */
#pragma once

#include <daisylead/serving/fleet_news_type.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::serving
{

/** Constants of the exchange of news. */
struct roster_options
{
    /** Interval of news between relays, and from an instance to its relay. */
    duration m_interval = std::chrono::milliseconds(400);
    /** An instance that was not heard for this long is not counted as live;
     *  three intervals of news. */
    duration m_liveness_timeout = std::chrono::milliseconds(1300);
    /** An instance that was not heard for this long is forgotten. */
    duration m_forget_after = std::chrono::seconds(20);
    /** Interval of calls to a relay that does not answer. */
    duration m_unresponsive_interval = std::chrono::seconds(2);
    /** The same for a process that has just started: its peers may have
     *  started with it. */
    duration m_unresponsive_interval_at_start = std::chrono::milliseconds(200);
    /** How long a process counts as just started; covers the start of a fleet
     *  whose machines come up within seconds. */
    duration m_start_phase = std::chrono::seconds(5);
    /** An instance that did not answer is not chosen as relay for this long;
     *  doubles with each failure. */
    duration m_relay_backoff = std::chrono::seconds(1);
    /** Interval in which an instance goes back to the relay that it would
     *  choose if all were live. */
    duration m_review_interval = std::chrono::seconds(5);
    /** Shortest time between two urgent calls to one peer. */
    duration m_min_urgent_interval = std::chrono::milliseconds(100);
    /** Interval in which a small fleet tells saved prefixes. */
    duration m_saved_interval = std::chrono::milliseconds(150);
    /** Up to this many instances, each is a relay: all talk to all. */
    std::size_t m_max_mesh_size = 24;
    /** Instances of one availability zone for each relay in it. */
    std::size_t m_instances_per_relay = 24;
    /** Relays of an availability zone at least, so that one may fail. */
    std::size_t m_min_relays = 2;
};

/** News that is told once to each peer that needs it. */
struct news_outbox
{
    std::vector<request::quarantine_news> m_suspects; ///< crashes of requests
    std::vector<std::uint64_t> m_saved;      ///< prefixes in the KV store
    std::vector<leaving_upstream> m_leaving; ///< seen to leave
};

/** A peer and what is known of it. */
struct peer_state
{
    member m_member;
    std::optional<time_point> m_last_contact; ///< its last reply or call
    std::optional<time_point> m_last_report;  ///< its last call to this relay
    bool m_leaving = false;                   ///< it shuts down
    bool m_is_relay = false;                  ///< it said so
    std::int64_t m_group = 1;           ///< instances that a relay speaks for
    bool m_call_open = false;           ///< news is on its way
    bool m_urgent = false;              ///< news must not wait for the interval
    bool m_knows_members = false;       ///< it told its members
    int m_failures = 0;                 ///< calls without a reply in a row
    time_point m_next_call;             ///< when to send news
    time_point m_last_call;             ///< when news was sent
    time_point m_backoff_until;         ///< not chosen as relay
    std::uint64_t m_weights_token = 0;  ///< news of weights that it has
    std::uint64_t m_weights_number = 0; ///< see fleet_news
    news_outbox m_outbox;
};

/** What a peer is to this instance. */
enum class peer_relation
{
    other, ///< its sums do not concern this instance
    relay, ///< both are relays
    child, ///< it reports to this instance
    parent ///< this instance reports to it
};

/** Decides who exchanges news with whom, so that the cost for an instance
 *  hardly grows with the fleet. In each availability zone, the largest machines
 *  are relays. Relays exchange sums with each other; each other instance
 *  reports to one relay of its zone, which answers with the sums of the fleet.
 *  An instance that gets reports acts as a relay, whatever it had planned. */
class fleet_roster
{
public:
    /** @param self this instance
     *  @param started_at its start */
    fleet_roster(roster_options options, member self, time_point started_at);
    fleet_roster(fleet_roster const&) = delete;
    fleet_roster& operator=(fleet_roster const&) = delete;
    fleet_roster(fleet_roster&&) = default;
    fleet_roster& operator=(fleet_roster&&) = default;
    ~fleet_roster() = default;

    /** How a member became known. */
    enum class member_change
    {
        none,
        added,
        restarted
    };

    /** Adds or updates a member.
     *  @param from_itself it said so; else a list did, which may be old */
    member_change note_member(member const& item, bool from_itself,
                              time_point now);

    /** A peer called.
     *  @pre note_member() was called for it
     *  @return what it is to this instance from now on */
    peer_relation note_call(fleet_news const& news, time_point now);

    /** A peer replied. @pre note_member() was called for it */
    peer_relation note_reply(fleet_news const& news, time_point now);

    /** A peer did not reply in time. */
    void note_failed(instance_id const& id, time_point now);

    /** @return whether this instance relays news. */
    bool is_relay(time_point now) const;

    /** @return whether all instances exchange news with all. */
    bool is_mesh() const;

    /** @return whether an instance that is no relay was answered by its relay
     *          lately. */
    bool has_live_relay(time_point now) const;

    /** @return the relay that this instance reports to; empty: none. */
    instance_id const& relay() const
    {
        return m_relay;
    }

    /** @return whether the relay has answered a report of this instance. */
    bool is_confirmed() const
    {
        return !m_relay.empty() && m_relay == m_confirmed;
    }

    /** @return peers that get news now; they count as called. */
    std::vector<instance_id> take_due(time_point now);

    /** @return when take_due() has to be called next. */
    time_point next_due(time_point now);

    /** The peers that depend on this instance for what is new get news at once.
     *  What a relay told is passed on to those that report to this instance;
     *  the other relays hear it from that one.
     *  @param from who told it; empty: this instance */
    void mark_urgent(instance_id const& from, time_point now);

    /** Queues news for the peers that need it.
     *  @param from who told it; empty: this instance */
    void enqueue(news_outbox const& items, instance_id const& from,
                 time_point now);

    /** @return peers whose sums count no longer: silent for long, or of another
     *          role. */
    std::vector<instance_id> take_dropped(time_point now);

    /** @return instances that this one speaks for, with itself. */
    std::int64_t group_size(time_point now) const;

    /** @return live instances of the fleet, as far as known. */
    std::int64_t fleet_size(time_point now) const;

    /** @return position of this instance among those that read the store and
     *          give orders. */
    std::size_t rank(time_point now) const;

    /** @return live peers that were heard themselves. */
    std::size_t live_peers(time_point now) const;

    /** @return members that a peer needs to know. */
    std::vector<member> members_for_peers(time_point now) const;

    /** @return digest of the relays that are known to be live; of an instance
     *          that is no relay, of those that its relay told it last. */
    std::uint64_t relays_digest(time_point now) const;

    member const& self() const
    {
        return m_self;
    }

    std::map<instance_id, peer_state> const& peers() const
    {
        return m_peers;
    }

    /** @return whether the peer reports to this instance. */
    bool is_child(peer_state const& peer, time_point now) const;

    /** @return the peer, or null. */
    peer_state* find(instance_id const& id);

private:
    using zone_ranking = std::vector<instance_id>;

    bool is_live(peer_state const& peer, time_point now) const;
    bool is_usable(instance_id const& id, time_point now) const;
    bool is_peer_relay(peer_state const& peer, time_point now) const;
    bool ranks_before(member const& a, member const& b) const;
    std::vector<instance_id> designated_relays(zone_ranking const& order,
                                               time_point now) const;
    bool is_designated_relay(time_point now) const;
    bool is_from_relay(instance_id const& from) const;
    void choose_relay(time_point now);
    std::vector<instance_id> targets(time_point now);
    std::map<zone_id, zone_ranking> const& zone_rankings() const;
    void note_contact(fleet_news const& news, time_point now);

    roster_options m_options;
    member m_self;
    time_point m_started_at;
    std::map<instance_id, peer_state> m_peers;
    /** Peers that were heard and not forgotten since; few of a large fleet. */
    std::map<instance_id, peer_state*> m_active;
    /** Members of each zone by preference as relays; empty: to be sorted. */
    mutable std::map<zone_id, zone_ranking> m_zone_rankings;
    instance_id m_relay;     ///< chosen
    instance_id m_confirmed; ///< chosen, and it answered
    time_point m_review_at;
    std::int64_t m_reported_fleet_size = 0; ///< of the fleet, by the relay
    std::optional<time_point> m_reported_at;
    std::uint64_t m_reported_relays_digest = 0; ///< of the relays, by the relay
    bool m_was_relay = false;
    std::vector<instance_id> m_dropped;
};

} // namespace daisylead::serving
