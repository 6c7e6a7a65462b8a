/** @file Retry decisions within deadline, attempt limit and budget. */
#include <daisylead/request/retry_policy_base.hpp>

#include <algorithm>
#include <chrono>

namespace daisylead::request
{

namespace
{

constexpr std::int64_t retry_cost = 100; ///< credits per retry
/** Allows an organisation with little traffic to retry. */
constexpr std::int64_t initial_credit = 10 * retry_cost;
/** Bounds the burst of retries after a long period without failures. */
constexpr std::int64_t max_credit = 100 * retry_cost;
constexpr std::size_t max_organisations = 8192;
/** A retry with less time left is unlikely to complete and only adds load. */
constexpr std::chrono::milliseconds min_remaining_time{20};
/** Delay before a retry on the only usable upstream after it rejected the
 *  request; multiplied by the number of attempts. */
constexpr std::chrono::milliseconds rejected_delay{50};

bool contains(std::vector<upstream_id> const& list, upstream_id const& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

bool is_final(attempt_outcome outcome)
{
    return outcome == attempt_outcome::complete ||
           outcome == attempt_outcome::cancelled;
}

/** Without a connection the upstream cannot have run anything. */
bool is_unsent(attempt_result const& result)
{
    return result.m_outcome == attempt_outcome::connect_failed &&
           !result.m_may_have_sent;
}

/** The budget limits repeated work. A rejected request, one for other weights
 *  and one that was not sent caused no work. */
bool is_charged(attempt_result const& result)
{
    return result.m_outcome != attempt_outcome::rejected &&
           result.m_outcome != attempt_outcome::weights_mismatch &&
           !is_unsent(result);
}

std::vector<upstream_id> find_candidates(retry_context const& context)
{
    std::vector<upstream_id> candidates;
    for (upstream_id const& id : context.m_usable)
    {
        if (!contains(context.m_tried, id))
        {
            candidates.push_back(id);
        }
    }
    return candidates;
}

bool may_repeat_only_upstream(retry_context const& context)
{
    return context.m_result.m_outcome == attempt_outcome::rejected &&
           context.m_usable.size() == 1 && !context.m_tried.empty() &&
           context.m_usable.front() == context.m_tried.back();
}

} // namespace

retry_policy::retry_policy(retry_rules rules)
    : m_rules(rules), m_credits(max_organisations)
{
}

void retry_policy::set_rules(retry_rules rules)
{
    m_rules = rules;
}

std::int64_t& retry_policy::credit(organisation_id const& organisation)
{
    return m_credits.get_or_insert(organisation, initial_credit);
}

void retry_policy::on_success(organisation_id const& organisation)
{
    std::int64_t& amount = credit(organisation);
    amount = std::min(max_credit, amount + m_rules.m_budget_percent);
}

std::int64_t retry_policy::budget(organisation_id const& organisation)
{
    return credit(organisation) / retry_cost;
}

retry_decision retry_policy::decide(retry_context const& context,
                                    time_point now)
{
    attempt_result const& result = context.m_result;
    if (is_final(result.m_outcome))
    {
        return {retry_verdict::final_result};
    }
    if (!context.m_repeatable && !is_unsent(result))
    {
        return {retry_verdict::may_have_run};
    }
    if (context.m_attempts >= m_rules.m_max_attempts)
    {
        return {retry_verdict::no_attempts};
    }
    retry_decision decision{retry_verdict::retry, find_candidates(context)};
    if (decision.m_candidates.empty() && may_repeat_only_upstream(context))
    {
        decision.m_candidates = context.m_usable;
        decision.m_delay = rejected_delay * context.m_attempts;
    }
    if (decision.m_candidates.empty())
    {
        return {retry_verdict::no_other_upstream};
    }
    if (now + decision.m_delay + min_remaining_time > context.m_deadline)
    {
        return {retry_verdict::no_time};
    }
    if (!is_charged(result))
    {
        return decision;
    }
    std::int64_t& amount = credit(context.m_organisation);
    if (amount < retry_cost)
    {
        return {retry_verdict::no_budget};
    }
    amount -= retry_cost;
    return decision;
}

std::string to_string(retry_verdict verdict)
{
    switch (verdict)
    {
    case retry_verdict::retry:
        return "retry";
    case retry_verdict::final_result:
        return "final_result";
    case retry_verdict::may_have_run:
        return "may_have_run";
    case retry_verdict::no_time:
        return "no_time";
    case retry_verdict::no_attempts:
        return "no_attempts";
    case retry_verdict::no_budget:
        return "no_budget";
    case retry_verdict::no_other_upstream:
        return "no_other_upstream";
    }
    return "unknown";
}

} // namespace daisylead::request
