/** @file Life cycle of requests: claims of non-repeatable calls. */
#include "refusals.hpp"
#include "request_flow.hpp"

#include <nlohmann/json.hpp>

namespace daisylead::core
{

using nlohmann::json;
using request::attempt_outcome;
using request::attempt_result;

void request_flow::begin_claim(state& item, time_point now)
{
    item.m_phase = phase::claiming;
    request::claim_request claim;
    claim.m_id = item.m_info.m_id;
    claim.m_organisation = item.m_organisation;
    claim.m_key = *item.m_info.m_idempotency_key;
    claim.m_body_digest = item.m_info.m_body_digest;
    claim.m_deadline = item.m_deadline;
    claim.m_wall_ms = m_hooks.m_wall_clock();
    m_explanations.add(claim.m_id, now, "claim_requested", json::object());
    run_claim_actions(m_claims.begin(claim, now), now);
}

void request_flow::run_claim_actions(
    request::claim_flow::actions const& actions, time_point now)
{
    constexpr component part = component::claims;
    for (request::claim_action const& item : actions)
    {
        if (auto const* write = std::get_if<request::claim_transact>(&item))
        {
            m_actions.push(
                run_transaction{{part, write->m_call}, write->m_transaction});
        }
        else if (auto const* query = std::get_if<request::claim_read>(&item))
        {
            m_actions.push(read_table{{part, query->m_call}, query->m_query});
        }
        else if (auto const* put =
                     std::get_if<request::claim_write_object>(&item))
        {
            m_actions.push(
                write_object{{part, put->m_call}, put->m_name, put->m_content});
        }
        else if (auto const* get =
                     std::get_if<request::claim_read_object>(&item))
        {
            m_actions.push(read_object{{part, get->m_call}, get->m_name});
        }
        else if (auto const* send = std::get_if<request::permit_send>(&item))
        {
            permit(send->m_request, now);
        }
        else if (auto const* done =
                     std::get_if<request::deliver_response>(&item))
        {
            m_actions.push(complete_request{done->m_request});
            finish(done->m_request, now);
        }
        else if (auto const* replay =
                     std::get_if<request::replay_response>(&item))
        {
            m_explanations.add(replay->m_request, now, "replayed",
                               json::object());
            m_actions.push(
                replay_answer{replay->m_request, replay->m_response});
            finish(replay->m_request, now);
        }
        else
        {
            auto const& refused = std::get<request::refuse_claim>(item);
            refuse(refused.m_request, refused.m_refusal, now);
        }
    }
}

void request_flow::permit(request_id const& id, time_point now)
{
    state* const item = find(id);
    routing::choice const chosen =
        item == nullptr ? routing::choice{} : choose(*item, now);
    if (item == nullptr || !chosen.m_upstream)
    {
        attempt_result unsent;
        unsent.m_outcome = attempt_outcome::connect_failed;
        unsent.m_message = "no upstream can serve this now";
        run_claim_actions(m_claims.on_attempt(id, unsent, now), now);
        return;
    }
    item->m_claimed = true;
    begin_attempt(*item, chosen, now);
}

void request_flow::on(transaction_ended const& item, time_point now)
{
    run_claim_actions(
        m_claims.on_transaction(item.m_operation.m_number, item.m_reply, now),
        now);
}

void request_flow::on(table_read_ended const& item, time_point now)
{
    run_claim_actions(
        m_claims.on_read(item.m_operation.m_number, item.m_reply, now), now);
}

void request_flow::on(object_read_ended const& item, time_point now)
{
    run_claim_actions(
        m_claims.on_object_read(item.m_operation.m_number, item.m_content, now),
        now);
}

void request_flow::on(object_write_ended const& item, time_point now)
{
    run_claim_actions(m_claims.on_object_written(item.m_operation.m_number,
                                                 item.m_stored, now),
                      now);
}

} // namespace daisylead::core
