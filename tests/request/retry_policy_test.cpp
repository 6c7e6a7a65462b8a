/** @file Tests of retry decisions and budgets. */
#include <daisylead/request/retry_policy_base.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::request;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

retry_context broken_attempt()
{
    retry_context context;
    context.m_organisation = organisation_id("o");
    context.m_repeatable = true;
    context.m_attempts = 1;
    context.m_deadline = start + std::chrono::seconds(10);
    context.m_result.m_outcome = attempt_outcome::broken;
    context.m_result.m_may_have_sent = true;
    context.m_tried = {upstream_id("u")};
    context.m_usable = {upstream_id("u"), upstream_id("v")};
    return context;
}

} // namespace

TEST_CASE("a non-repeatable call that may have run is not retried")
{
    retry_policy policy({});
    retry_context context = broken_attempt();
    context.m_repeatable = false;
    CHECK(policy.decide(context, start).m_verdict ==
          retry_verdict::may_have_run);
    context.m_result.m_outcome = attempt_outcome::rejected;
    CHECK(policy.decide(context, start).m_verdict ==
          retry_verdict::may_have_run);
    context.m_result.m_outcome = attempt_outcome::connect_failed;
    CHECK(policy.decide(context, start).m_verdict ==
          retry_verdict::may_have_run);
    context.m_result.m_may_have_sent = false;
    CHECK(policy.decide(context, start).m_verdict == retry_verdict::retry);
}

TEST_CASE("a retry uses another upstream, within attempt limit and deadline")
{
    retry_policy policy({});
    retry_context context = broken_attempt();
    CHECK(policy.decide(context, start).m_candidates ==
          std::vector{upstream_id("v")});
    CHECK(policy.decide(context, context.m_deadline).m_verdict ==
          retry_verdict::no_time);
    context.m_attempts = 3;
    CHECK(policy.decide(context, start).m_verdict ==
          retry_verdict::no_attempts);
    context = broken_attempt();
    context.m_usable.pop_back();
    CHECK(policy.decide(context, start).m_verdict ==
          retry_verdict::no_other_upstream);
}

TEST_CASE("the only upstream is retried only after it rejected for load")
{
    retry_policy policy({});
    retry_context context = broken_attempt();
    context.m_usable = {upstream_id("u")};
    context.m_result.m_outcome = attempt_outcome::rejected;
    retry_decision const decision = policy.decide(context, start);
    CHECK(decision.m_verdict == retry_verdict::retry);
    CHECK(decision.m_candidates == context.m_usable);
    CHECK(decision.m_delay > duration::zero());
    context.m_result.m_outcome = attempt_outcome::weights_mismatch;
    CHECK(policy.decide(context, start).m_verdict ==
          retry_verdict::no_other_upstream);
}

TEST_CASE("failures of an organisation charge only its own retry budget")
{
    retry_policy policy({});
    retry_context context = broken_attempt();
    int retries = 0;
    while (policy.decide(context, start).m_verdict == retry_verdict::retry)
    {
        REQUIRE(++retries < 1000);
    }
    CHECK(policy.decide(context, start).m_verdict == retry_verdict::no_budget);
    context.m_result.m_outcome = attempt_outcome::rejected;
    CHECK(policy.decide(context, start).m_verdict == retry_verdict::retry);
    context = broken_attempt();
    context.m_organisation = organisation_id("p");
    CHECK(policy.decide(context, start).m_verdict == retry_verdict::retry);
}

TEST_CASE("ten successes credit one retry, up to the budget limit")
{
    retry_policy policy({3, 10});
    organisation_id const organisation("o");
    std::int64_t const before = policy.budget(organisation);
    for (int i = 0; i < 10; ++i)
    {
        policy.on_success(organisation);
    }
    CHECK(policy.budget(organisation) == before + 1);
    for (int i = 0; i < 100000; ++i)
    {
        policy.on_success(organisation);
    }
    CHECK(policy.budget(organisation) == 100);
}
