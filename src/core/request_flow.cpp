/** @file Life cycle of requests: arrival, limit, queue and end. */
#include "request_flow.hpp"
#include "refusals.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::core
{

namespace
{

using nlohmann::json;
using request::endpoint;
using request::refusal;
using request::refusal_code;
using request::run_outcome;

/** A request waits this long for an upstream that fails or loads weights at
 *  the moment; most such states pass within it. */
constexpr std::chrono::seconds unserved_patience{2};

/** Requests wait in the queue when all upstreams are busy; some become free
 *  without an event of this instance. */
constexpr std::chrono::milliseconds dispatch_interval{50};

request::claim_options make_claim_options(control_options const& options)
{
    request::claim_options result;
    result.m_instance = options.m_instance;
    result.m_incarnation = options.m_incarnation;
    return result;
}

/** A claimant that was superseded or does not answer gets no more time: the
 *  answer "unknown" is true in any case. */
bool may_be_running(membership::member_table const& members,
                    instance_id const& id, incarnation value)
{
    membership::member const* const claimant = members.find(id);
    return claimant == nullptr ||
           (claimant->m_status != membership::member_status::silent &&
            !members.is_superseded(id, value));
}

} // namespace

request_flow::request_flow(control_options const& options,
                           control_hooks const& hooks, outbox& actions,
                           upstream_watch& upstreams, limit_gate& limits,
                           explanation_log& explanations,
                           membership::member_table const& members)
    : m_options(options), m_hooks(hooks), m_actions(actions),
      m_upstreams(upstreams), m_limits(limits), m_explanations(explanations),
      m_members(members), m_queue({}),
      m_claims(make_claim_options(options),
               {hooks.m_random,
                [&members](instance_id const& id, incarnation value)
                {
                    return may_be_running(members, id, value);
                }}),
      m_retries({}), m_quarantine({})
{
}

request_flow::state* request_flow::find(request_id const& id)
{
    auto const found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

void request_flow::apply(
    std::shared_ptr<config::configuration const> const& next, time_point now)
{
    access::access_table access(*next);
    std::vector<access::key_digest> const revoked =
        m_access.find_revoked_keys(access);
    m_access = std::move(access);
    m_configuration = next;
    admission::queue_options options;
    options.m_max_queued = static_cast<std::size_t>(next->m_rules.m_max_queued);
    m_queue.set_options(options);
    m_retries.set_rules(
        {next->m_rules.m_max_attempts, next->m_rules.m_retry_budget_percent});
    m_quarantine.set_period(next->m_rules.m_quarantine);
    for (config::organisation const& item : next->m_organisations)
    {
        m_queue.set_weight(item.m_id, std::max(1, item.m_weight));
    }
    std::vector<request_id> ended;
    for (auto const& [id, item] : m_requests)
    {
        if (item.m_info.m_key && std::find(revoked.begin(), revoked.end(),
                                           *item.m_info.m_key) != revoked.end())
        {
            ended.push_back(id);
        }
    }
    for (request_id const& id : ended)
    {
        if (state* const item = find(id))
        {
            revoke(*item, now);
        }
    }
}

void request_flow::revoke(state& item, time_point now)
{
    bool const is_open_route = item.m_route != nullptr && item.m_route->m_open;
    bool const was_sent =
        item.m_phase == phase::running || item.m_phase == phase::claiming;
    // A call that may not be repeated and was sent runs to its end, so that
    // its outcome is known.
    if (is_open_route || (was_sent && !is_repeatable(item)))
    {
        return;
    }
    request_id const id = item.m_info.m_id;
    run_outcome const outcome =
        item.m_may_have_run || item.m_phase == phase::running
            ? run_outcome::unknown
            : run_outcome::not_run;
    if (item.m_phase == phase::running)
    {
        m_actions.push(cancel_attempt{id, item.m_attempt});
        m_upstreams.table().note_ended(item.m_send, true);
    }
    refuse(id,
           {refusal_code::unknown_key, outcome, std::nullopt,
            "the key was revoked"},
           now);
}

void request_flow::end_keyed_requests(time_point now)
{
    std::vector<request_id> ended;
    for (auto const& [id, item] : m_requests)
    {
        if (item.m_info.m_key)
        {
            ended.push_back(id);
        }
    }
    for (request_id const& id : ended)
    {
        if (state* const item = find(id))
        {
            revoke(*item, now);
        }
    }
}

void request_flow::on(request_arrived const& arrived, bool may_admit,
                      time_point now)
{
    request_id const id = arrived.m_request.m_id;
    state item;
    item.m_info = arrived.m_request;
    item.m_arrived = now;
    item.m_configuration = m_configuration;
    if (!may_admit || !m_configuration)
    {
        refuse(id,
               not_run(refusal_code::not_ready,
                       "this instance is not in contact with the fleet"),
               now);
        return;
    }
    std::optional<refusal> answer = check_route(item);
    answer = answer ? answer : check_access(item);
    answer = answer ? answer : check_model(item);
    answer = answer ? answer : check_quarantine(item, now);
    if (answer)
    {
        refuse(id, *answer, now);
        return;
    }
    if (item.m_info.m_endpoint == endpoint::models)
    {
        list_permitted_models(item);
        return;
    }
    item.m_route != nullptr ? prepare_service(item) : prepare_model(item);
    config::rules const& rules = m_configuration->m_rules;
    item.m_deadline = now + std::min<duration>(item.m_info.m_deadline.value_or(
                                                   rules.m_default_deadline),
                                               rules.m_max_deadline);
    item.m_priority = priority_of(item);
    m_explanations.add(id, now, "accepted",
                       {{"organisation", item.m_organisation.value()},
                        {"config_version", m_configuration->m_version.value()},
                        {"model", item.m_info.m_model},
                        {"priority", item.m_priority},
                        {"reserved_tokens", item.m_reserved.value()}});
    organisation_id const owner = item.m_organisation;
    token_count const reserved = item.m_reserved;
    m_requests.emplace(id, std::move(item));
    if (owner.empty())
    {
        on(limit_decision{id, true, {}, true}, now);
        return;
    }
    for (limit_decision const& decision :
         m_limits.reserve(id, owner, reserved, now))
    {
        on(decision, now);
    }
}

void request_flow::on(limit_decision const& decision, time_point now)
{
    state* const item = find(decision.m_request);
    if (item == nullptr || item->m_phase != phase::reserving)
    {
        return;
    }
    if (!decision.m_granted)
    {
        item->m_reserved = token_count(0);
        refuse(decision.m_request,
               decision.m_by_owner
                   ? not_run(refusal_code::over_limit,
                             "the organisation's token rate is used up",
                             decision.m_retry_after)
                   : not_run(refusal_code::overloaded,
                             "the owner of the organisation's limit cannot be "
                             "reached and the share for this case is used up",
                             decision.m_retry_after),
               now);
        return;
    }
    enqueue(*item, now);
    dispatch(now);
}

void request_flow::enqueue(state& item, time_point now)
{
    item.m_phase = phase::queued;
    admission::queued_request entry;
    entry.m_id = item.m_info.m_id;
    entry.m_organisation = item.m_organisation;
    entry.m_key = item.m_info.m_key;
    entry.m_priority = item.m_priority;
    entry.m_cost = std::max(item.m_reserved, token_count(1));
    entry.m_latest_start = item.m_deadline;
    refuse_queued(m_queue.push(std::move(entry), now), now);
}

void request_flow::refuse_queued(
    std::vector<admission::refused_request> const& refused, time_point now)
{
    for (admission::refused_request const& item : refused)
    {
        bool const is_full =
            item.m_reason == admission::refusal_reason::queue_full;
        refuse(item.m_id,
               not_run(refusal_code::overloaded,
                       is_full ? "the queue is full"
                               : "the expected wait exceeds the deadline",
                       item.m_retry_after),
               now);
    }
}

void request_flow::dispatch(time_point now)
{
    m_next_dispatch = now + dispatch_interval;
    while (auto const next =
               m_queue.pop(now,
                           [&](admission::queued_request const& entry)
                           {
                               state* const item = find(entry.m_id);
                               return item == nullptr || can_start(*item, now);
                           }))
    {
        if (state* const item = find(next->m_id))
        {
            start(*item, now);
        }
    }
}

bool request_flow::can_start(state& item, time_point now)
{
    if (now < item.m_not_before)
    {
        return false;
    }
    routing::choice const chosen = choose(item, now);
    if (chosen.m_upstream)
    {
        return true;
    }
    // The choice holds a request back although it weighed engines if the wait
    // of the best one is long; the request keeps its place in the queue.
    bool const is_held = !chosen.m_candidates.empty();
    if (is_held ||
        left_out(chosen, routing::ineligibility::at_in_flight_max) > 0)
    {
        item.m_unserved_since.reset();
        return false;
    }
    if (!item.m_unserved_since)
    {
        item.m_unserved_since = now;
    }
    bool const may_recover =
        left_out(chosen, routing::ineligibility::failing) > 0 ||
        left_out(chosen, routing::ineligibility::loading) > 0;
    // start() refuses a request that no upstream can take.
    return !may_recover || now - *item.m_unserved_since >= unserved_patience;
}

void request_flow::refuse(request_id const& id, refusal const& answer,
                          time_point now)
{
    m_hooks.m_count("daisylead_refusals_total",
                    request::to_string(answer.m_code));
    m_explanations.add(id, now, "refused",
                       {{"code", request::to_string(answer.m_code)},
                        {"outcome", request::to_string(answer.m_outcome)},
                        {"message", answer.m_message}});
    m_actions.push(refuse_request{id, answer});
    finish(id, now);
}

void request_flow::finish(request_id const& id, time_point now)
{
    auto const found = m_requests.find(id);
    if (found == m_requests.end())
    {
        return;
    }
    state const& item = found->second;
    if (item.m_phase == phase::queued)
    {
        m_queue.remove(id);
    }
    if (item.m_phase == phase::running)
    {
        // An attempt whose caller left or whose key was revoked reports no end
        // that finds this request. For others this has no effect.
        spread(m_quarantine.attempt_ended(
            item.m_attempt, request::attempt_outcome::cancelled, now));
    }
    if (!item.m_organisation.empty())
    {
        token_count const used = !item.m_may_have_run ? token_count(0)
                                 : item.m_route != nullptr
                                     ? item.m_reserved
                                     : item.m_prompt_tokens + item.m_generated;
        m_limits.settle(id, used, now);
    }
    m_requests.erase(found);
}

void request_flow::on(caller_gone const& item, time_point now)
{
    state* const request = find(item.m_request);
    if (request == nullptr)
    {
        return;
    }
    m_explanations.add(item.m_request, now, "caller_gone", json::object());
    if (request->m_phase == phase::claiming || request->m_claimed)
    {
        run_claim_actions(m_claims.caller_gone(item.m_request, now), now);
    }
    bool const may_cancel = is_repeatable(*request);
    if (request->m_phase == phase::running && may_cancel)
    {
        m_actions.push(cancel_attempt{item.m_request, request->m_attempt});
    }
    if (request->m_phase == phase::running)
    {
        m_upstreams.table().note_ended(request->m_send, true);
        request->m_may_have_run = true;
    }
    finish(item.m_request, now);
    dispatch(now);
}

void request_flow::set_table_reachable(bool reachable)
{
    m_table_reachable = reachable;
}

void request_flow::on_timer(time_point now)
{
    run_claim_actions(m_claims.on_timer(now), now);
    refuse_queued(m_queue.expire(now), now);
    if (now >= m_next_dispatch)
    {
        dispatch(now);
    }
}

std::optional<time_point> request_flow::next_timer() const
{
    std::optional<time_point> next = m_claims.next_timer();
    if (m_queue.size() > 0)
    {
        next = next ? std::min(*next, m_next_dispatch) : m_next_dispatch;
    }
    if (auto const queue = m_queue.next_timer())
    {
        next = next ? std::min(*next, *queue) : *queue;
    }
    return next;
}

json request_flow::dump() const
{
    return {{"open", m_requests.size()},
            {"queued", m_queue.size()},
            {"queue", m_queue.dump()},
            {"claims", m_claims.keys_in_progress()},
            {"claim_releases_pending", m_claims.releases_pending()}};
}

} // namespace daisylead::core
