/** @file Tests of fleet-wide rate limits and of the fleet-wide retry budget. */
#include <daisylead/serving/quota_limiter_base.hpp>
#include <daisylead/serving/retry_throttle_base.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <random>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);
organisation_id const owner("museum");
service_id const service("counter");

} // namespace

TEST_CASE("a request over the limit is refused with the exact time to wait")
{
    quota_limiter ledger(1s, 2s);
    ledger.set_limit(owner, {100, 200}, start);
    CHECK_FALSE(ledger.charge(owner, 200, start));
    auto const wait = ledger.charge(owner, 50, start);
    REQUIRE(wait);
    CHECK(*wait == 500ms);
    CHECK_FALSE(ledger.charge(owner, 50, start + *wait));
}

TEST_CASE("a refund refills the bucket")
{
    quota_limiter ledger(1s, 2s);
    ledger.set_limit(owner, {100, 200}, start);
    CHECK_FALSE(ledger.charge(owner, 200, start));
    ledger.refund(owner, 200);
    CHECK_FALSE(ledger.charge(owner, 200, start));
}

TEST_CASE("the use of peers is charged, including after their restart")
{
    quota_limiter ledger(1s, 2s);
    ledger.set_limit(owner, {100, 200}, start);
    instance_id const peer("p");
    ledger.note_peer(peer, {7, 60s}, {{owner, 5000}}, start);
    // The use before the first report of a peer may be long past.
    CHECK_FALSE(ledger.charge(owner, 100, start));
    ledger.note_peer(peer, {7, 60s}, {{owner, 5060}}, start);
    CHECK(ledger.charge(owner, 60, start));
    // After a restart, its counters start from 0, and its wall clock may have
    // been set back.
    ledger.note_peer(peer, {3, 60s}, {{owner, 30}}, start);
    CHECK(ledger.charge(owner, 20, start));
}

TEST_CASE("a silent peer is charged with its equal share of the rate")
{
    quota_limiter ledger(1s, 2s);
    ledger.set_limit(owner, {100, 100}, start);
    ledger.note_peer(instance_id("p"), {7, 60s}, {}, start);
    CHECK_FALSE(ledger.charge(owner, 100, start));
    // Until the peer counts as silent, the bucket refills at the full rate;
    // then at half of it, as the peer may use the other half.
    CHECK_FALSE(ledger.charge(owner, 100, start + 1s));
    CHECK(ledger.charge(owner, 100, start + 2s).has_value());
    CHECK_FALSE(ledger.charge(owner, 50, start + 2s));
}

