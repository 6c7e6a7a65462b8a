/** @file Tracks whether a committed configuration version is accepted. */
#pragma once

#include <daisylead/membership/admission_fence_base.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace daisylead::membership
{

/** Added to the fencing time before a silent instance counts as fenced. Clock
 *  rates that deviate by 1% either way need 2% of the fencing time; the rest
 *  covers an admission that completes after its check of the fence. */
constexpr duration default_fencing_margin = std::chrono::milliseconds(500);

enum class acceptance_status
{
    pending, ///< some instance may admit with an older version
    accepted ///< no instance admits requests with an older version
};

/** An instance that may still admit requests with an older version. */
struct outstanding_instance
{
    instance_id m_instance; ///< its id
    /** When it counts as fenced if it stays silent; absent while there is no
     *  quorum. */
    std::optional<time_point> m_fenced_at;
};

/** Tracks one committed version. It is accepted once a quorum has it in force
 *  and every other known instance has it in force or has been silent for the
 *  fencing time plus margin. The silence starts at the quorum: before, an
 *  instance may have reached a quorum that did not know the version yet.
 *
 *  An instance that restarts loses the version. The members of the quorum
 *  therefore confirm twice, the second time in reply to a ping that was sent
 *  after the whole quorum had confirmed once. At that time all of them had the
 *  version in force, so an instance that restarts later learns it from one of
 *  them. */
class acceptance_tracker
{
public:
    /** @param version committed version
     *  @param committed_at when the reply to the commit arrived
     *  @param members last known entry instances, including this one */
    acceptance_tracker(config_version version, time_point committed_at,
                       std::set<instance_id> const& members,
                       duration fencing_wait = default_fencing_time +
                                               default_fencing_margin);

    /** Adds newly known instances. None is ever removed: an instance that is
     *  missing from a list may still be running. */
    void add_members(std::set<instance_id> const& members);

    /** Records that this instance has put the version in force. */
    void confirmed_locally(instance_id const& self, time_point now);

    /** Handles the reply of a peer to a ping.
     *  @param received_at when the reply arrived */
    void reply_received(peer_contact const& contact, time_point received_at);

    /** Handles a ping from a peer. It never counts as the second confirmation,
     *  since it may have been sent long before it arrived.
     *  @param received_at when the ping arrived */
    void ping_received(instance_id const& peer, incarnation value,
                       config_version version, time_point received_at);

    /** @return whether the version is accepted at this time. */
    acceptance_status status(time_point now) const;

    /** @return instances that the acceptance still waits for. */
    std::vector<outstanding_instance> outstanding(time_point now) const;

    config_version version() const
    {
        return m_version;
    }

private:
    struct member_progress
    {
        bool m_confirmed = false;       ///< has the version in force
        bool m_confirmed_twice = false; ///< also after the first quorum
        incarnation m_incarnation;      ///< of the newest message
        /** Arrival of the last message that reported an older version. */
        std::optional<time_point> m_older_version_seen_at;
    };

    member_progress* note_contact(instance_id const& peer, incarnation value,
                                  config_version version,
                                  time_point received_at);
    time_point fenced_at(member_progress const& item) const;
    bool has_quorum(bool member_progress::*flag) const;
    void update_quorum(time_point now);

    config_version m_version;
    time_point m_committed_at;
    duration m_fencing_wait;
    std::map<instance_id, member_progress> m_members;
    /** When a quorum had confirmed once. */
    std::optional<time_point> m_first_quorum_at;
    /** When a quorum had confirmed twice. */
    std::optional<time_point> m_second_quorum_at;
};

} // namespace daisylead::membership
