/** @file Leases on table rows: actions on a timer. */
#include <daisylead/lease/lease_manager_base.hpp>

#include "lease/lease_row.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace daisylead::lease
{

namespace
{

/** Interval of tick(). */
constexpr duration tick_interval = std::chrono::milliseconds(100);
/** Rounds whose replies are still accepted; older rounds are dropped. */
constexpr std::size_t max_open_rounds = 8;

std::uint64_t rendezvous_weight(std::string const& row, instance_id const& id)
{
    std::string const key = row + "\n" + id.value();
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

lease_actions lease_manager::tick(time_point now)
{
    lease_actions actions;
    m_next_tick = now + tick_interval;
    expire_transactions(now);
    if (m_releasing)
    {
        start_releases(now, actions);
        return actions;
    }
    start_acquisitions(now, actions);
    start_renewals(now, actions);
    start_round(now, actions);
    return actions;
}

time_point lease_manager::next_timer() const
{
    return m_next_tick;
}

void lease_manager::expire_transactions(time_point now)
{
    // The next read of the rows resolves the outcome; see table_read().
    std::erase_if(m_transactions,
                  [&](auto const& entry)
                  {
                      open_transaction const& sent = entry.second;
                      bool const is_late = now - sent.m_sent_at >=
                                           m_options.m_transaction_timeout;
                      if (is_late)
                      {
                          mark_outcome_unknown(sent, now);
                      }
                      return is_late;
                  });
}

bool lease_manager::may_acquire(std::string const& row, lease_row const& item,
                                time_point now) const
{
    if (!item.m_is_read || item.m_state != row_state::not_owned ||
        !m_live.contains(m_options.m_self) || has_open_transaction(row))
    {
        return false;
    }
    bool const is_free = item.m_observed.m_claim.m_token.empty();
    duration const lapse = is_free
                               ? duration::zero()
                               : m_options.m_lease_time + m_options.m_margin;
    auto const place = static_cast<duration::rep>(rendezvous_rank(row));
    return now - item.m_unchanged_since >=
           lapse + (m_options.m_rank_delay * place);
}

std::size_t lease_manager::rendezvous_rank(std::string const& row) const
{
    std::uint64_t const own = rendezvous_weight(row, m_options.m_self);
    return static_cast<std::size_t>(
        std::ranges::count_if(m_live, [&](instance_id const& id)
                              { return rendezvous_weight(row, id) > own; }));
}

void lease_manager::start_acquisitions(time_point now, lease_actions& actions)
{
    lease_transaction transaction;
    for (auto& [name, item] : m_rows)
    {
        if (!may_acquire(name, item, now))
        {
            continue;
        }
        drop_lease(item);
        fence_number const newest = std::max(item.m_observed.m_claim.m_fence,
                                             m_voter.known_fence(name));
        item.m_claim.m_row = name;
        item.m_claim.m_fence = newest + fence_number(1);
        item.m_claim.m_token = m_hooks.m_make_token();
        item.m_claim.m_holder = m_options.m_self;
        item.m_state = row_state::acquiring;
        add_write(item, item.m_claim, now, transaction);
    }
    send(std::move(transaction), now, actions);
}

void lease_manager::start_renewals(time_point now, lease_actions& actions)
{
    if (now < m_next_renewal)
    {
        return;
    }
    m_next_renewal = now + m_options.m_renew_interval;
    lease_transaction transaction;
    for (auto& [name, item] : m_rows)
    {
        if (item.m_state == row_state::owned && !has_open_transaction(name))
        {
            add_write(item, item.m_claim, now, transaction);
        }
    }
    send(std::move(transaction), now, actions);
}

void lease_manager::start_releases(time_point now, lease_actions& actions)
{
    lease_transaction transaction;
    for (auto& [name, item] : m_rows)
    {
        if (item.m_state == row_state::releasing && !has_open_transaction(name))
        {
            lease_claim free;
            free.m_row = name;
            free.m_fence = item.m_claim.m_fence;
            add_write(item, free, now, transaction);
        }
    }
    send(std::move(transaction), now, actions);
}

void lease_manager::add_write(lease_row& item, lease_claim const& claim,
                              time_point now, lease_transaction& transaction)
{
    std::int64_t sequence = 0; // 0: release
    if (!claim.m_token.empty())
    {
        sequence = ++item.m_sequence;
        item.m_writes[sequence] = now;
    }
    table::table_transaction& write = transaction.m_transaction;
    write.m_conditions.push_back({claim.m_row, item.m_observed.m_version});
    write.m_puts.push_back({claim.m_row, serialise_row(claim, sequence)});
}

void lease_manager::send(lease_transaction transaction, time_point now,
                         lease_actions& actions)
{
    if (transaction.m_transaction.m_puts.empty())
    {
        return;
    }
    transaction.m_number = m_next_number++;
    open_transaction open{now, {}};
    for (table::table_put const& put : transaction.m_transaction.m_puts)
    {
        lease_row const& item = m_rows.at(put.m_row);
        bool const is_release = item.m_state == row_state::releasing;
        open.m_rows[put.m_row] = is_release ? 0 : item.m_sequence;
    }
    m_transactions[transaction.m_number] = std::move(open);
    actions.emplace_back(std::move(transaction));
}

std::vector<lease_claim> lease_manager::claims_to_confirm(time_point now) const
{
    std::vector<lease_claim> claims;
    for (auto const& [name, item] : m_rows)
    {
        bool const is_renewed =
            item.m_written_at &&
            now - *item.m_written_at <= m_options.m_renewal_timeout;
        if (item.m_state == row_state::owned &&
            (!item.m_confirmed || !is_renewed))
        {
            claims.push_back(item.m_claim);
        }
    }
    return claims;
}

void lease_manager::start_round(time_point now, lease_actions& actions)
{
    if (now < m_next_round)
    {
        return;
    }
    std::vector<lease_claim> claims = claims_to_confirm(now);
    bool const wants_peer_claims = m_voter.needs_peer_claims(now);
    if (claims.empty() && !wants_peer_claims)
    {
        return;
    }
    bool const has_unconfirmed = std::ranges::any_of(
        m_rows,
        [](auto const& entry)
        {
            return entry.second.m_state == row_state::owned &&
                   !entry.second.m_confirmed;
        });
    m_next_round =
        now + (has_unconfirmed ? m_options.m_acquisition_round_interval
                               : m_options.m_extension_round_interval);
    lease_confirm_request request;
    request.m_sender = m_options.m_self;
    request.m_incarnation = m_options.m_incarnation;
    request.m_round = m_next_number++;
    request.m_claims = claims;
    request.m_want_known = wants_peer_claims;
    m_rounds[request.m_round] = {now, std::move(claims), {}};
    if (m_rounds.size() > max_open_rounds)
    {
        m_rounds.erase(m_rounds.begin());
    }
    for (instance_id const& id : m_known)
    {
        if (id != m_options.m_self)
        {
            actions.emplace_back(send_lease_confirm{id, request});
        }
    }
    reply_received(m_voter.confirm(request, now), now);
}

} // namespace daisylead::lease
