/** @file Which attempts are tried again, and where. */
#pragma once

#include <daisylead/request/lru_map_base.hpp>
#include <daisylead/request/request_type.hpp>

#include <vector>

namespace daisylead::request
{

/** Rules of the configuration in force. */
struct retry_rules
{
    std::int64_t m_max_attempts = 3; ///< attempts of one request
    int m_budget_percent = 10;       ///< retries per hundred successes
};

/** A request whose last attempt ended. */
struct retry_context
{
    organisation_id m_organisation;    ///< whose budget is used
    bool m_repeatable = false;         ///< may run more than once
    std::int64_t m_attempts = 0;       ///< attempts so far
    time_point m_deadline;             ///< of the request
    attempt_result m_result;           ///< end of the last attempt
    std::vector<upstream_id> m_tried;  ///< so far, the last one at the end
    std::vector<upstream_id> m_usable; ///< upstreams that may serve it now
};

enum class retry_verdict
{
    retry,            ///< try again on one of the candidates
    final_result,     ///< the result stands
    may_have_run,     ///< not repeatable, and a byte may have been sent
    no_time,          ///< too close to the deadline
    no_attempts,      ///< the limit of attempts is reached
    no_budget,        ///< the organisation has used up its budget
    no_other_upstream ///< all usable upstreams were tried
};

/** Answer to a retry_question. */
struct retry_decision
{
    retry_verdict m_verdict = retry_verdict::final_result; ///< what to do
    std::vector<upstream_id> m_candidates{}; ///< where; not empty for retry
    duration m_delay{};                      ///< wait before the next attempt
};

/** Decides on retries and keeps a budget for each organisation, so that
 *  retries cannot multiply the load of a failing fleet. */
class retry_policy
{
public:
    explicit retry_policy(retry_rules rules);

    /** Takes the rules of a new configuration; budgets are kept. */
    void set_rules(retry_rules rules);

    /** Counts a request that completed. */
    void on_success(organisation_id const& organisation);

    /** Decides, and charges the budget if the request is tried again. */
    retry_decision decide(retry_context const& context, time_point now);

    /** @return the whole retries that the budget allows now. */
    std::int64_t budget(organisation_id const& organisation);

private:
    std::int64_t& credit(organisation_id const& organisation);

    retry_rules m_rules;
    lru_map<organisation_id, std::int64_t> m_credits; ///< in 1/100 retries
};

/** @return the name used in logs and explanations. */
std::string to_string(retry_verdict verdict);

} // namespace daisylead::request
