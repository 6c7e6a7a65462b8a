/** @file Client side of the fleet token limits. */
#pragma once

#include <daisylead/limits/limit_owner_base.hpp>
#include <daisylead/limits/limit_type.hpp>
#include <daisylead/limits/static_share_base.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace daisylead::limits
{

/** Identity and timing of a client. */
struct client_options
{
    instance_id m_self;                     ///< own id
    incarnation m_incarnation;              ///< own incarnation
    duration m_validity = default_validity; ///< of a reservation
    /** After this time without a reply the message is sent once more; the owner
     *  answers a repeated message as it did the first. */
    duration m_resend_after = std::chrono::milliseconds(100);
    /** After this time without a reply the static share decides. It is less
     *  than the validity, so callers wait less than a reservation lasts. */
    duration m_reply_timeout = std::chrono::milliseconds(250);
    /** Between messages to an owner that does not answer. */
    duration m_probe_interval = std::chrono::milliseconds(250);
    /** Refunds are collected for this long. */
    duration m_settle_delay = std::chrono::milliseconds(50);
    /** Longest retry time that is given while the owner is unreachable; a new
     *  owner is found by then. */
    duration m_recovery_time = std::chrono::seconds(5);
};

/** Hooks of the client. */
struct client_hooks
{
    /** @return instance that owns the organisation's shard, if known. */
    std::function<std::optional<instance_id>(organisation_id const&)> m_owner;
};

/** Calls carried by one reserve message at most. */
constexpr std::size_t max_calls_per_reserve = 64;

/** Sends a message; the reply goes to reply_received(). The receiver may be
 *  the own instance. */
struct send_reserve
{
    instance_id m_owner;       ///< receiver
    reserve_request m_message; ///< message
};

/** Sends a message without a reply. */
struct send_settle
{
    instance_id m_owner; ///< receiver
    settle m_message;    ///< message
};

/** A call may run at once. */
struct call_granted
{
    request_id m_request; ///< the call
};

/** A call is over the limit. */
struct call_refused
{
    request_id m_request;     ///< the call
    duration m_retry_after{}; ///< time until it can be granted
    bool m_by_owner = false;  ///< false: the owner was not reached
};

using client_action =
    std::variant<send_reserve, send_settle, call_granted, call_refused>;
using client_actions = std::vector<client_action>;

/** Gets tokens for the calls of this instance. One message is under way for
 *  each organisation; calls that arrive meanwhile go with the next one, in
 *  order. Where the owner refuses or is not reached, the static share decides,
 *  so every call gets its answer within the reply timeout, or twice that if a
 *  message was under way. */
class limit_client
{
public:
    /** @param share static share of this instance; must outlive the client */
    limit_client(client_options options, client_hooks hooks,
                 static_share& share);

    /** A call asks for tokens. */
    client_actions request(request_id const& request,
                           organisation_id const& organisation,
                           token_count amount, time_point now);

    /** A reply came; one to a message that was given up is ignored. */
    client_actions reply_received(reserve_reply const& reply, time_point now);

    /** A message could not be delivered, or its connection broke. It is sent
     *  once more at once. */
    client_actions delivery_failed(organisation_id const& organisation,
                                   reservation_number number, time_point now);

    /** A call ended, or its caller left before it was granted. Other calls are
     *  ignored.
     *  @param used tokens that it used; may exceed what it reserved */
    void finished(request_id const& request, token_count used, time_point now);

    /** Ends messages without a reply and sends refunds that are due. */
    client_actions tick(time_point now);

    /** @return when tick() is needed next, if at all. */
    std::optional<time_point> next_timer() const;

private:
    struct waiting_call
    {
        request_id m_request; ///< the call
        token_count m_amount; ///< tokens
    };

    struct message
    {
        reserve_request m_request;         ///< as sent
        instance_id m_owner;               ///< receiver
        time_point m_sent_at;              ///< own clock
        std::vector<waiting_call> m_calls; ///< in the order of the amounts
        bool m_resent = false;             ///< sent a second time
    };

    /** What this instance has to report of one reservation. */
    struct open_report
    {
        instance_id m_owner;    ///< receiver
        usage_report m_report;  ///< newest totals
        int m_open_calls = 0;   ///< calls that still run
        bool m_changed = true;  ///< not sent since the last change
        bool m_confirm = false; ///< the owner waits for the confirmation
    };

    struct account
    {
        std::vector<waiting_call> m_waiting; ///< not sent yet
        std::optional<message> m_in_flight;  ///< without a reply yet
        std::map<reservation_number, open_report> m_reports;
    };

    /** Where the tokens of a running call came from. */
    struct running_call
    {
        organisation_id m_organisation;                  ///< charged
        token_count m_amount;                            ///< reserved
        std::optional<reservation_number> m_reservation; ///< absent: share
        bucket_sequence m_sequence = 0; ///< of the static share
    };

    void send(organisation_id const& organisation, account& item,
              time_point now, client_actions& actions);
    bool may_send(instance_id const& owner, time_point now);
    static void resend(message& sent, client_actions& actions);
    void decide_by_owner(organisation_id const& organisation, account& item,
                         message const& sent, reserve_reply const& reply,
                         time_point now, client_actions& actions);
    void decide_by_static_share(organisation_id const& organisation,
                                waiting_call const& call,
                                std::optional<duration> owner_wait,
                                time_point now, client_actions& actions);
    void decide_all_by_static_share(organisation_id const& organisation,
                                    std::vector<waiting_call> const& calls,
                                    time_point now, client_actions& actions);
    bool clear_undecided(request_id const& request);
    static void restore_reports(account& item, message const& sent);
    void abandon_message(organisation_id const& organisation, account& item,
                         time_point now, client_actions& actions);
    void record_usage(running_call const& call, token_count unused,
                      time_point now);
    std::vector<usage_report> collect_reports(account& item,
                                              instance_id const& owner,
                                              bool with_confirmations);
    void send_settlements(client_actions& actions);
    void schedule_settlement(time_point now);
    void drop_if_idle(organisation_id const& organisation);

    client_options m_options;
    client_hooks m_hooks;
    static_share& m_share;
    reservation_number m_next_number{1};
    std::map<organisation_id, account> m_accounts;
    std::map<request_id, running_call> m_running;
    /** Calls without an answer yet; true if the caller left. */
    std::map<request_id, bool> m_undecided;
    /** Owners that did not answer, and when the last message went to them. */
    std::map<instance_id, time_point> m_suspects;
    std::set<organisation_id> m_unsettled; ///< with refunds to send
    std::optional<time_point> m_settle_at;
};

} // namespace daisylead::limits
