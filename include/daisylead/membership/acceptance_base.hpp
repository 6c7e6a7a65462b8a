/** @file Decides when a committed configuration version is accepted. */
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
 *  rates that differ by 1% either way need 2% of the fencing time; the rest
 *  covers an admission between the check and its effect. */
constexpr duration default_fencing_margin = std::chrono::milliseconds(500);

enum class acceptance_status
{
    pending, ///< not confirmed widely enough
    accepted ///< no instance admits requests with an older version
};

/** An instance that may still use an older version. */
struct outstanding_instance
{
    instance_id m_instance; ///< the instance
    /** When it counts as fenced if it stays silent; absent while there is no
     *  quorum. */
    std::optional<time_point> m_fenced_at;
};

/** Follows one committed version. It is accepted once a quorum has it in force
 *  and every other known instance has it in force or has been silent for the
 *  fencing time plus margin. The silence counts from the quorum: until then an
 *  instance may have reached a quorum that did not know the version yet.
 *
 *  An instance that restarts forgets the version. Therefore the members of the
 *  quorum confirm twice, the second time in answer to a ping that was sent
 * after the quorum had confirmed once. Then there is a moment at which all of
 * them had the version in force, and an instance that restarts later learns it
 * from one of them. */
class acceptance_tracker
{
public:
    /** @param version committed version
     *  @param committed_at when the answer to the commit came
     *  @param members last known entry instances, the own one included */
    acceptance_tracker(config_version version, time_point committed_at,
                       std::set<instance_id> const& members,
                       duration fencing_wait = default_fencing_time +
                                               default_fencing_margin);

    /** Adds instances that became known; none is ever removed, since a list
     *  without an instance does not show that it stopped. */
    void add_members(std::set<instance_id> const& members);

    /** The version came into force at the own instance. */
    void confirmed_locally(instance_id const& self, time_point now);

    /** A peer answered a ping.
     *  @param received_at when the answer came */
    void reply_received(peer_contact const& contact, time_point received_at);

    /** A peer sent a ping; it is no second confirmation, since it may have
     *  been under way for long.
     *  @param received_at when the ping came */
    void ping_received(instance_id const& peer, incarnation value,
                       config_version version, time_point received_at);

    /** @return whether the version is accepted at this time. */
    acceptance_status status(time_point now) const;

    /** @return instances that keep the version from being accepted. */
    std::vector<outstanding_instance> outstanding(time_point now) const;

    config_version version() const
    {
        return m_version;
    }

private:
    struct member_progress
    {
        bool m_confirmed = false;       ///< has the version in force
        bool m_confirmed_twice = false; ///< confirmed it a second time
        incarnation m_incarnation;      ///< that confirmed
        std::optional<time_point>
            m_older_version_seen_at; ///< with an older version
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
    std::optional<time_point> m_first_quorum_at;  ///< quorum confirmed once
    std::optional<time_point> m_second_quorum_at; ///< quorum confirmed twice
};

} // namespace daisylead::membership