TEST_CASE("instances with skewed traffic stay within the fleet-wide limit")
{
    // Load: four times the rate over eight instances, most of it at two, with
    // reports every 400 ms. The sum in each window of 8 s is bounded by
    // 1.1 x (rate x 8 + burst) + 110,000, the slack that the platform allows.
    constexpr double rate = 250'000;
    constexpr int instances = 8;
    std::vector<std::unique_ptr<quota_limiter>> ledgers;
    for (int i = 0; i < instances; ++i)
    {
        ledgers.push_back(std::make_unique<quota_limiter>(1300ms, 500ms));
        ledgers.back()->set_limit(owner, {rate, rate}, start);
    }
    std::mt19937 generator(3);
    std::discrete_distribution<int> where({10, 10, 1, 1, 1, 1, 1, 1});
    std::deque<std::pair<time_point, double>> used;
    double in_window = 0;
    double max_in_window = 0;
    for (auto at = start; at < start + 30s; at += 10ms)
    {
        for (int i = 0; i < 10; ++i)
        {
            if (!ledgers[static_cast<std::size_t>(where(generator))]->charge(
                    owner, 1000, at))
            {
                used.emplace_back(at, 1000);
                in_window += 1000;
            }
        }
        while (used.front().first + 8s <= at)
        {
            in_window -= used.front().second;
            used.pop_front();
        }
        max_in_window = std::max(max_in_window, in_window);
        if ((at - start) % 400ms == 0ms)
        {
            for (int from = 0; from < instances; ++from)
            {
                auto const use =
                    ledgers[static_cast<std::size_t>(from)]->own_use();
                for (int to = 0; to < instances; ++to)
                {
                    if (from != to)
                    {
                        ledgers[static_cast<std::size_t>(to)]->note_peer(
                            instance_id(std::to_string(from)), {1, at - start},
                            use, at);
                    }
                }
            }
        }
    }
    CHECK(max_in_window <= 1.1 * (rate * 8 + rate) + 110'000);
    CHECK(max_in_window >= 0.9 * rate * 8);
}

TEST_CASE("use before the first report is charged for peers that started later")
{
    quota_limiter ledger(1s, 2s);
    ledger.set_limit(owner, {100, 200}, start);
    auto const later = start + 10s;
    ledger.note_peer(instance_id("old"), {7, 11s}, {{owner, 150}}, later);
    ledger.note_peer(instance_id("young"), {7, 1s}, {{owner, 150}}, later);
    CHECK(ledger.charge(owner, 51, later));
    CHECK_FALSE(ledger.charge(owner, 50, later));
    // A peer that was removed reports the same use again when it returns.
    ledger.set_limit(organisation_id("other"), {100, 200}, start);
    auto const back = later + 30s;
    ledger.drop_peer(instance_id("young"));
    ledger.note_peer(instance_id("young"), {7, 31s}, {{owner, 150}}, back);
    CHECK_FALSE(ledger.charge(owner, 200, back));
}

TEST_CASE(
    "expected instances without a report are charged with their equal share")
{
    quota_limiter ledger(1s, 0s);
    ledger.expect_instances(4, start + 2s);
    ledger.set_limit(owner, {100, 400}, start);
    ledger.note_peer(instance_id("p"), {7, 60s}, {}, start);
    // Two of four have not reported: half of the rate is left.
    CHECK_FALSE(ledger.charge(owner, 50, start + 1s));
    CHECK(ledger.charge(owner, 1, start + 1s));
}

TEST_CASE("a limit holds while all instances are killed and restarted")
{
    // Guards against full buckets in each new process, and against use that is
    // lost because it precedes the first report. Load: 2.8 times the rate; all
    // processes end at 6 s, the new ones start within 0.5 s from 7 s on and
    // know one another after 2 s.
    constexpr double rate = 145'000;
    constexpr double burst = rate;
    constexpr std::size_t instances = 19;
    std::vector<std::unique_ptr<quota_limiter>> ledgers(instances);
    std::vector<time_point> up_since(instances);
    auto const boot = [&](std::size_t i, time_point at)
    {
        ledgers[i] = std::make_unique<quota_limiter>(1300ms, 500ms);
        ledgers[i]->expect_instances(instances, at + 5s);
        ledgers[i]->set_limit(owner, {rate, burst}, at);
        up_since[i] = at;
    };
    for (std::size_t i = 0; i < instances; ++i)
    {
        boot(i, start - 3s);
    }
    std::mt19937 generator(5);
    std::uniform_int_distribution<std::size_t> where(0, instances - 1);
    std::deque<std::pair<time_point, double>> used;
    double in_window = 0;
    double max_in_window = 0;
    for (auto at = start; at < start + 20s; at += 20ms)
    {
        for (std::size_t i = 0; i < instances; ++i)
        {
            if (at == start + 6s)
            {
                ledgers[i].reset();
            }
            if (!ledgers[i] && at >= start + 7s + i * 25ms)
            {
                boot(i, at);
            }
        }
        for (int i = 0; i < 8; ++i)
        {
            auto const& ledger = ledgers[where(generator)];
            if (ledger && !ledger->charge(owner, 920, at))
            {
                used.emplace_back(at, 920);
                in_window += 920;
            }
        }
        while (!used.empty() && used.front().first + 8s <= at)
        {
            in_window -= used.front().second;
            used.pop_front();
        }
        max_in_window = std::max(max_in_window, in_window);
        for (std::size_t from = 0; from < instances; ++from)
        {
            // Each instance reports at a different time.
            if (!ledgers[from] || (at - start + from * 20ms) % 400ms != 0ms)
            {
                continue;
            }
            for (std::size_t to = 0; to < instances; ++to)
            {
                auto const known = std::max(up_since[from], up_since[to]) + 2s;
                if (from != to && ledgers[to] && at >= known)
                {
                    ledgers[to]->note_peer(
                        instance_id(std::to_string(from)),
                        {up_since[from].time_since_epoch().count(),
                         at - up_since[from]},
                        ledgers[from]->own_use(), at);
                }
            }
        }
    }
    CHECK(max_in_window <= 1.1 * (rate * 8 + burst) + 110'000);
    CHECK(max_in_window >= 0.9 * rate * 8);
}

TEST_CASE("retries stay within the ratio plus the share of this instance")
{
    retry_throttle retries({0.2, 10, 10s});
    retries.set_instances(5);
    for (int i = 0; i < 10; ++i)
    {
        retries.note_request(service, start);
    }
    int taken = 0;
    while (taken < 100 && retries.take(service, start + 1s))
    {
        ++taken;
    }
    CHECK(taken == 4);
    CHECK_FALSE(retries.take(service, start + 9s));
    // The requests have left the window, the retries have not.
    CHECK_FALSE(retries.take(service, start + 10500ms));
    CHECK(retries.take(service, start + 11s));
}
