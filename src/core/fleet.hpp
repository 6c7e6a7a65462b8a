/** @file This instance as a member of the fleet. */
#pragma once

#include "config_follower.hpp"
#include "config_publisher.hpp"
#include "outbox.hpp"

#include <daisylead/core/control_base.hpp>
#include <daisylead/core/event_type.hpp>
#include <daisylead/membership/acceptance_base.hpp>
#include <daisylead/membership/admission_fence_base.hpp>
#include <daisylead/membership/member_table_base.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <unordered_map>

namespace daisylead::core
{

/** Pings, fencing, and the configuration that is in force: follows it,
 *  publishes new versions and decides when one is accepted. */
class fleet
{
public:
    /** @param actions must outlive this object */
    fleet(control_options const& options, control_hooks const& hooks,
          outbox& actions);

    void on_timer(time_point now);

    /** @return when on_timer() is needed next. */
    time_point next_timer() const;

    void on(table_read_ended const& item, time_point now);
    void on(transaction_ended const& item, time_point now);
    void on(object_read_ended const& item, time_point now);
    void on(object_write_ended const& item, time_point now);
    void on(machines_listed const& item, time_point now);
    void on(peer_replied const& item, time_point now);
    void on(publish_requested const& item, time_point now);

    /** @return the reply to a ping. */
    membership::ping_reply on_ping(membership::ping const& message,
                                   time_point now);

    /** @return the configuration in force, for a peer that asks. */
    peer::config_text config_for_peer() const;

    void set_draining();

    /** @return whether requests may be admitted at this time. */
    bool may_admit(time_point now) const;

    /** @return whether a message of this incarnation must be dropped. */
    bool is_superseded(instance_id const& sender, incarnation value) const
    {
        return m_members.is_superseded(sender, value);
    }

    std::shared_ptr<config::configuration const> const& configuration() const
    {
        return m_follower.current();
    }

    membership::member_table const& members() const
    {
        return m_members;
    }

    /** @return whether the platform's table answered lately. */
    bool is_table_reachable() const
    {
        return m_table_reachable;
    }

    nlohmann::json dump(time_point now) const;

private:
    void run_follower(time_point now);
    void run(std::vector<publisher_action> const& actions, time_point now);
    void take_committed(publisher_committed const& item, time_point now);
    void take_configuration(time_point now);
    void take_evidence(membership::peer_contact const& evidence,
                       time_point now);
    void take_head(table::read_reply const& reply, time_point sent_at,
                   time_point now);
    void check_acceptance(time_point now);
    void send_pings(time_point now);
    void update_state(time_point now);
    void fetch_from(instance_id const& peer, time_point now);
    std::set<instance_id> awaited(time_point now) const;
    operation_id next_operation(component part);
    void send(std::string const& address, operation_id operation,
              peer::message_body body, duration timeout);

    control_options m_options;
    outbox& m_actions;
    membership::member_table m_members;
    membership::admission_fence m_fence;
    config_follower m_follower;
    config_publisher m_publisher;
    config_version m_in_force; ///< last version reported to the members
    std::uint64_t m_last_operation = 0;
    std::unordered_map<std::uint64_t, time_point> m_head_reads; ///< sent at
    std::unordered_map<std::uint64_t, std::uint64_t> m_pings;   ///< numbers
    std::unordered_map<std::uint64_t, operator_token> m_publishing;
    std::map<operator_token, membership::acceptance_tracker> m_trackers;
    time_point m_next_list;
    bool m_table_reachable = false;
    bool m_draining = false;
};

} // namespace daisylead::core
