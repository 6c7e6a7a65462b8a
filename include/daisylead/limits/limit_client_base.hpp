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
    duration m_validity = default_validity; ///< lifetime of a reservation
    /** Time without a reply after which the message is sent a second time. The
     *  owner returns the same reply to a duplicate. */
    duration m_resend_after = std::chrono::milliseconds(100);
    /** Time without a reply after which the static share decides. It is less
     *  than the validity, so callers wait less than a reservation lasts. */
    duration m_reply_timeout = std::chrono::milliseconds(250);
    /** Interval of messages to an owner that does not reply. */
    duration m_probe_interval = std::chrono::milliseconds(250);
    /** Time for which refunds are batched into one message. */
    duration m_settle_delay = std::chrono::milliseconds(50);
    /** Maximum retry delay while the owner is unreachable; another instance has
     *  acquired the lease of the shard by then. */
    duration m_recovery_time = std::chrono::seconds(5);
};

/** Hooks of the client. */
struct client_hooks
{
    /** @return instance that owns the organisation's shard, if known */
    std::function<std::optional<instance_id>(organisation_id const&)> m_owner;
};

/** Maximum number of calls in one reserve message. */
constexpr std::size_t max_calls_per_reserve = 64;

/** Send a message; pass its reply to reply_received(). The receiver may be this
 *  instance itself. */
struct send_reserve
{
    instance_id m_owner;       ///< receiver
    reserve_request m_message; ///< message
};

/** Send a message that has no reply. */
struct send_settle
{
    instance_id m_owner; ///< receiver
    settle m_message;    ///< message
};

/** The tokens of a call were granted; it may run now. */
struct call_granted
{
    request_id m_request; ///< the call
};

/** A call was refused because it is over the limit. */
struct call_refused
{
    request_id m_request;     ///< the call
    duration m_retry_after{}; ///< time until it can be granted
    bool m_by_owner = false;  ///< false: the owner did not decide
};

using client_action =
    std::variant<send_reserve, send_settle, call_granted, call_refused>;
using client_actions = std::vector<client_action>;

/** Obtains tokens for the calls of this instance. At most one message per
 *  organisation is in flight; calls that arrive meanwhile are sent with the
 *  next one, in order of arrival. If the owner refuses or cannot be reached,
 *  the static share decides. Every call is therefore decided within the reply
 *  timeout, or twice that if a message was in flight when it arrived. */
class limit_client
{
public:
    /** @param share static share of this instance; must outlive the client */
    limit_client(client_options options, client_hooks hooks,
                 static_share& share);

    /** Requests tokens for a call. */
    client_actions request(request_id const& request,
                           organisation_id const& organisation,
                           token_count amount, time_point now);

    /** Handles a reply. A reply to an abandoned message is ignored. */
    client_actions reply_received(reserve_reply const& reply, time_point now);

    /** Handles a message that could not be delivered or whose connection was
     *  lost. The first time, it is sent again at once. */
    client_actions delivery_failed(organisation_id const& organisation,
                                   reservation_number number, time_point now);

    /** Settles a call that ended, or whose caller disconnected before the
     *  decision. Unknown calls are ignored.
     *  @param used tokens that it used; may exceed the reserved amount */
    void finished(request_id const& request, token_count used, time_point now);

    /** Resends or abandons messages without a reply and sends the refunds that
     *  are due. */
    client_actions tick(time_point now);

    /** @return when tick() has to be called next; none if not needed */
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
        time_point m_sent_at;              ///< by the local clock
        std::vector<waiting_call> m_calls; ///< in the order of m_amounts
        bool m_resent = false;             ///< sent a second time
    };

    /** Usage of one reservation, to be reported to its owner. */
    struct open_report
    {
        instance_id m_owner;    ///< receiver
        usage_report m_report;  ///< current totals
        int m_open_calls = 0;   ///< calls that are still running
        bool m_changed = true;  ///< changed since it was last sent
        bool m_confirm = false; ///< the owner asked for an early confirmation
    };

    struct account
    {
        std::vector<waiting_call> m_waiting; ///< not sent yet
        std::optional<message> m_in_flight;  ///< no reply yet
        std::map<reservation_number, open_report> m_reports;
    };

    /** Source of the tokens of a running call. */
    struct running_call
    {
        organisation_id m_organisation;                  ///< charged
        token_count m_amount;                            ///< reserved
        std::optional<reservation_number> m_reservation; ///< none: static share
        bucket_sequence m_sequence = 0; ///< of the static share's bucket
    };

    void send(organisation_id const& organisation, account& item,
              time_point now, client_actions& actions);
    /** Limits messages to an unresponsive owner to one per probe interval. */
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
    /** @return whether the caller disconnected before the decision */
    bool clear_undecided(request_id const& request);
    /** Queues the reports of an unanswered message again. */
    static void restore_reports(account& item, message const& sent);
    /** Stops waiting for a reply: reports the whole amount as unused, since the
     *  owner may have granted it, and lets the static share decide. */
    void abandon_message(organisation_id const& organisation, account& item,
                         time_point now, client_actions& actions);
    void record_usage(running_call const& call, token_count unused,
                      time_point now);
    /** @param with_confirmations include reports that only confirm use
     *  @return changed reports for the owner, which are marked as sent */
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
    /** Calls without a decision; true if the caller disconnected. */
    std::map<request_id, bool> m_undecided;
    /** Unresponsive owners, with the time of the last message to each. */
    std::map<instance_id, time_point> m_suspects;
    std::set<organisation_id> m_unsettled; ///< with reports to send
    std::optional<time_point> m_settle_at;
};

} // namespace daisylead::limits
