/** @file Tests of the quarantine of prompt parts that crash upstreams. */
#include <daisylead/request/part_quarantine_base.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace daisylead;
using namespace daisylead::request;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

part_digest part(std::string const& id)
{
    return digest_of_part(id);
}

using part_list = std::vector<part_digest>;

upstream_incarnation crash_number(std::int64_t number)
{
    return {upstream_id("u" + std::to_string(number)), incarnation(1)};
}

crash_report report_of(std::int64_t number, part_list parts)
{
    return {crash_number(number), std::move(parts)};
}

/** Crashes at intervals of half a second.
 *  @return time of the last one */
time_point crash_times(part_quarantine& tracker, part_list const& parts,
                       std::int64_t first, int count, time_point from = start)
{
    time_point now = from;
    for (int i = 0; i < count; ++i)
    {
        now += 500ms;
        tracker.on_peer_crash(report_of(first + i, parts), now);
    }
    return now;
}

bool is_blocked(part_quarantine& tracker, part_list const& parts,
                time_point now)
{
    return tracker.find_blocked(parts, now).has_value();
}

void complete(part_quarantine& tracker, part_list parts, time_point now)
{
    attempt_id const attempt("complete");
    tracker.attempt_begun(attempt, std::move(parts), crash_number(1000));
    tracker.attempt_ended(attempt, attempt_outcome::complete, now);
}

} // namespace

TEST_CASE("a part is blocked after crashes under requests that differ in all "
          "other parts")
{
    part_quarantine tracker({});
    time_point now = start;
    for (int i = 0; i < 3; ++i)
    {
        std::string const other = std::to_string(i);
        attempt_id const attempt("a" + other);
        now += 500ms;
        tracker.attempt_begun(attempt, {part("first" + other), part("deadly")},
                              crash_number(i));
        tracker.attempt_ended(attempt, attempt_outcome::broken, now);
        CHECK_FALSE(is_blocked(tracker, {part("deadly")}, now));
        tracker.upstream_crashed(crash_number(i), now);
    }
    CHECK(is_blocked(tracker, {part("new"), part("deadly")}, now));
    CHECK_FALSE(is_blocked(tracker, {part("first0"), part("new")}, now));
}

TEST_CASE("a crash counts once however many instances report it")
{
    part_quarantine tracker({});
    for (int i = 0; i < 10; ++i)
    {
        tracker.on_peer_crash(report_of(i % 2, {part("p")}), start + i * 500ms);
    }
    CHECK_FALSE(is_blocked(tracker, {part("p")}, start + 6s));
}

TEST_CASE("upstreams that fail together do not block a common part")
{
    // Guards against blocking a third of the traffic when a rack fails.
    part_quarantine tracker({});
    for (int i = 0; i < 8; ++i)
    {
        tracker.on_peer_crash(report_of(i, {part("common")}), start + i * 30ms);
    }
    CHECK_FALSE(is_blocked(tracker, {part("common")}, start + 1s));
}

TEST_CASE("a complete answer refutes the earlier crashes of its parts only")
{
    part_quarantine tracker({});
    time_point const now =
        crash_times(tracker, {part("common"), part("deadly")}, 0, 2);
    complete(tracker, {part("common"), part("sound")}, now);
    time_point const later =
        crash_times(tracker, {part("common"), part("deadly")}, 2, 1, now);
    CHECK(is_blocked(tracker, {part("common"), part("deadly")}, later));
    CHECK_FALSE(is_blocked(tracker, {part("common"), part("sound")}, later));
}

TEST_CASE("a late report of a refuted crash does not count")
{
    part_quarantine tracker({});
    time_point const now = crash_times(tracker, {part("p")}, 0, 2);
    complete(tracker, {part("p")}, now);
    for (int i = 0; i < 2; ++i)
    {
        tracker.on_peer_crash(report_of(i, {part("p")}), now + 1s);
    }
    time_point const later = crash_times(tracker, {part("p")}, 10, 2, now + 2s);
    CHECK_FALSE(is_blocked(tracker, {part("p")}, later));
}

TEST_CASE("a sound part that mostly comes with the cause is not blocked alone")
{
    part_quarantine tracker({});
    part_list const both = {part("deadly"), part("companion")};
    time_point const now = crash_times(tracker, both, 0, 5);
    CHECK(is_blocked(tracker, both, now));
    CHECK_FALSE(is_blocked(tracker, {part("companion")}, now));
    complete(tracker, {part("companion")}, now);
    CHECK(is_blocked(tracker, both, now));
    CHECK(is_blocked(tracker, {part("deadly")}, now));
    CHECK_FALSE(is_blocked(tracker, {part("companion")}, now));
}

TEST_CASE("two parts with the same crashes are told apart by one more crash")
{
    part_quarantine tracker({});
    time_point const now =
        crash_times(tracker, {part("deadly"), part("companion")}, 0, 5);
    CHECK_FALSE(is_blocked(tracker, {part("deadly")}, now));
    time_point const later = crash_times(tracker, {part("deadly")}, 5, 1, now);
    CHECK(is_blocked(tracker, {part("deadly")}, later));
    CHECK_FALSE(is_blocked(tracker, {part("companion")}, later));
}

TEST_CASE("a rare sound part in flight at some of the crashes is not blocked")
{
    // Guards against blocking what was in flight at other crashes too.
    part_quarantine tracker({});
    time_point now = crash_times(tracker, {part("deadly"), part("rare")}, 0, 2);
    now = crash_times(tracker, {part("rare")}, 20, 1, now);
    now = crash_times(tracker, {part("deadly")}, 2, 2, now);
    CHECK(is_blocked(tracker, {part("deadly")}, now));
    CHECK_FALSE(is_blocked(tracker, {part("rare")}, now));
}

