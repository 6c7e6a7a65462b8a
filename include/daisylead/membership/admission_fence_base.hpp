/** @file Decides whether this instance may admit requests. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <set>

namespace daisylead::membership
{

/** An instance stops admitting requests after this time without contact to the
 *  table or a quorum. */
constexpr duration default_fencing_time = std::chrono::seconds(4);

/** Contact with a peer: a request that it answered. */
struct peer_contact
{
    instance_id m_peer;        ///< peer that answered
    incarnation m_incarnation; ///< its incarnation
    time_point m_sent_at;      ///< when the request was sent, own clock
    config_version m_version;  ///< version in force at the peer
    /** False while the peer has not yet learned the newest version after its
     *  start. */
    bool m_informed = false;
};

/** Stops the admission of requests on an instance that may be cut off from the
 *  fleet. It may admit requests if it has reached the table or a quorum within
 *  the fencing time. The time starts when the request is sent, because the
 *  reply shows a state at some time after that. Contact that reveals a newer
 *  version than the one in force counts only once that version is in force. */
class admission_fence
{
public:
    explicit admission_fence(instance_id self,
                             duration fencing_time = default_fencing_time);

    /** @param members last known entry instances; the own id is added */
    void set_members(std::set<instance_id> members);

    /** @param version version in force; a lower one is ignored */
    void set_in_force(config_version version);

    /** Handles a read of the configuration head from the table.
     *  @param sent_at when the read was sent
     *  @param head version that was read */
    void table_reached(time_point sent_at, config_version head);

    /** Handles contact with a peer. */
    void peer_reached(peer_contact const& contact);

    /** @return whether requests may be admitted at this time. */
    bool may_admit(time_point now) const;

    /** @return whether contact with a quorum alone permits admission at this
     *  time. */
    bool has_quorum(time_point now) const;

    /** @return whether the table or enough peers have shown, since the start,
     *  that the version in force is the newest. */
    bool is_informed() const;

    /** @return when admission ends unless there is further contact; absent if
     *  requests may not be admitted at this time. */
    std::optional<time_point> admits_until(time_point now) const;

private:
    /** Send times of the newest contact that counts, and of the newest one
     *  that showed a version that is not in force yet. */
    struct contact_times
    {
        std::optional<time_point> m_counted_at; ///< newest that counts
        std::optional<time_point> m_pending_at; ///< newest pending contact
        config_version m_pending_version;       ///< greatest version seen
    };

    void note_contact(contact_times& item, time_point sent_at,
                      config_version version) const;
    void promote_pending(contact_times& item) const;
    void update_informed();
    std::size_t needed_peers() const;
    std::optional<time_point> quorum_until() const;
    bool is_recent(std::optional<time_point> sent_at, time_point now) const;

    instance_id m_self;
    duration m_fencing_time;
    std::set<instance_id> m_members;
    config_version m_in_force;
    contact_times m_table;
    std::map<instance_id, contact_times> m_peers;
    bool m_informed = false;
};

} // namespace daisylead::membership
