/** @file Client side of the fleet token limits: reports to the owner. */
#include <daisylead/limits/limit_client_base.hpp>

#include <algorithm>
#include <utility>

namespace daisylead::limits
{

void limit_client::abandon_message(organisation_id const& organisation,
                                   account& item, time_point now,
                                   client_actions& actions)
{
    message const sent = *std::exchange(item.m_in_flight, std::nullopt);
    if (!sent.m_request.m_reports.empty())
    {
        m_unsettled.insert(organisation);
        schedule_settlement(now);
    }
    restore_reports(item, sent);
    token_count total;
    for (waiting_call const& call : sent.m_calls)
    {
        total += call.m_amount;
    }
    if (total > token_count())
    {
        // The fencing token stays 0, because only the reply contains it.
        open_report report;
        report.m_owner = sent.m_owner;
        report.m_report.m_organisation = organisation;
        report.m_report.m_reservation = sent.m_request.m_reservation;
        report.m_report.m_refund = total;
        report.m_report.m_closed = true;
        item.m_reports[sent.m_request.m_reservation] = report;
        m_unsettled.insert(organisation);
        schedule_settlement(now);
    }
    decide_all_by_static_share(organisation, sent.m_calls, now, actions);
}

void limit_client::restore_reports(account& item, message const& sent)
{
    for (usage_report const& report : sent.m_request.m_reports)
    {
        auto const [place, inserted] =
            item.m_reports.try_emplace(report.m_reservation);
        place->second.m_changed = true;
        if (inserted)
        {
            place->second.m_owner = sent.m_owner;
            place->second.m_report = report;
        }
    }
}

void limit_client::record_usage(running_call const& call, token_count unused,
                                time_point now)
{
    account& item = m_accounts[call.m_organisation];
    auto const found = item.m_reports.find(*call.m_reservation);
    if (found == item.m_reports.end())
    {
        return;
    }
    open_report& report = found->second;
    token_count const none;
    report.m_report.m_refund += std::max(unused, none);
    report.m_report.m_extra += std::max(none - unused, none);
    --report.m_open_calls;
    report.m_report.m_closed = report.m_open_calls == 0;
    report.m_changed = true;
    m_unsettled.insert(call.m_organisation);
    schedule_settlement(now);
}

std::vector<usage_report>
limit_client::collect_reports(account& item, instance_id const& owner,
                              bool with_confirmations)
{
    std::vector<usage_report> result;
    for (auto place = item.m_reports.begin(); place != item.m_reports.end();)
    {
        open_report& report = place->second;
        bool const must_send = with_confirmations || report.m_confirm ||
                               report.m_report.m_closed ||
                               report.m_report.m_refund != token_count() ||
                               report.m_report.m_extra != token_count();
        if (report.m_owner != owner || !report.m_changed || !must_send)
        {
            ++place;
            continue;
        }
        result.push_back(report.m_report);
        report.m_changed = false;
        report.m_confirm = false;
        place = report.m_report.m_closed ? item.m_reports.erase(place)
                                         : std::next(place);
    }
    return result;
}

void limit_client::send_settlements(client_actions& actions)
{
    std::map<instance_id, std::vector<usage_report>> reports;
    for (organisation_id const& id : std::exchange(m_unsettled, {}))
    {
        auto const found = m_accounts.find(id);
        if (found == m_accounts.end())
        {
            continue;
        }
        std::set<instance_id> owners;
        for (auto const& [number, report] : found->second.m_reports)
        {
            owners.insert(report.m_owner);
        }
        for (instance_id const& owner : owners)
        {
            auto const taken = collect_reports(found->second, owner, false);
            auto& target = reports[owner];
            target.insert(target.end(), taken.begin(), taken.end());
        }
        drop_if_idle(id);
    }
    for (auto& [owner, list] : reports)
    {
        if (!list.empty())
        {
            settle message{m_options.m_self, m_options.m_incarnation,
                           std::move(list)};
            actions.emplace_back(send_settle{owner, std::move(message)});
        }
    }
}

void limit_client::schedule_settlement(time_point now)
{
    if (!m_settle_at)
    {
        m_settle_at = now + m_options.m_settle_delay;
    }
}

void limit_client::drop_if_idle(organisation_id const& organisation)
{
    auto const found = m_accounts.find(organisation);
    if (found != m_accounts.end() && found->second.m_waiting.empty() &&
        !found->second.m_in_flight && found->second.m_reports.empty())
    {
        m_accounts.erase(found);
    }
}

} // namespace daisylead::limits
