/** @file claim_flow: writing a claim, reading it back and waiting for another
 *  instance's run. */
#include "claim_flow_impl.hpp"

#include <algorithm>
#include <chrono>

namespace daisylead::request
{

namespace
{

using table::table_row;
using table::transaction_status;

constexpr std::chrono::seconds retry_after{1};
constexpr std::chrono::milliseconds initial_poll_delay{200};
constexpr std::chrono::milliseconds max_poll_delay{1000};
/** Limits the claims tried on a row that changes each time. */
constexpr int max_claim_tries = 5;

refusal key_reused()
{
    return {refusal_code::key_reused, run_outcome::not_run, std::nullopt,
            "the idempotency key was used with another body"};
}

refusal outcome_unknown(char const* message)
{
    return {refusal_code::outcome_unknown, run_outcome::unknown, retry_after,
            message};
}

} // namespace

claim_flow::impl::impl(claim_options options, claim_hooks hooks)
    : m_options(std::move(options)), m_hooks(std::move(hooks)),
      m_writer(m_options.m_batch_delay, m_next_call),
      m_releases(m_options.m_max_releases),
      m_sent_calls(m_options.m_max_sent_calls)
{
}

void claim_flow::impl::begin(claim_request const& request, time_point now)
{
    std::string const row =
        claim_row_name(request.m_organisation, request.m_key);
    if (key_state* const item = find(row))
    {
        join(*item, request, now);
        return;
    }
    if (answer_from_sent_calls(request, row))
    {
        return;
    }
    if (m_keys.size() >= m_options.m_max_keys)
    {
        refuse(request.m_id, {refusal_code::overloaded, run_outcome::not_run,
                              retry_after, "too many calls are in progress"});
        return;
    }
    key_state& item = m_keys[row];
    item.m_row = row;
    item.m_claim.m_digest = request.m_body_digest;
    item.m_claim.m_claimant = m_options.m_instance;
    item.m_claim.m_incarnation = m_options.m_incarnation;
    item.m_claim.m_wall_ms = request.m_wall_ms;
    join(item, request, now);
    start_claim(item, 0, now);
}

bool claim_flow::impl::answer_from_sent_calls(claim_request const& request,
                                              std::string const& row)
{
    sent_call const* const sent = m_sent_calls.find(row);
    if (sent == nullptr)
    {
        return false;
    }
    if (sent->m_digest != request.m_body_digest)
    {
        refuse(request.m_id, key_reused());
        return true;
    }
    if (sent->m_outcome == run_outcome::unknown)
    {
        refuse(request.m_id, outcome_unknown("the call was sent and its "
                                             "outcome is not known"));
        return true;
    }
    return false;
}

void claim_flow::impl::join(key_state& item, claim_request const& request,
                            time_point now)
{
    if (item.m_claim.m_digest != request.m_body_digest)
    {
        // While this instance does not own the claim and the call is not done,
        // it is not known which of the two bodies the key will belong to.
        bool const settled = item.m_stage != stage::claiming &&
                             item.m_stage != stage::reading_back &&
                             item.m_stage != stage::waiting;
        refuse(request.m_id,
               settled ? key_reused()
                       : outcome_unknown("another call with this idempotency "
                                         "key is in progress"));
        return;
    }
    if (item.m_claim.m_ended)
    {
        refuse(request.m_id, outcome_unknown("the call was sent and its "
                                             "outcome is not known"));
        return;
    }
    if (item.m_stage == stage::storing_object || item.m_stage == stage::storing)
    {
        m_rows.emplace(request.m_id, item.m_row);
        item.m_requests.push_back({request.m_id, now});
        replay_all(item, item.m_response);
        return;
    }
    if (item.m_requests.size() >= m_options.m_max_waiters)
    {
        refuse(request.m_id,
               outcome_unknown("too many requests wait for this call"));
        return;
    }
    // Waits for at most half of the remaining time, so that the request is not
    // held until close to its deadline.
    time_point const until =
        now + std::max(duration::zero(), request.m_deadline - now) / 2;
    m_rows.emplace(request.m_id, item.m_row);
    item.m_requests.push_back({request.m_id, until, item.m_claim_tries > 0});
    schedule(item, until);
}

void claim_flow::impl::refuse_by_snapshot(key_state& item,
                                          refusal const& answer)
{
    for (waiter const& request : std::exchange(item.m_requests, {}))
    {
        refuse(request.m_id,
               request.m_joined_late
                   ? outcome_unknown("another call with this idempotency key "
                                     "is in progress")
                   : answer);
    }
}

void claim_flow::impl::start_claim(key_state& item, std::int64_t version,
                                   time_point now)
{
    if (++item.m_claim_tries > max_claim_tries)
    {
        refuse_by_snapshot(item,
                           {refusal_code::overloaded, run_outcome::not_run,
                            retry_after, "the claim changes too often"});
        erase_key(item);
        return;
    }
    if (item.m_claim_tries == 1 || item.m_stage == stage::waiting)
    {
        item.m_claim_started_at = now;
    }
    item.m_stage = stage::claiming;
    item.m_claim.m_token = m_options.m_instance.value() + "." +
                           std::to_string(m_options.m_incarnation.value()) +
                           "." + std::to_string(m_next_token++) + "." +
                           std::to_string(m_hooks.m_random());
    m_writer.submit({write_purpose::claim, item.m_row, item.m_claim.m_token,
                     version, encode(item.m_claim)},
                    now, m_actions);
}

void claim_flow::impl::on_claim_result(write_result const& result,
                                       time_point now)
{
    row_write const& write = result.m_write;
    key_state* const item = find_claim(write.m_row, write.m_token);
    if (item == nullptr)
    {
        return;
    }
    switch (result.m_status)
    {
    case transaction_status::committed:
        on_claim_acquired(*item, result.m_row.m_version, now);
        return;
    case transaction_status::conflict:
        on_existing_row(*item, result.m_row, now);
        return;
    case transaction_status::not_applied:
        refuse_all(*item, table_unreachable(*item));
        erase_key(*item);
        return;
    case transaction_status::unknown:
        item->m_stage = stage::reading_back;
        queue_read(call_kind::read_back, item->m_row, write.m_token);
        return;
    }
}

refusal claim_flow::impl::table_unreachable(key_state const& item) const
{
    if (m_sent_calls.find(item.m_row) != nullptr)
    {
        return {refusal_code::not_ready, run_outcome::done, retry_after,
                "the call ran; its stored response cannot be read now"};
    }
    return {refusal_code::not_ready, run_outcome::not_run, retry_after,
            "the table that records calls cannot be reached"};
}

void claim_flow::impl::on_claim_acquired(key_state& item, std::int64_t version,
                                         time_point now)
{
    item.m_version = version;
    permit_front(item, now);
}

void claim_flow::impl::permit_front(key_state& item, time_point now)
{
    if (item.m_requests.empty())
    {
        release_unsent(item, now);
        return;
    }
    if (now - item.m_claim_started_at > m_options.m_max_claim_age)
    {
        refuse_all(item, {refusal_code::not_ready, run_outcome::not_run,
                          retry_after, "the claim became too old to be used"});
        release_unsent(item, now);
        return;
    }
    item.m_stage = stage::permitted;
    m_actions.emplace_back(permit_send{item.m_requests.front().m_id});
}

void claim_flow::impl::release_unsent(key_state& item, time_point now)
{
    m_releases.add(item.m_row, item.m_claim.m_token, item.m_version, now);
    erase_key(item);
}

void claim_flow::impl::on_existing_row(key_state& item, table_row const& row,
                                       time_point now)
{
    if (item.m_requests.empty())
    {
        erase_key(item);
        return;
    }
    if (row.m_version == 0)
    {
        start_claim(item, 0, now);
        return;
    }
    std::optional<claim_row> const found = parse_claim_row(row.m_value);
    if (!found)
    {
        refuse_all(item, outcome_unknown("the record of the call is damaged"));
        erase_key(item);
        return;
    }
    if (m_releases.contains(found->m_token))
    {
        // The row is an own claim that will not be sent, so it can be replaced.
        // A new token is needed because a delete of the old one may be in
        // flight.
        start_claim(item, row.m_version, now);
        return;
    }
    if (!found->m_token.empty() && found->m_token == item.m_claim.m_token)
    {
        on_claim_acquired(item, row.m_version, now);
        return;
    }
    on_foreign_claim(item, *found, now);
}

void claim_flow::impl::on_foreign_claim(key_state& item, claim_row const& found,
                                        time_point now)
{
    if (found.m_digest != item.m_claim.m_digest)
    {
        if (found.m_done || found.m_ended)
        {
            refuse_all(item, key_reused());
        }
        else
        {
            refuse_by_snapshot(item, key_reused());
        }
        erase_key(item);
        return;
    }
    if (found.m_done)
    {
        on_done_row(item, found, now);
        return;
    }
    // A claim of this instance that is not in progress was sent, or this
    // instance no longer tracks it.
    bool const alive =
        !found.m_ended && found.m_claimant != m_options.m_instance &&
        m_hooks.m_is_instance_alive(found.m_claimant, found.m_incarnation);
    if (!alive)
    {
        refuse_all(item, outcome_unknown("the call was sent and its outcome "
                                         "is not known"));
        erase_key(item);
        return;
    }
    wait_for_other(item, now);
}

void claim_flow::impl::on_read_back(key_state& item, table_row const* row,
                                    bool ok, time_point now)
{
    bool const written_by_other =
        row != nullptr && row->m_version != 0 &&
        parse_claim_row(row->m_value).value_or(claim_row{}).m_token !=
            item.m_claim.m_token;
    if (ok && row != nullptr && !written_by_other)
    {
        on_claim_acquired(item, row->m_version, now);
        return;
    }
    // The write may still be applied later, so its token must not be used any
    // more.
    m_releases.add(item.m_row, std::exchange(item.m_claim.m_token, {}), 0, now);
    if (ok)
    {
        // A new claim determines the current state of the key.
        on_existing_row(item, row != nullptr ? *row : table_row{}, now);
        return;
    }
    refuse_all(item, table_unreachable(item));
    erase_key(item);
}

void claim_flow::impl::wait_for_other(key_state& item, time_point now)
{
    if (item.m_stage != stage::waiting)
    {
        item.m_stage = stage::waiting;
        item.m_retry_delay = initial_poll_delay;
    }
    item.m_call_pending = false;
    item.m_due = now + item.m_retry_delay;
    item.m_retry_delay =
        std::min<duration>(2 * item.m_retry_delay, max_poll_delay);
    schedule(item, item.m_due);
    expire_waiters(item, now);
}

void claim_flow::impl::on_poll_reply(key_state& item, table_row const* row,
                                     bool ok, time_point now)
{
    if (!ok)
    {
        wait_for_other(item, now);
        return;
    }
    on_existing_row(item, row != nullptr ? *row : table_row{}, now);
}

void claim_flow::impl::expire_waiters(key_state& item, time_point now)
{
    bool const front_is_sent =
        item.m_stage != stage::waiting && item.m_stage != stage::fetching;
    std::vector<waiter> kept;
    for (waiter const& request : item.m_requests)
    {
        if ((front_is_sent && kept.empty()) || request.m_wait_until > now)
        {
            kept.push_back(request);
            continue;
        }
        refuse(request.m_id, outcome_unknown("another run of the call has not "
                                             "ended yet"));
    }
    item.m_requests = std::move(kept);
    if (item.m_stage == stage::waiting && item.m_requests.empty())
    {
        erase_key(item);
    }
}

} // namespace daisylead::request
