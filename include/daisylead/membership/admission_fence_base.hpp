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

/** Longest time without contact during which an instance admits requests. */
constexpr duration default_fencing_time = std::chrono::seconds(4);

/** An answered request to a peer. */
struct peer_contact
{
    instance_id m_peer;        ///< peer that answered
    incarnation m_incarnation; ///< its incarnation
    time_point m_sent_at;      ///< when the request was sent, own clock
    config_version m_version;  ///< version in force at the peer
    /** False if the peer restarted and does not know yet which version is the
     *  newest. */
    bool m_informed = false;
};

/** An instance may admit requests while it reached the table or a quorum
 *  within the fencing time. The time counts from when the request was sent,
 *  because the answer shows the state at some time after that. Contact that
 *  reveals a newer version than the one in force counts only once that version
 *  is in force. */
class admission_fence
{
public:
    explicit admission_fence(instance_id self,
                             duration fencing_time = default_fencing_time);

    /** @param members last known entry instances; the own id is added */
    void set_members(std::set<instance_id> members);

    /** @param version version in force; a lower one is ignored */
    void set_in_force(config_version version);

    /** The row of the configuration head was read.
     *  @param sent_at when the read was sent
     *  @param head version that was read */
    void table_reached(time_point sent_at, config_version head);

    /** A peer answered. */
    void peer_reached(peer_contact const& contact);

    /** @return whether requests may be admitted at this time. */
    bool may_admit(time_point now) const;

    /** @return whether a quorum, without the table, suffices at this time. */
    bool has_quorum(time_point now) const;

    /** An instance that has just started is not informed until the table or
     *  enough peers showed that its version is the newest. */
    bool is_informed() const;

    /** @return when admission ends without further contact, if it is open. */
    std::optional<time_point> admits_until(time_point now) const;

private:
    /** Newest contact and, apart, the newest one with a version that is not
     *  in force yet. */
    struct contact_times
    {
        std::optional<time_point> m_counted_at; ///< newest that counts
        std::optional<time_point> m_pending_at; ///< counts from m_version on
        config_version m_pending_version;       ///< version of m_waiting
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