TEST_CASE("two causes at the same time are both blocked")
{
    part_quarantine tracker({});
    time_point now = start;
    for (int i = 0; i < 3; ++i)
    {
        now = crash_times(tracker, {part("x")}, i, 1, now);
        now = crash_times(tracker, {part("y")}, 10 + i, 1, now);
    }
    CHECK(is_blocked(tracker, {part("x"), part("a")}, now));
    CHECK(is_blocked(tracker, {part("y"), part("a")}, now));
}

TEST_CASE("an answer that began long before a crash is not suspected")
{
    part_quarantine tracker({});
    attempt_id const old("old");
    attempt_id const young("young");
    tracker.attempt_begun(old, {part("old")}, crash_number(1));
    tracker.answer_begun(old, start);
    tracker.attempt_begun(young, {part("young")}, crash_number(1));
    time_point const crashed = start + 3s;
    tracker.answer_begun(young, crashed - 50ms);
    tracker.attempt_ended(old, attempt_outcome::broken, crashed);
    tracker.attempt_ended(young, attempt_outcome::broken, crashed);
    CHECK(tracker.upstream_crashed(crash_number(1), crashed).m_parts ==
          part_list{part("young")});
}

TEST_CASE("a block lasts as long as it is needed without another crash")
{
    part_quarantine tracker({});
    time_point now = crash_times(tracker, {part("p")}, 0, 3);
    for (int i = 0; i < 20; ++i)
    {
        now += 5min;
        CHECK(is_blocked(tracker, {part("p")}, now));
        CHECK(tracker.take_expired(now).empty());
    }
    CHECK(tracker.take_expired(now + 10min) == part_list{part("p")});
    CHECK_FALSE(is_blocked(tracker, {part("p")}, now + 10min));
}

TEST_CASE("a process that has just started takes over the blocked parts")
{
    part_quarantine old_process({});
    time_point const now = crash_times(old_process, {part("p")}, 0, 3);
    part_quarantine new_process({});
    CHECK(
        new_process.on_blocked_parts(old_process.blocked_parts(), now).empty());
    CHECK(is_blocked(new_process, {part("p")}, now));
    CHECK(new_process.blocked_digest() == old_process.blocked_digest());
}

TEST_CASE("a peer with a refuted block is told so")
{
    part_quarantine blocked({});
    part_quarantine refuted({});
    time_point const now = crash_times(blocked, {part("p")}, 0, 3);
    crash_times(refuted, {part("p")}, 0, 3);
    complete(refuted, {part("p")}, now);
    part_list const news =
        refuted.on_blocked_parts(blocked.blocked_parts(), now);
    CHECK(news == part_list{part("p")});
    CHECK_FALSE(is_blocked(refuted, {part("p")}, now));
    blocked.on_peer_answers(news);
    CHECK_FALSE(is_blocked(blocked, {part("p")}, now));
}

TEST_CASE("invented parts do not displace the cause of several crashes")
{
    part_quarantine_options options;
    options.m_max_suspects = 64;
    part_quarantine tracker(options);
    time_point now = start;
    for (int i = 0; i < 3; ++i)
    {
        part_list parts = {part("deadly")};
        for (int j = 0; j < 40; ++j)
        {
            parts.push_back(part(std::to_string(i) + "/" + std::to_string(j)));
        }
        now = crash_times(tracker, parts, i, 1, now);
        CHECK(tracker.suspects() <= 64);
    }
    CHECK(is_blocked(tracker, {part("deadly")}, now));
}

TEST_CASE("instances that hear of the same events in any order agree")
{
    CHECK(rc::check(
        [](unsigned seed)
        {
            std::mt19937 random(seed);
            std::vector<crash_report> reports;
            for (int i = 0; i < 8; ++i)
            {
                part_list parts = {part("deadly")};
                for (int j = 0; j < 3; ++j)
                {
                    parts.push_back(part(std::to_string(random() % 5)));
                }
                reports.push_back(report_of(i, parts));
            }
            part_list answered;
            for (int j = 0; j < 5; ++j)
            {
                answered.push_back(part(std::to_string(j)));
            }
            std::vector<part_quarantine> instances;
            for (int i = 0; i < 3; ++i)
            {
                part_quarantine& tracker =
                    instances.emplace_back(part_quarantine_options());
                std::vector<crash_report> heard = reports;
                heard.insert(heard.end(), reports.begin(), reports.end());
                std::shuffle(heard.begin(), heard.end(), random);
                time_point now = start;
                for (crash_report const& report : heard)
                {
                    now += 400ms;
                    tracker.on_peer_crash(report, now);
                }
                tracker.on_peer_answers(answered);
            }
            for (part_quarantine& tracker : instances)
            {
                RC_ASSERT(is_blocked(tracker, {part("deadly")}, start + 10s));
                RC_ASSERT(tracker.blocked_digest() ==
                          instances.front().blocked_digest());
                RC_ASSERT(tracker.blocked_parts().size() == 1U);
            }
        }));
}

TEST_CASE("a connection that breaks without a crash is not counted")
{
    // Guards against evidence from spoiled answers and from slow upstreams.
    part_quarantine tracker({});
    attempt_id const broken("broken");
    attempt_id const running("running");
    tracker.attempt_begun(broken, {part("a")}, crash_number(1));
    tracker.attempt_begun(running, {part("b")}, crash_number(1));
    tracker.attempt_ended(broken, attempt_outcome::broken, start);
    tracker.upstream_reached(crash_number(1));
    CHECK(
        tracker.upstream_crashed(crash_number(1), start + 1s).m_parts.empty());
}
