/** @file Fleet membership, and the choice of peers to exchange state with. */
#pragma once

#include <daisylead/serving/fleet_news_type.hpp>
#include <daisylead/serving/rate_division_func.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::serving
{

/** Intervals and sizes of the state exchange. */
struct roster_options
{
    /** Interval of messages between relays, and from a child to its relay. */
    duration m_interval = std::chrono::milliseconds(400);
    /** An instance without contact for this long no longer counts as live;
     *  three message intervals. */
    duration m_liveness_timeout = std::chrono::milliseconds(1300);
    /** The state of an instance without contact for this long is discarded. */
    duration m_forget_after = std::chrono::seconds(20);
    /** Interval of calls to an unresponsive relay. */
    duration m_unresponsive_interval = std::chrono::seconds(2);
    /** The same during the start phase, as the peers may be starting too. */
    duration m_unresponsive_interval_at_start = std::chrono::milliseconds(200);
    /** Length of the start phase; covers the start of a whole fleet, whose
     *  processes come up within seconds of each other. */
    duration m_start_phase = std::chrono::seconds(5);
    /** Backoff after a failed call, during which the instance is not chosen as
     *  relay; doubles with each failure. */
    duration m_relay_backoff = std::chrono::seconds(1);
    /** Interval after which a child reconsiders its relay, so that it returns
     *  to its first choice. */
    duration m_review_interval = std::chrono::seconds(5);
    /** Min. time between two urgent calls to one peer. */
    duration m_min_urgent_interval = std::chrono::milliseconds(100);
    /** Max. delay of newly saved prefixes in a full mesh. */
    duration m_saved_interval = std::chrono::milliseconds(150);
    /** Up to this fleet size, all instances are relays and form a full mesh. */
    std::size_t m_max_mesh_size = 24;
    /** Instances of an availability zone per relay in it. */
    std::size_t m_instances_per_relay = 24;
    /** Min. relays in an availability zone; two, so that one may fail. */
    std::size_t m_min_relays = 2;
};

/** Queued items that a peer is sent once. */
struct news_outbox
{
    /** Requests suspected of crashing upstreams. */
    std::vector<request::quarantine_update> m_suspects;
    /** Crashes of upstreams. */
    std::vector<request::crash_report> m_crashes;
    /** Prompt parts that are not the cause of these crashes. */
    std::vector<request::part_digest> m_answered_parts;
    /** Hashes of prefixes saved in the KV cache store. */
    std::vector<std::uint64_t> m_saved;
    /** Upstreams that announced that they leave. */
    std::vector<leaving_upstream> m_leaving;
    /** Streams that have begun. */
    std::vector<stream_digest> m_streams;
};

/** State of a peer. */
struct peer_state
{
    member m_member;
    /** Time of its last call or reply. */
    std::optional<time_point> m_last_contact;
    /** Time of its last call to this relay as a child. */
    std::optional<time_point> m_last_report;
    bool m_leaving = false;       ///< it is shutting down
    bool m_is_relay = false;      ///< according to its last message
    std::int64_t m_group = 1;     ///< size of its group, see fleet_news
    bool m_call_open = false;     ///< a call is in progress
    bool m_urgent = false;        ///< call without waiting for the interval
    bool m_knows_members = false; ///< its member list was received
    bool m_sends_parts = false;   ///< it answers document_request
    int m_failures = 0;           ///< consecutive failed calls
    time_point m_next_call;       ///< due time of the next call
    time_point m_last_call;       ///< time of the last call
    time_point m_backoff_until;   ///< not chosen as relay before this time
    std::uint64_t m_weights_token = 0;  ///< its fencing token, see fleet_news
    std::uint64_t m_weights_number = 0; ///< see fleet_news
    std::uint64_t m_blocked_digest = 0; ///< see fleet_news
    /** Services that it cannot reach itself. */
    std::vector<service_id> m_cut_services;
    news_outbox m_outbox;
};

/** Role of a peer towards this instance. */
enum class peer_relation
{
    other, ///< its sums are ignored
    relay, ///< both are relays
    child, ///< it reports to this instance, a relay
    parent ///< the relay that this instance reports to
};

/** Chooses the peers that an instance exchanges state with, so that the cost
 *  per instance hardly grows with the fleet. The instances with the largest CPU
 *  share in each availability zone are relays. Relays exchange the sums of
 *  their groups; any other instance is the child of a relay, by preference of
 *  its own zone, which replies with the sums of the fleet. An instance that
 *  receives reports acts as a relay even if it is not a designated one. */
class fleet_roster
{
public:
    /** @param self this instance
     *  @param started_at when the process started */
    fleet_roster(roster_options options, member self, time_point started_at);
    fleet_roster(fleet_roster const&) = delete;
    fleet_roster& operator=(fleet_roster const&) = delete;
    fleet_roster(fleet_roster&&) = default;
    fleet_roster& operator=(fleet_roster&&) = default;
    ~fleet_roster() = default;

    /** Result of note_member(). */
    enum class member_change
    {
        none,
        added,
        restarted
    };

    /** Adds or updates a member.
     *  @param from_itself the member sent this itself; otherwise it comes from
     *          a member list, which may be outdated */
    member_change note_member(member const& item, bool from_itself,
                              time_point now);

    /** Records a call of a peer.
     *  @pre note_member() was called for it
     *  @return its role from now on */
    peer_relation note_call(fleet_news const& news, time_point now);

    /** Records a reply of a peer.
     *  @pre note_member() was called for it
     *  @return its role from now on */
    peer_relation note_reply(fleet_news const& news, time_point now);

    /** Records that a call to a peer failed or timed out. */
    void note_failed(instance_id const& id, time_point now);

    /** @return whether this instance acts as a relay. */
    bool is_relay(time_point now) const;

    /** @return whether the fleet is small enough for a full mesh. */
    bool is_mesh() const;

    /** @return whether this instance is the child of a live relay that has
     *          answered it. */
    bool has_live_relay(time_point now) const;

    /** @return the chosen relay, or empty. */
    instance_id const& relay() const
    {
        return m_relay;
    }

    /** @return whether the chosen relay has answered this instance. */
    bool is_confirmed() const
    {
        return !m_relay.empty() && m_relay == m_confirmed;
    }

    /** Starts the calls that are due.
     *  @return the peers to call now */
    std::vector<instance_id> take_due(time_point now);

    /** @return when take_due() has to be called next. */
    time_point next_due(time_point now);

    /** Marks the peers that learn of a change through this instance for an
     *  urgent call. A change received from a relay is forwarded to children
     *  only, as that relay informs the other relays itself.
     *  @param from sender of the change; empty: this instance */
    void mark_urgent(instance_id const& from, time_point now);

    /** Queues items for the peers that learn of them through this instance.
     *  @param from sender of the items; empty: this instance */
    void enqueue(news_outbox const& items, instance_id const& from,
                 time_point now);

    /** Queues streams again that a peer was not told of, as the call failed. */
    void requeue(instance_id const& id,
                 std::vector<stream_digest> const& streams);

    /** @return peers whose sums no longer count, as they timed out or changed
     *          their role. */
    std::vector<instance_id> take_dropped(time_point now);

    /** @return size of the group: this instance and its live children. */
    std::int64_t group_size(time_point now) const;

    /** @return live instances of the fleet, as known to this one. */
    std::int64_t fleet_size(time_point now) const;

    /** @return rank of this instance as reader of the store and as holder of
     *          the order lease; 0 goes first. */
    std::size_t rank(time_point now) const;

    /** @return number of live peers in direct contact with this instance. */
    std::size_t live_peers(time_point now) const;

    /** @return the live instances that divide the request rates of upstreams,
     *          as seen by this one. */
    rate_group rate_sharers(time_point now) const;

    /** @return the peers that keep the record of @p key, best first. All
     *          instances choose nearly the same ones, the first of them in
     *          different availability zones. */
    std::vector<member> record_keepers(std::string const& key,
                                       std::size_t count, time_point now) const;

    /** @return peers that may open tunnels to upstreams of the service. */
    std::vector<member> tunnel_peers(service_id const& service,
                                     time_point now) const;

    /** @return the member list to send to peers. */
    std::vector<member> members_for_peers(time_point now) const;

    /** @return digest of the known relays; for a child, as last reported by its
     *          relay. */
    std::uint64_t relays_digest(time_point now) const;

    member const& self() const
    {
        return m_self;
    }

    std::map<instance_id, peer_state> const& peers() const
    {
        return m_peers;
    }

    /** @return whether the peer is a live child of this instance. */
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
    /** Peers in contact with this instance within m_forget_after; few of a
     *  large fleet. */
    std::map<instance_id, peer_state*> m_active;
    /** Members of each zone in order of preference as relay; empty: not
     *  computed. */
    mutable std::map<zone_id, zone_ranking> m_zone_rankings;
    instance_id m_relay;     ///< chosen relay
    instance_id m_confirmed; ///< last chosen relay that answered
    time_point m_review_at;
    std::int64_t m_reported_fleet_size = 0; ///< as reported by the relay
    std::optional<time_point> m_reported_at;
    std::uint64_t m_reported_relays_digest = 0; ///< as reported by the relay
    bool m_was_relay = false;
    std::vector<instance_id> m_dropped;
};

} // namespace daisylead::serving
