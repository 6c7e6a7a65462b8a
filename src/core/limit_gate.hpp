/** @file Fleet token limits as the request flow uses them. */
#pragma once

#include "outbox.hpp"

#include <daisylead/config/configuration_type.hpp>
#include <daisylead/core/control_base.hpp>
#include <daisylead/core/event_type.hpp>
#include <daisylead/lease/lease_manager_base.hpp>
#include <daisylead/limits/limit_client_base.hpp>
#include <daisylead/limits/limit_owner_base.hpp>
#include <daisylead/limits/static_share_base.hpp>
#include <daisylead/membership/member_table_base.hpp>

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace daisylead::core
{

/** Decision on one reservation. */
struct limit_decision
{
    request_id m_request;     ///< the request
    bool m_granted = false;   ///< whether it may run
    duration m_retry_after{}; ///< if not granted: when to come back
    bool m_by_owner = true;   ///< false: the owner was not reached
};

/** Reserves tokens of organisations with the owners of their shards, and is
 *  the owner of the shards whose leases this instance holds. */
class limit_gate
{
public:
    using decisions = std::vector<limit_decision>;

    /** The references must outlive this object. */
    limit_gate(control_options const& options, control_hooks const& hooks,
               outbox& actions, membership::member_table const& members,
               time_point started_at);

    void apply(std::shared_ptr<config::configuration const> const& next,
               time_point now);

    /** Asks for tokens; the decision may come at once or later. */
    decisions reserve(request_id const& request,
                      organisation_id const& organisation, token_count tokens,
                      time_point now);

    /** The request ended, or its caller left before the decision; the tokens
     *  that were not used are returned. */
    void settle(request_id const& request, token_count used, time_point now);

    decisions on_timer(time_point now);

    /** @return when on_timer() is needed next. */
    time_point next_timer() const;

    decisions on(peer_replied const& item, time_point now);
    void on(table_read_ended const& item, time_point now);
    void on(transaction_ended const& item, time_point now);

    limits::reserve_reply on_message(limits::reserve_request const& message,
                                     time_point now);
    void on_message(limits::settle const& message, time_point now);
    lease::lease_confirm_reply
    on_message(lease::lease_confirm_request const& message, time_point now);

    /** @return the lease that permits orders to engines, if it is held. */
    std::optional<lease::lease_grant> order_lease(time_point now) const;

    /** Gives the leases back. */
    void release(time_point now);

    /** @return whether all leases are given back. */
    bool is_released() const
    {
        return m_leases.is_released();
    }

    nlohmann::json dump(time_point now) const;

private:
    struct open_reserve
    {
        organisation_id m_organisation;
        limits::reservation_number m_number;
    };

    /** A request that waits until the owner of its shard is known again. */
    struct parked_request
    {
        organisation_id m_organisation;
        token_count m_tokens;
        time_point m_since;
        bool m_waited = false; ///< the owner was not reached at first
    };

    bool park(limits::call_refused const& refused, time_point now);
    decisions retry_parked(time_point now);
    std::string row_of(organisation_id const& organisation) const;
    decisions run(limits::client_actions const& actions, time_point now);
    void run(lease::lease_actions const& actions);
    void update_members(time_point now);
    bool send(instance_id const& to, component part, peer::message_body body,
              std::uint64_t number);

    control_options m_options;
    outbox& m_actions;
    membership::member_table const& m_members;
    std::shared_ptr<config::configuration const> m_configuration;
    lease::lease_manager m_leases;
    limits::static_share m_share;
    limits::limit_owner m_owner;
    limits::limit_client m_client;
    std::size_t m_instances = 0; ///< number that the static share is based on
    std::uint64_t m_last_operation = 0;
    std::unordered_map<std::uint64_t, open_reserve> m_reserves;
    std::unordered_map<std::uint64_t, time_point> m_reads; ///< when sent
    time_point m_next_read;
    std::unordered_map<request_id, parked_request> m_undecided;
    std::set<request_id> m_parked; ///< of m_undecided: to be asked again
    time_point m_next_retry;
};

} // namespace daisylead::core
