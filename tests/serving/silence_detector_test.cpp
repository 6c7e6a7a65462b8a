/** @file Tests of the detection of upstreams that stop answering. */
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

TEST_CASE("a request on a silent engine is retried after a probe failed")
{
    // Guards against streams that wait until the caller's deadline for an
    // engine that lost power.
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

TEST_CASE("an engine that answers other requests is not probed")
{
    auto attempt = attempt_silent_for(1s);
    attempt.m_upstream_silent = 20ms;
    CHECK(decide(attempt) == silence_action::wait);
}

TEST_CASE("a request whose answer is overdue on an idle engine is retried")
{
    // Guards against a request that waits until the caller's deadline for an
    // answer that the engine never sends although it serves others.
    auto attempt = attempt_silent_for(1799ms);
    attempt.m_upstream_silent = 20ms;
    CHECK(decide(attempt) == silence_action::wait);
    attempt.m_silent = 1800ms;
    CHECK(decide(attempt) == silence_action::end);
    attempt.m_utilisation = 0.8;
    CHECK(decide(attempt) == silence_action::wait);
}

TEST_CASE("a request that is not repeatable keeps waiting")
{
    auto attempt = attempt_silent_for(4s);
    attempt.m_repeatable = false;
    attempt.m_upstream_lost = true;
    CHECK(decide(attempt) == silence_action::wait);
}
