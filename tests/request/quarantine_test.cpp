/** @file Tests of the quarantine of requests that crash upstreams. */
#include <daisylead/request/quarantine_base.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::request;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr std::chrono::minutes period{5};

suspect_id request_of(std::string const& organisation, std::string digest)
{
    return {organisation_id(organisation), std::move(digest)};
}

upstream_incarnation incarnation_of(std::string const& upstream,
                                    std::int64_t number)
{
    return {upstream_id(upstream), incarnation(number)};
}

/** Runs a request on an incarnation that crashes, and reports the crash. */
std::vector<quarantine_update> crash(quarantine& tracker,
                                     suspect_id const& request,
                                     upstream_incarnation const& target,
                                     time_point now)
{
    attempt_id const attempt("a" + request.m_digest);
    tracker.attempt_begun(attempt, request, target);
    tracker.attempt_ended(attempt, attempt_outcome::broken, now);
    return tracker.upstream_crashed(target, now + std::chrono::seconds(1));
}

} // namespace

TEST_CASE(
    "a request is refused for the period after crashes of two incarnations")
{
    quarantine tracker({});
    suspect_id const poison = request_of("o", "poison");
    crash(tracker, poison, incarnation_of("u", 1), start);
    CHECK(tracker.check(poison, start).m_verdict ==
          quarantine_verdict::isolated);
    crash(tracker, poison, incarnation_of("v", 1), start);
    time_point const crashed = start + std::chrono::seconds(1);
    CHECK(tracker.check(poison, crashed).m_verdict ==
          quarantine_verdict::refused);
    CHECK(tracker.check(poison, crashed).m_retry_after == period);
    CHECK(tracker.check(poison, crashed + period).m_verdict ==
          quarantine_verdict::allowed);
}

TEST_CASE("a crash that is reported twice counts once")
{
    quarantine tracker({});
    suspect_id const request = request_of("o", "d");
    crash(tracker, request, incarnation_of("u", 1), start);
    crash(tracker, request, incarnation_of("u", 1), start);
    tracker.on_peer_update({request, incarnation_of("u", 1), false}, start);
    CHECK(tracker.check(request, start).m_verdict ==
          quarantine_verdict::isolated);
}

TEST_CASE("an organisation cannot block requests or evict suspects of another")
{
    quarantine_options options;
    options.m_max_digests = 4;
    quarantine tracker(options);
    suspect_id const poison = request_of("o", "poison");
    crash(tracker, poison, incarnation_of("u", 1), start);
    crash(tracker, poison, incarnation_of("u", 2), start);
    for (int i = 0; i < 100; ++i)
    {
        crash(tracker, request_of("p", std::to_string(i)),
              incarnation_of("w", i), start);
    }
    CHECK(tracker.check(poison, start).m_verdict ==
          quarantine_verdict::refused);
    CHECK(tracker.check(request_of("p", "poison"), start).m_verdict ==
          quarantine_verdict::allowed);
    CHECK(tracker.check(request_of("p", "0"), start + std::chrono::seconds(20))
              .m_verdict == quarantine_verdict::allowed);
}

TEST_CASE("a suspect is cleared when it completes")
{
    quarantine tracker({});
    suspect_id const harmless = request_of("o", "innocent");
    CHECK(crash(tracker, harmless, incarnation_of("u", 1), start).size() == 1);
    tracker.attempt_begun(attempt_id("b"), harmless, incarnation_of("v", 1));
    auto const updates = tracker.attempt_ended(
        attempt_id("b"), attempt_outcome::complete, start);
    REQUIRE(updates.size() == 1);
    CHECK(updates.front().m_cleared);
    CHECK(tracker.check(harmless, start).m_verdict ==
          quarantine_verdict::allowed);
}

TEST_CASE(
    "a request that completed elsewhere is not suspected after a late report")
{
    quarantine tracker({});
    suspect_id const harmless = request_of("o", "innocent");
    tracker.attempt_begun(attempt_id("a"), harmless, incarnation_of("u", 1));
    tracker.attempt_ended(attempt_id("a"), attempt_outcome::broken, start);
    tracker.attempt_begun(attempt_id("b"), harmless, incarnation_of("v", 1));
    tracker.attempt_ended(attempt_id("b"), attempt_outcome::complete, start);
    CHECK(tracker.upstream_crashed(incarnation_of("u", 1), start).empty());
    CHECK(tracker.attempts_tracked() == 0);
}

TEST_CASE("a retry is isolated for ten seconds before a crash is detected")
{
    quarantine tracker({});
    suspect_id const request = request_of("o", "d");
    tracker.attempt_begun(attempt_id("a"), request, incarnation_of("u", 1));
    tracker.attempt_ended(attempt_id("a"), attempt_outcome::broken, start);
    CHECK(tracker.check(request, start).m_verdict ==
          quarantine_verdict::isolated);
    tracker.attempt_begun(attempt_id("b"), request, incarnation_of("v", 1));
    CHECK(tracker.has_suspect_in_flight(upstream_id("v"), start));
    CHECK_FALSE(tracker.has_suspect_in_flight(upstream_id("u"), start));
    time_point const later = start + std::chrono::seconds(11);
    CHECK(tracker.check(request, later).m_verdict ==
          quarantine_verdict::allowed);
}

TEST_CASE("crashes reported by several instances are counted together")
{
    quarantine local({});
    quarantine remote({});
    suspect_id const poison = request_of("o", "poison");
    for (quarantine_update const& update :
         crash(remote, poison, incarnation_of("u", 1), start))
    {
        local.on_peer_update(update, start);
    }
    crash(local, poison, incarnation_of("v", 1), start);
    CHECK(local.check(poison, start).m_verdict == quarantine_verdict::refused);
    // A clearance that a peer sent before the second crash must not lift the
    // refusal.
    local.on_peer_update({poison, incarnation_of("v", 1), true}, start);
    CHECK(local.check(poison, start).m_verdict == quarantine_verdict::refused);
}
