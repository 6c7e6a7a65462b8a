/** @file Tests of requests on silent upstreams. */
#include <daisylead/serving/silence_detector_func.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

silent_attempt attempt_silent_for(duration silent)
{
    silent_attempt attempt;
    attempt.m_silent = silent;
    attempt.m_target = 600ms;
    attempt.m_repeatable = true;
    attempt.m_upstream_silent = silent;
    attempt.m_since_probe = 1h;
    return attempt;
}

silence_action decide(silent_attempt const& attempt)
{
    return decide_silent_attempt({}, attempt);
}

} // namespace

TEST_CASE("an engine that fell silent is tested, then left")
{
    // Guards against streams that wait on an engine without power until the
    // caller's deadline.
    auto attempt = attempt_silent_for(499ms);
    CHECK(decide(attempt) == silence_action::wait);
    attempt = attempt_silent_for(500ms);
    CHECK(decide(attempt) == silence_action::probe);
    attempt.m_since_probe = 2900ms;
    CHECK(decide(attempt) == silence_action::wait);
    attempt = attempt_silent_for(900ms);
    attempt.m_upstream_lost = true;
    CHECK(decide(attempt) == silence_action::end);
}

TEST_CASE("an engine that sends to others is not tested")
{
    auto attempt = attempt_silent_for(1s);
    attempt.m_upstream_silent = 20ms;
    CHECK(decide(attempt) == silence_action::wait);
}

TEST_CASE("a lost answer of an idle engine is not waited for")
{
    // Guards against answers that an engine never sends though it serves
    // others: the request waited until the caller's deadline.
    auto attempt = attempt_silent_for(1799ms);
    attempt.m_upstream_silent = 20ms;
    CHECK(decide(attempt) == silence_action::wait);
    attempt.m_silent = 1800ms;
    CHECK(decide(attempt) == silence_action::end);
    attempt.m_utilisation = 0.8;
    CHECK(decide(attempt) == silence_action::wait);
}

TEST_CASE("a request that may not run twice waits for its answer")
{
    auto attempt = attempt_silent_for(4s);
    attempt.m_repeatable = false;
    attempt.m_upstream_lost = true;
    CHECK(decide(attempt) == silence_action::wait);
}
