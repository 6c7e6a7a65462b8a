/** @file Owner side of the fleet token limits. */
#include <daisylead/limits/limit_owner_base.hpp>

#include <daisylead/limits/shard_func.hpp>

#include <algorithm>
#include <utility>

namespace daisylead::limits
{

namespace
{

/** Open reservations kept per organisation. Beyond it, a confirmed one is
 *  removed for each new one, and its refund is lost. */
constexpr std::size_t max_reservations = 4096;

/** Clients are asked to confirm early if the level is below this fraction of
 * the burst. */
constexpr double confirm_soon_burst_fraction = 0.5;

} // namespace

limit_owner::limit_owner(owner_hooks hooks, duration validity)
    : m_hooks(std::move(hooks)), m_validity(validity)
{
}

void limit_owner::set_limits(
    std::vector<config::organisation> const& organisations,
    int static_share_percent, time_point now)
{
    std::map<organisation_id, bucket_limit> limits;
    m_removed.clear();
    for (auto const& [id, limit] : m_limits)
    {
        limits[id] = bucket_limit();
        m_removed.insert(id);
    }
    for (config::organisation const& item : organisations)
    {
        limits[item.m_id] = owner_limit(item, static_share_percent);
        m_removed.erase(item.m_id);
    }
    for (auto const& [id, limit] : limits)
    {
        auto const old = m_limits.find(id);
        if (old == m_limits.end() || old->second == limit)
        {
            continue;
        }
        // An account that does not exist yet is created with the old limit.
        if (account* const item = refresh_account(id, now))
        {
            item->m_bucket.set_limit(limit);
        }
    }
    m_limits = std::move(limits);
}

reserve_reply limit_owner::handle(reserve_request const& request,
                                  time_point now)
{
    reserve_reply reply;
    reply.m_organisation = request.m_organisation;
    reply.m_reservation = request.m_reservation;
    reply.m_sent_at = request.m_sent_at;
    if (!is_known(request.m_organisation))
    {
        reply.m_status = reserve_status::unknown;
        return reply;
    }
    account* const item = refresh_account(request.m_organisation, now);
    if (item == nullptr)
    {
        reply.m_status = reserve_status::not_owner;
        return reply;
    }
    for (usage_report const& report : request.m_reports)
    {
        apply_report(*item, request.m_sender, request.m_incarnation, report);
    }
    client_state& client = item->m_clients[request.m_sender];
    auto const number = std::pair(request.m_incarnation, request.m_reservation);
    auto const last = std::pair(client.m_incarnation, client.m_last);
    if (number == last &&
        client.m_last_reply.m_reservation == request.m_reservation)
    {
        return client.m_last_reply;
    }
    if (number <= last)
    {
        reply.m_status = reserve_status::out_of_date;
        return reply;
    }
    grant(*item, request, now, reply);
    client = {request.m_incarnation, request.m_reservation, reply};
    return reply;
}

void limit_owner::handle(settle const& message, time_point now)
{
    for (usage_report const& report : message.m_reports)
    {
        if (account* const item = refresh_account(report.m_organisation, now))
        {
            apply_report(*item, message.m_sender, message.m_incarnation,
                         report);
        }
    }
}

std::optional<double> limit_owner::level(organisation_id const& organisation,
                                         time_point now)
{
    account const* const item =
        is_known(organisation) ? refresh_account(organisation, now) : nullptr;
    return item == nullptr ? std::nullopt
                           : std::optional(item->m_bucket.level());
}

bool limit_owner::is_known(organisation_id const& organisation) const
{
    return m_limits.contains(organisation) && !m_removed.contains(organisation);
}

limit_owner::account*
limit_owner::refresh_account(organisation_id const& organisation,
                             time_point now)
{
    auto const limit = m_limits.find(organisation);
    std::optional<held_lease> const lease = m_hooks.m_lease(organisation, now);
    if (limit == m_limits.end() || !lease)
    {
        return nullptr;
    }
    auto found = m_accounts.find(organisation);
    if (found != m_accounts.end() && found->second.m_fence != lease->m_fence)
    {
        m_accounts.erase(found);
        found = m_accounts.end();
    }
    if (found == m_accounts.end())
    {
        found = m_accounts.emplace(organisation, account(limit->second, *lease))
                    .first;
        found->second.m_bucket.reserve_everything();
        found->second.m_blocked_tokens = limit->second.m_burst;
        found->second.m_blocked_until =
            lease->m_acquired_at + reservation_lifetime();
    }
    advance(found->second, now);
    return &found->second;
}

void limit_owner::advance(account& item, time_point now) const
{
    token_bucket& bucket = item.m_bucket;
    if (item.m_blocked_until && *item.m_blocked_until <= now)
    {
        bucket.advance(*item.m_blocked_until);
        bucket.confirm(item.m_blocked_tokens);
        item.m_blocked_until.reset();
    }
    while (!item.m_expiries.empty() &&
           item.m_expiries.front().m_expires_at <= now)
    {
        bucket.advance(item.m_expiries.front().m_expires_at);
        expire(item, item.m_expiries.front().m_key);
        item.m_expiries.pop_front();
    }
    bucket.advance(now);
}

void limit_owner::expire(account& item, reservation_key const& key)
{
    auto const found = item.m_reservations.find(key);
    if (found != item.m_reservations.end() && found->second.m_pending)
    {
        settle_pending(item, found->second, 0);
    }
}

void limit_owner::apply_report(account& item, instance_id const& sender,
                               incarnation sender_incarnation,
                               usage_report const& report) const
{
    bool const is_abandoned = report.m_fence == fence_number();
    if (!is_abandoned && report.m_fence != item.m_fence)
    {
        return;
    }
    if (is_abandoned)
    {
        // The abandoned request may still arrive later; raising the highest
        // number makes it out of date.
        client_state& client = item.m_clients[sender];
        std::tie(client.m_incarnation, client.m_last) =
            std::max(std::tuple(client.m_incarnation, client.m_last),
                     std::tuple(sender_incarnation, report.m_reservation));
    }
    auto const found = item.m_reservations.find(
        {sender, sender_incarnation, report.m_reservation});
    if (found == item.m_reservations.end())
    {
        return;
    }
    reservation& entry = found->second;
    double const refund = std::clamp(
        static_cast<double>(report.m_refund.value()), 0.0, entry.m_tokens);
    if (entry.m_pending)
    {
        settle_pending(item, entry, refund);
    }
    else
    {
        settle_confirmed(item, entry, refund);
    }
    charge_extra(item, entry, static_cast<double>(report.m_extra.value()));
    if (report.m_closed)
    {
        item.m_reservations.erase(found);
    }
}

void limit_owner::settle_pending(account& item, reservation& entry,
                                 double refund)
{
    item.m_bucket.cancel(refund);
    entry.m_sequence = item.m_bucket.confirm(entry.m_tokens - refund);
    entry.m_pending = false;
    entry.m_refunded = refund;
}

void limit_owner::settle_confirmed(account& item, reservation& entry,
                                   double refund)
{
    if (refund > entry.m_refunded)
    {
        item.m_bucket.refund(refund - entry.m_refunded, entry.m_sequence);
        entry.m_refunded = refund;
    }
}

void limit_owner::charge_extra(account& item, reservation& entry, double extra)
{
    if (extra > entry.m_extra)
    {
        item.m_bucket.charge(extra - entry.m_extra);
        entry.m_extra = extra;
    }
}

void limit_owner::grant(account& item, reserve_request const& request,
                        time_point now, reserve_reply& reply) const
{
    token_bucket& bucket = item.m_bucket;
    double granted = 0;
    for (token_count const amount : request.m_amounts)
    {
        auto const tokens = static_cast<double>(amount.value());
        bool const fits = tokens >= 0 && tokens <= bucket.level();
        reply.m_granted.push_back(fits);
        duration wait = duration::zero();
        if (fits)
        {
            bucket.reserve(tokens);
            granted += tokens;
        }
        else
        {
            wait = bucket.time_until(tokens);
            if (item.m_blocked_until)
            {
                wait += *item.m_blocked_until - now;
            }
        }
        reply.m_retry_after.push_back(std::chrono::nanoseconds(wait).count());
    }
    reply.m_status = reserve_status::decided;
    reply.m_fence = item.m_fence;
    reply.m_confirm_soon =
        granted > 0 &&
        bucket.level() < bucket.limit().m_burst * confirm_soon_burst_fraction;
    if (granted <= 0)
    {
        return;
    }
    reservation_key const key{request.m_sender, request.m_incarnation,
                              request.m_reservation};
    reservation entry;
    entry.m_tokens = granted;
    item.m_reservations[key] = entry;
    item.m_expiries.push_back({now + reservation_lifetime(), key});
    evict_confirmed(item);
}

void limit_owner::evict_confirmed(account& item)
{
    if (item.m_reservations.size() <= max_reservations)
    {
        return;
    }
    auto const found =
        std::ranges::find_if(item.m_reservations, [](auto const& entry)
                             { return !entry.second.m_pending; });
    if (found != item.m_reservations.end())
    {
        item.m_reservations.erase(found);
    }
}

duration limit_owner::reservation_lifetime() const
{
    // The client's clock may be slow and the local one fast.
    auto const drift = static_cast<duration::rep>(
        static_cast<double>(m_validity.count()) * 3 * clock_drift);
    return m_validity + duration(drift);
}

} // namespace daisylead::limits
