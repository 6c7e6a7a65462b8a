/** @file Life cycle of requests: attempts, retries and quarantine. */
#include "refusals.hpp"
#include "request_flow.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::core
{

namespace
{

using nlohmann::json;
using request::attempt_outcome;
using request::attempt_result;
using request::refusal;
using request::refusal_code;
using request::run_outcome;

/** A claimed call tries another upstream after a refused connection, as long as
 *  the claim is fresh. */
constexpr std::chrono::seconds claimed_retry_time{2};

/** Each broken attempt may have crashed an upstream, and the crash is noticed
 *  after the next attempt has begun. Two attempts bound the damage of one
 *  request before the quarantine knows it. */
constexpr int max_broken_attempts = 2;

/** The timer of an attempt counts whole milliseconds from a start of its own
 *  and may end this much before the deadline that it was set to. */
constexpr std::chrono::milliseconds attempt_timer_error{2};

constexpr std::chrono::milliseconds news_timeout{1000};
constexpr std::size_t explained_candidates = 3;

json explain_candidates(routing::choice const& chosen)
{
    json weighed = json::array();
    for (routing::candidate_view const& item : chosen.m_candidates)
    {
        std::chrono::duration<double, std::milli> const estimate =
            item.m_estimate;
        weighed.push_back({{"upstream", item.m_id.value()},
                           {"estimate_ms", estimate.count()},
                           {"cached_tokens", item.m_cached_tokens.value()},
                           {"waiting_tokens", item.m_waiting_tokens.value()},
                           {"own_in_flight", item.m_own_in_flight}});
    }
    json left_out = json::object();
    for (auto const& [reason, count] : chosen.m_left_out)
    {
        left_out[routing::to_string(reason)] = count;
    }
    return {{"reason", chosen.m_reason},
            {"weighed", weighed},
            {"left_out", left_out}};
}

} // namespace

routing::choice request_flow::choose(state const& item, time_point now)
{
    routing::choice_request query;
    query.m_zone = m_options.m_zone;
    std::vector<upstream_id> excluded = item.m_excluded;
    if (item.m_must_run_alone)
    {
        for (upstream_id const& id : usable_upstreams(item, now))
        {
            if (m_quarantine.has_suspect_in_flight(id, now))
            {
                excluded.push_back(id);
            }
        }
    }
    query.m_exclude = excluded;
    if (item.m_route != nullptr)
    {
        query.m_route_upstreams = item.m_route->m_upstreams;
        return m_upstreams.table().choose(query, now, explained_candidates);
    }
    prefix::cached_blocks cached;
    m_upstreams.index().lookup(item.m_chain, cached);
    config::rules const& rules = item.m_configuration->m_rules;
    query.m_model = item.m_model;
    query.m_weights_version = item.m_weights;
    query.m_adapter = item.m_adapter;
    query.m_adapter_version = item.m_adapter_weights;
    query.m_blocks = item.m_chain.m_blocks;
    query.m_cached = cached;
    query.m_prompt_tokens = item.m_prompt_tokens;
    query.m_block_tokens = token_count(rules.m_block_size.value() /
                                       std::max(1, rules.m_bytes_per_token));
    return m_upstreams.table().choose(query, now, explained_candidates);
}

void request_flow::start(state& item, time_point now)
{
    if (needs_claim(item) && !item.m_claimed)
    {
        if (!m_table_reachable)
        {
            refuse(item.m_info.m_id,
                   not_run(refusal_code::not_ready,
                           "the platform's table cannot be reached, so the "
                           "call cannot be protected from running twice"),
                   now);
            return;
        }
        begin_claim(item, now);
        return;
    }
    routing::choice const chosen = choose(item, now);
    if (!chosen.m_upstream)
    {
        m_explanations.add(item.m_info.m_id, now, "no_upstream",
                           explain_candidates(chosen));
        refuse(
            item.m_info.m_id,
            {refusal_code::no_upstream,
             item.m_may_have_run ? run_outcome::unknown : run_outcome::not_run,
             default_retry_after, "no upstream can serve this now"},
            now);
        return;
    }
    begin_attempt(item, chosen, now);
}

void request_flow::begin_attempt(state& item, routing::choice const& chosen,
                                 time_point now)
{
    auto const& upstreams = item.m_configuration->m_upstreams;
    auto const target =
        std::find_if(upstreams.begin(), upstreams.end(),
                     [&](config::upstream const& entry)
                     { return entry.m_id == *chosen.m_upstream; });
    ++item.m_attempts;
    item.m_phase = phase::running;
    item.m_unserved_since.reset();
    item.m_upstream = *chosen.m_upstream;
    item.m_tried.push_back(item.m_upstream);
    item.m_attempt = attempt_id(item.m_info.m_id.value() + "." +
                                std::to_string(item.m_attempts));
    m_quarantine.attempt_begun(item.m_attempt,
                               {item.m_organisation, item.m_info.m_body_digest},
                               life_of(item.m_upstream));
    item.m_send = m_upstreams.table().note_sent(
        item.m_upstream, item.m_prompt_tokens - chosen.m_cached_tokens, now);
    start_attempt start;
    start.m_request = item.m_info.m_id;
    start.m_attempt = item.m_attempt;
    start.m_upstream = item.m_upstream;
    start.m_address =
        target == upstreams.end() ? std::string() : target->m_address;
    start.m_organisation = item.m_organisation;
    start.m_engine = item.m_route == nullptr;
    start.m_fresh_connection = !is_repeatable(item);
    start.m_model = item.m_info.m_model;
    start.m_cache_salt = item.m_chain.m_cache_salt;
    start.m_weights_version = item.m_weights.value();
    start.m_blocks = item.m_chain.hex_blocks();
    start.m_priority = item.m_priority;
    start.m_max_tokens = item.m_max_tokens;
    start.m_timeout = item.m_deadline - now;
    if (auto const number = m_upstreams.table().number_of(item.m_upstream);
        number && start.m_engine)
    {
        m_upstreams.index().assume_stored(*number, item.m_chain);
    }
    json detail = explain_candidates(chosen);
    detail["upstream"] = item.m_upstream.value();
    detail["attempt"] = item.m_attempt.value();
    m_explanations.add(item.m_info.m_id, now, "upstream_chosen",
                       std::move(detail));
    m_actions.push(std::move(start));
}

void request_flow::on(first_token_received const& item, time_point now)
{
    state* const request = find(item.m_request);
    if (request == nullptr || request->m_attempt != item.m_attempt)
    {
        return;
    }
    m_upstreams.table().note_first_token(request->m_send, now);
    if (request->m_attempts == 1)
    {
        m_hooks.m_observe("daisylead_first_token_seconds",
                          now - request->m_arrived);
    }
}

void request_flow::note_attempt_end(state& item, attempt_result const& result,
                                    time_point now)
{
    bool const succeeded = result.m_outcome == attempt_outcome::complete;
    spread(m_quarantine.attempt_ended(item.m_attempt, result.m_outcome, now));
    if (succeeded)
    {
        m_retries.on_success(item.m_organisation);
    }
    m_upstreams.table().note_ended(item.m_send, succeeded);
    if (result.m_outcome == attempt_outcome::connect_failed)
    {
        m_upstreams.table().note_refused(item.m_upstream, now);
        on_upstream_crash(life_of(item.m_upstream), now);
    }
    else if (result.m_outcome == attempt_outcome::broken ||
             result.m_outcome == attempt_outcome::timed_out)
    {
        m_upstreams.table().note_failed(item.m_upstream, now);
    }
    item.m_may_have_run = item.m_may_have_run || result.m_may_have_sent;
    item.m_generated = std::max(item.m_generated, result.m_generated);
    m_hooks.m_count("daisylead_attempts_total",
                    request::to_string(result.m_outcome));
    m_explanations.add(item.m_info.m_id, now, "attempt_ended",
                       {{"attempt", item.m_attempt.value()},
                        {"upstream", item.m_upstream.value()},
                        {"outcome", request::to_string(result.m_outcome)},
                        {"http_status", result.m_http_status},
                        {"generated_tokens", result.m_generated.value()},
                        {"detail", result.m_message}});
}

void request_flow::on(attempt_ended const& ended, time_point now)
{
    state* const item = find(ended.m_request);
    if (item == nullptr)
    {
        // The caller of a claimed call left; its outcome is still stored.
        run_claim_actions(
            m_claims.on_attempt(ended.m_request, ended.m_result, now), now);
        return;
    }
    if (item->m_attempt != ended.m_attempt)
    {
        return;
    }
    attempt_result const& result = ended.m_result;
    note_attempt_end(*item, result, now);
    if (result.m_outcome != attempt_outcome::complete &&
        prepare_retry(*item, result, now))
    {
        retry(*item, now);
    }
    else if (item->m_claimed)
    {
        item->m_phase = phase::claiming;
        run_claim_actions(m_claims.on_attempt(ended.m_request, result, now),
                          now);
    }
    else if (result.m_outcome == attempt_outcome::complete)
    {
        m_hooks.m_observe("daisylead_request_seconds", now - item->m_arrived);
        m_actions.push(complete_request{ended.m_request});
        finish(ended.m_request, now);
    }
    else
    {
        refuse(ended.m_request, give_up(*item, result, now), now);
    }
    dispatch(now);
}

bool request_flow::prepare_retry(state& item, attempt_result const& result,
                                 time_point now)
{
    bool const is_fresh =
        !item.m_claimed || now - item.m_arrived < claimed_retry_time;
    if (result.m_outcome == attempt_outcome::cancelled || !is_fresh)
    {
        return false;
    }
    if (result.m_outcome == attempt_outcome::broken)
    {
        ++item.m_broken_attempts;
    }
    if (item.m_broken_attempts >= max_broken_attempts ||
        check_quarantine(item, now))
    {
        return false;
    }
    request::retry_context question;
    question.m_organisation = item.m_organisation;
    question.m_repeatable = is_repeatable(item);
    question.m_attempts = item.m_attempts;
    question.m_deadline = item.m_deadline;
    question.m_result = result;
    question.m_tried = item.m_tried;
    question.m_usable = usable_upstreams(item, now);
    request::retry_decision const decision = m_retries.decide(question, now);
    m_explanations.add(item.m_info.m_id, now, "retry_decided",
                       {{"verdict", request::to_string(decision.m_verdict)}});
    if (decision.m_verdict != request::retry_verdict::retry)
    {
        return false;
    }
    item.m_excluded.clear();
    for (upstream_id const& id : question.m_usable)
    {
        if (std::find(decision.m_candidates.begin(),
                      decision.m_candidates.end(),
                      id) == decision.m_candidates.end())
        {
            item.m_excluded.push_back(id);
        }
    }
    item.m_not_before = now + decision.m_delay;
    return true;
}

std::vector<upstream_id> request_flow::usable_upstreams(state const& item,
                                                        time_point now) const
{
    std::vector<upstream_id> result;
    if (item.m_route != nullptr)
    {
        result = item.m_route->m_upstreams;
    }
    else
    {
        for (config::upstream const& entry : item.m_configuration->m_upstreams)
        {
            if (std::find(entry.m_models.begin(), entry.m_models.end(),
                          item.m_model) != entry.m_models.end())
            {
                result.push_back(entry.m_id);
            }
        }
    }
    std::erase_if(result, [&](upstream_id const& id)
                  { return m_upstreams.table().is_leaving(id, now); });
    return result;
}

void request_flow::retry(state& item, time_point now)
{
    if (item.m_not_before <= now)
    {
        routing::choice const chosen = choose(item, now);
        if (chosen.m_upstream)
        {
            begin_attempt(item, chosen, now);
            return;
        }
    }
    if (item.m_claimed)
    {
        attempt_result unsent;
        unsent.m_outcome = attempt_outcome::connect_failed;
        unsent.m_message = "no upstream can serve this now";
        run_claim_actions(m_claims.on_attempt(item.m_info.m_id, unsent, now),
                          now);
        return;
    }
    enqueue(item, now);
}

std::optional<refusal> request_flow::check_quarantine(state& item,
                                                      time_point now)
{
    request::quarantine_decision const answer = m_quarantine.check(
        {item.m_organisation, item.m_info.m_body_digest}, now);
    item.m_must_run_alone =
        answer.m_verdict == request::quarantine_verdict::isolated;
    if (answer.m_verdict != request::quarantine_verdict::refused)
    {
        return std::nullopt;
    }
    return refusal{refusal_code::quarantined,
                   item.m_may_have_run ? run_outcome::unknown
                                       : run_outcome::not_run,
                   answer.m_retry_after,
                   "this request was running when several upstreams crashed"};
}

request::upstream_incarnation request_flow::life_of(upstream_id const& id) const
{
    return {id, m_upstreams.incarnation_of(id)};
}

void request_flow::on_upstream_crash(request::upstream_incarnation const& crash,
                                     time_point now)
{
    spread(m_quarantine.upstream_crashed(crash, now));
}

void request_flow::on_news(peer::quarantine_news const& news, time_point now)
{
    for (request::quarantine_update const& item : news.m_entries)
    {
        m_quarantine.on_peer_update(item, now);
    }
}

void request_flow::spread(std::vector<request::quarantine_update> const& news)
{
    if (news.empty())
    {
        return;
    }
    for (auto const& [id, member] : m_members.members())
    {
        m_actions.push(
            send_to_peer{{component::quarantine, 0},
                         member.m_address,
                         {m_options.m_instance, m_options.m_incarnation,
                          peer::quarantine_news{news}},
                         news_timeout});
    }
}

refusal request_flow::give_up(state const& item, attempt_result const& result,
                              time_point now)
{
    request::quarantine_decision const quarantined = m_quarantine.check(
        {item.m_organisation, item.m_info.m_body_digest}, now);
    run_outcome const outcome =
        item.m_may_have_run ? run_outcome::unknown : run_outcome::not_run;
    bool const timed_out = result.m_outcome == attempt_outcome::timed_out &&
                           now + attempt_timer_error >= item.m_deadline;
    if (timed_out || now >= item.m_deadline)
    {
        return {refusal_code::deadline_exceeded, outcome, default_retry_after,
                "the deadline passed before the answer was complete"};
    }
    if (quarantined.m_verdict == request::quarantine_verdict::refused)
    {
        return {refusal_code::quarantined, outcome, quarantined.m_retry_after,
                "this request was running when several upstreams crashed"};
    }
    if (!item.m_may_have_run)
    {
        return {refusal_code::no_upstream, outcome, default_retry_after,
                "no upstream accepted the request"};
    }
    return {refusal_code::upstream_failed, outcome, default_retry_after,
            "the upstream did not complete the answer (" +
                request::to_string(result.m_outcome) + ")"};
}

} // namespace daisylead::core
