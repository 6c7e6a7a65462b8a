/** @file claim_flow: results of sends, stored outcomes and answers. */
#include "claim_flow_impl.hpp"

#include <algorithm>
#include <chrono>

namespace daisylead::request
{

namespace
{

using table::transaction_status;

constexpr std::chrono::seconds retry_after{1};
constexpr std::chrono::milliseconds initial_store_delay{100};
constexpr std::chrono::milliseconds max_store_delay{5000};

refusal response_lost(std::optional<duration> retry)
{
    return {refusal_code::outcome_unknown, run_outcome::done, retry,
            retry ? "the call ran; its stored response cannot be read now"
                  : "the call ran; its response was not stored"};
}

/** Only a connection that was never established proves that no byte was sent.
 */
bool is_unsent(attempt_result const& result)
{
    return result.m_outcome == attempt_outcome::connect_failed &&
           !result.m_may_have_sent && result.m_http_status == 0;
}

} // namespace

void claim_flow::impl::on_attempt(request_id const& request,
                                  attempt_result const& result, time_point now)
{
    auto const row = m_rows.find(request);
    key_state* const item = row == m_rows.end() ? nullptr : find(row->second);
    if (item == nullptr || item->m_stage != stage::permitted ||
        item->m_requests.front().m_id != request)
    {
        return;
    }
    waiter const front = item->m_requests.front();
    item->m_requests.erase(item->m_requests.begin());
    m_rows.erase(request);
    if (is_unsent(result))
    {
        if (!front.m_caller_gone)
        {
            refuse(request, {refusal_code::no_upstream, run_outcome::not_run,
                             retry_after, "the upstream cannot be reached"});
        }
        permit_front(*item, now);
        return;
    }
    if (result.m_outcome != attempt_outcome::complete)
    {
        refusal const answer{refusal_code::outcome_unknown,
                             run_outcome::unknown, retry_after,
                             "the call was sent and no complete answer came"};
        if (!front.m_caller_gone)
        {
            refuse(request, answer);
        }
        refuse_all(*item, answer);
        m_sent_calls.insert(item->m_row,
                            {item->m_claim.m_digest, run_outcome::unknown});
        // The row stays claimed. Its "ended" field lets other instances refuse
        // a repeat at once, without a wait.
        item->m_claim.m_ended = true;
        store_outcome(*item, now);
        return;
    }
    if (!front.m_caller_gone)
    {
        m_actions.emplace_back(deliver_response{request});
    }
    item->m_claim.m_done = true;
    item->m_response = result.m_response;
    replay_all(*item, item->m_response);
    m_sent_calls.insert(item->m_row,
                        {item->m_claim.m_digest, run_outcome::done});
    store_outcome(*item, now);
}

void claim_flow::impl::caller_gone(request_id const& request, time_point now)
{
    auto const row = m_rows.find(request);
    key_state* const item = row == m_rows.end() ? nullptr : find(row->second);
    if (item == nullptr)
    {
        return;
    }
    auto const found = std::find_if(
        item->m_requests.begin(), item->m_requests.end(),
        [&](waiter const& other) { return other.m_id == request; });
    if (item->m_stage == stage::permitted && found == item->m_requests.begin())
    {
        found->m_caller_gone = true;
        return;
    }
    item->m_requests.erase(found);
    m_rows.erase(row);
    expire_waiters(*item, now);
}

void claim_flow::impl::store_outcome(key_state& item, time_point now)
{
    item.m_stage = stage::storing;
    item.m_store_deadline = now + m_options.m_store_timeout;
    item.m_retry_delay = initial_store_delay;
    std::size_t const size =
        item.m_response ? item.m_response->m_body.size() : 0;
    if (m_stored_bytes + size > m_options.m_max_store_bytes)
    {
        // The row records that the call ran even without its response.
        item.m_response.reset();
    }
    if (item.m_response)
    {
        m_stored_bytes += size;
        item.m_stored_bytes = size;
        item.m_claim.m_status = item.m_response->m_status;
        item.m_claim.m_content_type = item.m_response->m_content_type;
        if (fits_in_row(item.m_response->m_body))
        {
            item.m_claim.m_body = item.m_response->m_body;
        }
        else
        {
            item.m_claim.m_object = object_name(item.m_response->m_body);
            item.m_stage = stage::storing_object;
        }
    }
    try_store(item, now);
}

void claim_flow::impl::try_store(key_state& item, time_point now)
{
    item.m_call_pending = true;
    if (item.m_stage == stage::storing_object)
    {
        std::uint64_t const call = m_next_call++;
        m_calls[call] = {
            {call_kind::store_object, item.m_row, item.m_claim.m_token}};
        m_actions.emplace_back(claim_write_object{call, item.m_claim.m_object,
                                                  item.m_response->m_body});
        return;
    }
    m_writer.submit({write_purpose::store, item.m_row, item.m_claim.m_token,
                     item.m_version, encode(item.m_claim)},
                    now, m_actions);
}

void claim_flow::impl::retry_store(key_state& item, time_point now)
{
    item.m_call_pending = false;
    if (now >= item.m_store_deadline)
    {
        erase_key(item);
        return;
    }
    item.m_due = now + item.m_retry_delay;
    item.m_retry_delay =
        std::min<duration>(2 * item.m_retry_delay, max_store_delay);
    schedule(item, item.m_due);
}

void claim_flow::impl::on_store_result(write_result const& result,
                                       time_point now)
{
    key_state* const item =
        find_claim(result.m_write.m_row, result.m_write.m_token);
    if (item == nullptr || item->m_stage != stage::storing)
    {
        return;
    }
    // Only the claimant writes the row, so a conflict means that an earlier try
    // was applied or that the row was deleted at the end of its retention.
    if (result.m_status == transaction_status::committed ||
        result.m_status == transaction_status::conflict)
    {
        erase_key(*item);
        return;
    }
    retry_store(*item, now);
}

void claim_flow::impl::on_object_written(std::uint64_t call, bool stored,
                                         time_point now)
{
    auto contexts = m_calls.extract(call);
    if (!contexts ||
        contexts.mapped().front().m_kind != call_kind::store_object)
    {
        return;
    }
    call_context const& context = contexts.mapped().front();
    key_state* const item = find_claim(context.m_row, context.m_token);
    if (item == nullptr || item->m_stage != stage::storing_object)
    {
        return;
    }
    if (!stored)
    {
        retry_store(*item, now);
        return;
    }
    item->m_stage = stage::storing;
    try_store(*item, now);
}

void claim_flow::impl::on_done_row(key_state& item, claim_row const& found,
                                   time_point)
{
    if (found.m_status == 0)
    {
        refuse_all(item, response_lost(std::nullopt));
        erase_key(item);
        return;
    }
    if (found.m_body)
    {
        replay_all(item,
                   std::make_shared<stored_response const>(stored_response{
                       found.m_status, found.m_content_type, *found.m_body}));
        erase_key(item);
        return;
    }
    item.m_stage = stage::fetching;
    item.m_done_row = found;
    std::uint64_t const call = m_next_call++;
    m_calls[call] = {{call_kind::fetch_object, item.m_row, found.m_token}};
    m_actions.emplace_back(claim_read_object{call, found.m_object});
}

void claim_flow::impl::on_object_read(std::uint64_t call,
                                      std::optional<std::string> const& content,
                                      time_point)
{
    auto contexts = m_calls.extract(call);
    if (!contexts ||
        contexts.mapped().front().m_kind != call_kind::fetch_object)
    {
        return;
    }
    call_context const& context = contexts.mapped().front();
    key_state* const item = find(context.m_row);
    if (item == nullptr || item->m_stage != stage::fetching ||
        item->m_done_row.m_token != context.m_token)
    {
        return;
    }
    claim_row const& found = item->m_done_row;
    if (content && object_name(*content) == found.m_object)
    {
        replay_all(*item,
                   std::make_shared<stored_response const>(stored_response{
                       found.m_status, found.m_content_type, *content}));
    }
    else
    {
        refuse_all(*item, response_lost(retry_after));
    }
    erase_key(*item);
}

void claim_flow::impl::refuse(request_id const& request, refusal answer)
{
    m_rows.erase(request);
    m_actions.emplace_back(refuse_claim{request, std::move(answer)});
}

void claim_flow::impl::refuse_all(key_state& item, refusal const& answer)
{
    for (waiter const& request : std::exchange(item.m_requests, {}))
    {
        refuse(request.m_id, answer);
    }
}

void claim_flow::impl::replay_all(
    key_state& item, std::shared_ptr<stored_response const> const& response)
{
    if (!response)
    {
        refuse_all(item, response_lost(std::nullopt));
        return;
    }
    for (waiter const& request : std::exchange(item.m_requests, {}))
    {
        m_rows.erase(request.m_id);
        m_actions.emplace_back(replay_response{request.m_id, response});
    }
}

} // namespace daisylead::request
