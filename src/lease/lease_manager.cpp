/** @file Leases on table rows: handling of replies of table and peers. */
#include <daisylead/lease/lease_manager_base.hpp>

#include <daisylead/membership/quorum_func.hpp>

#include "lease/lease_row.hpp"

#include <algorithm>
#include <utility>

namespace daisylead::lease
{

lease_manager::lease_manager(lease_options options, lease_hooks hooks,
                             time_point started_at)
    : m_options(std::move(options)), m_hooks(std::move(hooks)),
      m_voter(m_options.m_self, m_options.m_incarnation, started_at,
              m_options.m_lease_time, m_options.m_margin)
{
}

void lease_manager::set_rows(std::set<std::string> const& rows)
{
    std::erase_if(m_rows, [&](auto const& entry)
                  { return !rows.contains(entry.first); });
    for (std::string const& row : rows)
    {
        m_rows.try_emplace(row);
    }
}

void lease_manager::set_members(std::set<instance_id> known,
                                std::set<instance_id> live)
{
    m_known = std::move(known);
    m_known.insert(m_options.m_self);
    m_live = std::move(live);
}

void lease_manager::table_read(std::vector<table::table_row> const& rows,
                               time_point sent_at, time_point now)
{
    // During an outage of the table, holders can't renew in the table either.
    // Leases therefore do not expire while the rows could not be read.
    bool const has_gap =
        !m_last_read || now - *m_last_read > m_options.m_max_read_gap;
    m_last_read = now;
    std::map<std::string, observed_lease> found;
    for (table::table_row const& row : rows)
    {
        found[row.m_row] = parse_row(row);
    }
    std::vector<observed_lease> all;
    for (auto& [name, item] : m_rows)
    {
        table::table_row absent;
        absent.m_row = name;
        auto const place = found.find(name);
        observed_lease const seen =
            place == found.end() ? parse_row(absent) : place->second;
        all.push_back(seen);
        observe(item, seen, now);
        if (has_gap)
        {
            item.m_unchanged_since = now;
        }
        if (item.m_state == row_state::acquiring &&
            !has_open_transaction(name) && sent_at >= item.m_unknown_since)
        {
            // This read started after the outcome became unknown and does not
            // show the write. If the write is still applied later, observe()
            // recognises the token in the row.
            item.m_state = row_state::not_owned;
        }
    }
    m_voter.table_read(all, sent_at);
}

void lease_manager::transaction_done(std::uint64_t number,
                                     table::transaction_reply const& reply,
                                     time_point now)
{
    auto const found = m_transactions.find(number);
    if (found == m_transactions.end())
    {
        return;
    }
    open_transaction const sent = found->second;
    m_transactions.erase(found);
    switch (reply.m_status)
    {
    case table::transaction_status::committed:
        transaction_committed(sent, reply, now);
        return;
    case table::transaction_status::unknown:
        mark_outcome_unknown(sent, now);
        return;
    case table::transaction_status::conflict:
    case table::transaction_status::not_applied:
        break;
    }
    for (auto const& [name, sequence] : sent.m_rows)
    {
        auto const row = m_rows.find(name);
        if (row != m_rows.end() && row->second.m_state == row_state::acquiring)
        {
            row->second.m_state = row_state::not_owned;
        }
    }
    for (table::table_row const& row : reply.m_rows)
    {
        auto const place = m_rows.find(row.m_row);
        if (place != m_rows.end())
        {
            observe(place->second, parse_row(row), now);
        }
    }
}

lease_confirm_reply
lease_manager::confirm_requested(lease_confirm_request const& request,
                                 time_point now)
{
    return m_voter.confirm(request, now);
}

void lease_manager::reply_received(lease_confirm_reply const& reply,
                                   time_point now)
{
    auto const round = m_rounds.find(reply.m_round);
    if (round == m_rounds.end() || !m_known.contains(reply.m_sender))
    {
        return;
    }
    if (reply.m_sender != m_options.m_self)
    {
        m_voter.peer_claims_received(
            reply, round->second.m_sent_at,
            membership::restart_quorum_size(m_known.size()));
    }
    count_confirmations(reply, round->second, now);
}

void lease_manager::release_all(time_point now)
{
    m_releasing = true;
    m_next_tick = now;
    for (auto& [name, item] : m_rows)
    {
        // Only a confirmed lease is written as free: while a lease is not
        // confirmed, a quorum may still support an earlier holder.
        if (item.m_state == row_state::owned && item.m_confirmed)
        {
            item.m_state = row_state::releasing;
        }
        else
        {
            drop_lease(item);
        }
    }
}

bool lease_manager::is_released() const
{
    return std::ranges::none_of(
        m_rows, [](auto const& entry)
        { return entry.second.m_state == row_state::releasing; });
}

std::optional<lease_grant> lease_manager::held(std::string const& row,
                                               time_point now) const
{
    auto const found = m_rows.find(row);
    if (found == m_rows.end())
    {
        return std::nullopt;
    }
    lease_row const& item = found->second;
    std::optional<time_point> const until = valid_until(item);
    if (item.m_state != row_state::owned || !item.m_confirmed || !until ||
        now >= *until)
    {
        return std::nullopt;
    }
    return lease_grant{item.m_claim.m_fence, item.m_acquired_at, *until};
}

std::optional<instance_id> lease_manager::holder(std::string const& row) const
{
    auto const found = m_rows.find(row);
    if (found == m_rows.end() ||
        found->second.m_observed.m_claim.m_holder.empty())
    {
        return std::nullopt;
    }
    return found->second.m_observed.m_claim.m_holder;
}

void lease_manager::observe(lease_row& item, observed_lease const& seen,
                            time_point now)
{
    if (item.m_is_read && seen.m_version < item.m_observed.m_version)
    {
        return; // stale: a newer version was seen before
    }
    bool const is_new =
        !item.m_is_read || seen.m_version != item.m_observed.m_version;
    if (!is_new)
    {
        return;
    }
    item.m_is_read = true;
    item.m_observed = seen;
    item.m_unchanged_since = now;
    bool const is_own = !item.m_claim.m_token.empty() &&
                        seen.m_claim.m_token == item.m_claim.m_token;
    if (is_own)
    {
        own_write_committed(item, seen.m_sequence, seen.m_version, now);
    }
    else if (item.m_state != row_state::not_owned &&
             item.m_state != row_state::acquiring)
    {
        drop_lease(item);
    }
}

void lease_manager::own_write_committed(lease_row& item, std::int64_t sequence,
                                        std::int64_t version, time_point now)
{
    auto const write = item.m_writes.find(sequence);
    if (write == item.m_writes.end())
    {
        return;
    }
    time_point const sent_at = write->second;
    item.m_writes.erase(item.m_writes.begin(), std::next(write));
    item.m_written_at = std::max(item.m_written_at.value_or(sent_at), sent_at);
    item.m_is_read = true;
    item.m_observed = {item.m_claim, version, sequence};
    item.m_unchanged_since = now;
    if (item.m_state != row_state::releasing)
    {
        item.m_state = row_state::owned;
    }
}

void lease_manager::drop_lease(lease_row& item)
{
    item.m_state = row_state::not_owned;
    item.m_claim = lease_claim();
    item.m_writes.clear();
    item.m_confirmed = false;
    item.m_written_at.reset();
    item.m_quorum_at.reset();
}

void lease_manager::transaction_committed(open_transaction const& sent,
                                          table::transaction_reply const& reply,
                                          time_point now)
{
    for (table::table_row const& row : reply.m_rows)
    {
        auto const place = m_rows.find(row.m_row);
        auto const write = sent.m_rows.find(row.m_row);
        if (place == m_rows.end() || write == sent.m_rows.end())
        {
            continue;
        }
        lease_row& item = place->second;
        if (write->second == 0)
        {
            observed_lease free;
            free.m_claim.m_row = row.m_row;
            free.m_claim.m_fence = item.m_observed.m_claim.m_fence;
            free.m_version = row.m_version;
            observe(item, free, now);
        }
        else if (row.m_version >= item.m_observed.m_version)
        {
            own_write_committed(item, write->second, row.m_version, now);
        }
    }
}

void lease_manager::mark_outcome_unknown(open_transaction const& sent,
                                         time_point now)
{
    for (auto const& [name, sequence] : sent.m_rows)
    {
        auto const place = m_rows.find(name);
        if (place != m_rows.end())
        {
            place->second.m_unknown_since = now;
        }
    }
}

bool lease_manager::has_open_transaction(std::string const& row) const
{
    return std::ranges::any_of(m_transactions, [&](auto const& entry)
                               { return entry.second.m_rows.contains(row); });
}

void lease_manager::count_confirmations(lease_confirm_reply const& reply,
                                        confirm_round& round, time_point now)
{
    std::size_t const needed = membership::quorum_size(m_known.size());
    for (std::string const& name : reply.m_confirmed)
    {
        auto const place = m_rows.find(name);
        bool const is_current =
            place != m_rows.end() &&
            place->second.m_state == row_state::owned &&
            std::ranges::find(round.m_claims, place->second.m_claim) !=
                round.m_claims.end();
        std::set<instance_id>& voters = round.m_confirmed[name];
        voters.insert(reply.m_sender);
        if (!is_current || voters.size() < needed)
        {
            continue;
        }
        lease_row& item = place->second;
        if (!item.m_confirmed && now < round.m_sent_at + m_options.m_lease_time)
        {
            item.m_confirmed = true;
            item.m_acquired_at = now;
        }
        item.m_quorum_at = std::max(item.m_quorum_at.value_or(round.m_sent_at),
                                    round.m_sent_at);
    }
}

std::optional<time_point>
lease_manager::valid_until(lease_row const& item) const
{
    if (!item.m_written_at)
    {
        return std::nullopt;
    }
    time_point const latest = std::max(
        *item.m_written_at, item.m_quorum_at.value_or(*item.m_written_at));
    return latest + m_options.m_lease_time;
}

} // namespace daisylead::lease
