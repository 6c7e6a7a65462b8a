/** @file Client side of the fleet token limits: calls and replies. */
#include <daisylead/limits/limit_client_base.hpp>

#include <algorithm>
#include <utility>

namespace daisylead::limits
{

limit_client::limit_client(client_options options, client_hooks hooks,
                           static_share& share)
    : m_options(std::move(options)), m_hooks(std::move(hooks)), m_share(share)
{
}

client_actions limit_client::request(request_id const& request,
                                     organisation_id const& organisation,
                                     token_count amount, time_point now)
{
    client_actions actions;
    account& item = m_accounts[organisation];
    item.m_waiting.push_back({request, amount});
    m_undecided[request] = false;
    send(organisation, item, now, actions);
    drop_if_idle(organisation);
    return actions;
}

client_actions limit_client::reply_received(reserve_reply const& reply,
                                            time_point now)
{
    client_actions actions;
    auto const found = m_accounts.find(reply.m_organisation);
    if (found == m_accounts.end() || !found->second.m_in_flight ||
        found->second.m_in_flight->m_request.m_reservation !=
            reply.m_reservation)
    {
        return actions;
    }
    account& item = found->second;
    message const sent = *item.m_in_flight;
    m_suspects.erase(sent.m_owner);
    bool const is_usable = now - sent.m_sent_at < m_options.m_validity;
    if (reply.m_status == reserve_status::decided && !is_usable)
    {
        abandon_message(reply.m_organisation, item, now, actions);
    }
    else if (reply.m_status == reserve_status::decided &&
             reply.m_granted.size() == sent.m_calls.size())
    {
        item.m_in_flight.reset();
        decide_by_owner(reply.m_organisation, item, sent, reply, now, actions);
    }
    else
    {
        item.m_in_flight.reset();
        decide_all_by_static_share(reply.m_organisation, sent.m_calls, now,
                                   actions);
    }
    send(reply.m_organisation, item, now, actions);
    drop_if_idle(reply.m_organisation);
    return actions;
}

client_actions
limit_client::delivery_failed(organisation_id const& organisation,
                              reservation_number number, time_point now)
{
    client_actions actions;
    auto const found = m_accounts.find(organisation);
    if (found == m_accounts.end() || !found->second.m_in_flight ||
        found->second.m_in_flight->m_request.m_reservation != number)
    {
        return actions;
    }
    message& sent = *found->second.m_in_flight;
    if (!sent.m_resent)
    {
        resend(sent, actions);
        return actions;
    }
    m_suspects[found->second.m_in_flight->m_owner] = now;
    abandon_message(organisation, found->second, now, actions);
    send(organisation, found->second, now, actions);
    drop_if_idle(organisation);
    return actions;
}

void limit_client::finished(request_id const& request, token_count used,
                            time_point now)
{
    auto const found = m_running.find(request);
    if (found == m_running.end())
    {
        auto const undecided = m_undecided.find(request);
        if (undecided != m_undecided.end())
        {
            undecided->second = true;
        }
        return;
    }
    running_call const call = found->second;
    m_running.erase(found);
    token_count const unused = call.m_amount - used;
    if (call.m_reservation)
    {
        record_usage(call, unused, now);
    }
    else
    {
        m_share.refund(call.m_organisation, unused, call.m_sequence, now);
    }
}

client_actions limit_client::tick(time_point now)
{
    client_actions actions;
    std::vector<organisation_id> late;
    for (auto& [id, item] : m_accounts)
    {
        if (!item.m_in_flight)
        {
            continue;
        }
        message& sent = *item.m_in_flight;
        duration const elapsed = now - sent.m_sent_at;
        if (elapsed >= m_options.m_reply_timeout)
        {
            late.push_back(id);
        }
        else if (elapsed >= m_options.m_resend_after && !sent.m_resent)
        {
            resend(sent, actions);
        }
    }
    for (organisation_id const& id : late)
    {
        account& item = m_accounts[id];
        // The probe interval starts at this message, which is older than the
        // interval, so that the first probe is sent at once.
        m_suspects.try_emplace(item.m_in_flight->m_owner,
                               item.m_in_flight->m_sent_at);
        abandon_message(id, item, now, actions);
        send(id, item, now, actions);
        drop_if_idle(id);
    }
    if (m_settle_at && *m_settle_at <= now)
    {
        m_settle_at.reset();
        send_settlements(actions);
    }
    return actions;
}

std::optional<time_point> limit_client::next_timer() const
{
    std::optional<time_point> next = m_settle_at;
    for (auto const& [id, item] : m_accounts)
    {
        if (item.m_in_flight)
        {
            message const& sent = *item.m_in_flight;
            time_point const end =
                sent.m_sent_at + (sent.m_resent ? m_options.m_reply_timeout
                                                : m_options.m_resend_after);
            next = next ? std::min(*next, end) : end;
        }
    }
    return next;
}

void limit_client::send(organisation_id const& organisation, account& item,
                        time_point now, client_actions& actions)
{
    std::optional<instance_id> const owner = m_hooks.m_owner(organisation);
    bool const is_suspect = owner && m_suspects.contains(*owner);
    if (item.m_waiting.empty() && !is_suspect)
    {
        return;
    }
    if (!owner || is_suspect)
    {
        std::vector<waiting_call> const calls =
            std::exchange(item.m_waiting, {});
        decide_all_by_static_share(organisation, calls, now, actions);
    }
    if (!owner || item.m_in_flight || !may_send(*owner, now))
    {
        return;
    }
    std::size_t const count =
        std::min(item.m_waiting.size(), max_calls_per_reserve);
    auto const end =
        item.m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
    message sent;
    sent.m_owner = *owner;
    sent.m_sent_at = now;
    sent.m_calls.assign(item.m_waiting.begin(), end);
    item.m_waiting.erase(item.m_waiting.begin(), end);
    reserve_request& request = sent.m_request;
    request.m_sender = m_options.m_self;
    request.m_incarnation = m_options.m_incarnation;
    request.m_organisation = organisation;
    request.m_reservation = m_next_number;
    m_next_number += reservation_number(1);
    request.m_sent_at =
        std::chrono::nanoseconds(now.time_since_epoch()).count();
    for (waiting_call const& call : sent.m_calls)
    {
        request.m_amounts.push_back(call.m_amount);
    }
    request.m_reports = collect_reports(item, *owner, true);
    actions.emplace_back(send_reserve{*owner, request});
    item.m_in_flight = std::move(sent);
}

void limit_client::resend(message& sent, client_actions& actions)
{
    sent.m_resent = true;
    actions.emplace_back(send_reserve{sent.m_owner, sent.m_request});
}

bool limit_client::may_send(instance_id const& owner, time_point now)
{
    auto const found = m_suspects.find(owner);
    if (found == m_suspects.end())
    {
        return true;
    }
    if (now - found->second < m_options.m_probe_interval)
    {
        return false;
    }
    found->second = now;
    return true;
}

void limit_client::decide_by_owner(organisation_id const& organisation,
                                   account& item, message const& sent,
                                   reserve_reply const& reply, time_point now,
                                   client_actions& actions)
{
    open_report report;
    report.m_owner = sent.m_owner;
    report.m_confirm = reply.m_confirm_soon;
    report.m_report.m_organisation = organisation;
    report.m_report.m_fence = reply.m_fence;
    report.m_report.m_reservation = sent.m_request.m_reservation;
    for (std::size_t index = 0; index < sent.m_calls.size(); ++index)
    {
        waiting_call const& call = sent.m_calls[index];
        if (!reply.m_granted[index])
        {
            bool const has_wait = index < reply.m_retry_after.size();
            duration const wait = std::chrono::nanoseconds(
                has_wait ? reply.m_retry_after[index] : 0);
            decide_by_static_share(organisation, call, wait, now, actions);
            continue;
        }
        if (clear_undecided(call.m_request))
        {
            report.m_report.m_refund += call.m_amount;
            continue;
        }
        ++report.m_open_calls;
        m_running[call.m_request] = {organisation, call.m_amount,
                                     sent.m_request.m_reservation, 0};
        actions.emplace_back(call_granted{call.m_request});
    }
    bool const has_refund = report.m_report.m_refund > token_count();
    report.m_report.m_closed = report.m_open_calls == 0;
    if (report.m_open_calls > 0 || has_refund)
    {
        item.m_reports[sent.m_request.m_reservation] = report;
    }
    if (has_refund || report.m_confirm)
    {
        m_unsettled.insert(organisation);
        schedule_settlement(now);
    }
}

void limit_client::decide_by_static_share(organisation_id const& organisation,
                                          waiting_call const& call,
                                          std::optional<duration> owner_wait,
                                          time_point now,
                                          client_actions& actions)
{
    if (clear_undecided(call.m_request))
    {
        return;
    }
    std::optional<bucket_sequence> const sequence =
        m_share.take(organisation, call.m_amount, now);
    if (sequence)
    {
        m_running[call.m_request] = {organisation, call.m_amount, std::nullopt,
                                     *sequence};
        actions.emplace_back(call_granted{call.m_request});
        return;
    }
    duration wait = owner_wait.value_or(m_options.m_recovery_time);
    if (auto const share_wait =
            m_share.time_until(organisation, call.m_amount, now))
    {
        wait = std::min(wait, *share_wait);
    }
    actions.emplace_back(
        call_refused{call.m_request, wait, owner_wait.has_value()});
}

bool limit_client::clear_undecided(request_id const& request)
{
    auto const found = m_undecided.find(request);
    bool const left = found != m_undecided.end() && found->second;
    m_undecided.erase(request);
    return left;
}

void limit_client::decide_all_by_static_share(
    organisation_id const& organisation, std::vector<waiting_call> const& calls,
    time_point now, client_actions& actions)
{
    for (waiting_call const& call : calls)
    {
        decide_by_static_share(organisation, call, std::nullopt, now, actions);
    }
}

} // namespace daisylead::limits
