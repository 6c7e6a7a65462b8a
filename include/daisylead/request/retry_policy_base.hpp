/** @file Decides which attempts are retried, and where. */
#pragma once

#include <daisylead/request/lru_map_base.hpp>
#include <daisylead/request/request_type.hpp>

#include <vector>

namespace daisylead::request
{

/** Retry rules of the active configuration. */
struct retry_rules
{
    std::int64_t m_max_attempts = 3; ///< limit of attempts per request
    int m_budget_percent = 10;       ///< retries per hundred successes
};

/** A request whose last attempt ended, as input of a retry decision. */
struct retry_context
{
    organisation_id m_organisation;   ///< organisation whose budget is charged
    bool m_repeatable = false;        ///< may run more than once
    std::int64_t m_attempts = 0;      ///< attempts so far
    time_point m_deadline;            ///< of the request
    attempt_result m_result;          ///< result of the last attempt
    std::vector<upstream_id> m_tried; ///< upstreams tried so far, in order
    /** Upstreams that can serve the request now. */
    std::vector<upstream_id> m_usable;
};

enum class retry_verdict
{
    retry,            ///< retry on one of the candidates
    final_result,     ///< the result is final
    may_have_run,     ///< not repeatable, and a byte may have been sent
    no_time,          ///< too close to the deadline
    no_attempts,      ///< the limit of attempts is reached
    no_budget,        ///< the retry budget of the organisation is spent
    no_other_upstream ///< all usable upstreams have been tried
};

/** Result of retry_policy::decide. */
struct retry_decision
{
    /** Decision and its reason. */
    retry_verdict m_verdict = retry_verdict::final_result;
    /** Upstreams to choose from; not empty for retry. */
    std::vector<upstream_id> m_candidates{};
    duration m_delay{}; ///< delay before the next attempt
};

/** Decides on retries and keeps a retry budget per organisation, so that
 *  retries cannot multiply the load of a failing fleet. */
class retry_policy
{
public:
    explicit retry_policy(retry_rules rules);

    /** Sets the rules of a new configuration; budgets are kept. */
    void set_rules(retry_rules rules);

    /** Credits the budget for a completed request. */
    void on_success(organisation_id const& organisation);

    /** Decides whether to retry, and charges the budget if so. */
    retry_decision decide(retry_context const& context, time_point now);

    /** @return number of retries that the budget allows now, rounded down. */
    std::int64_t budget(organisation_id const& organisation);

private:
    std::int64_t& credit(organisation_id const& organisation);

    retry_rules m_rules;
    lru_map<organisation_id, std::int64_t> m_credits; ///< in 1/100 retries
};

/** @return the name used in logs and explanations. */
std::string to_string(retry_verdict verdict);

} // namespace daisylead::request
