/** @file Tests of the bound on what a process holds for its callers. */
#include <daisylead/serving/byte_budget_base.hpp>

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);

byte_budget make_budget()
{
    byte_budget_options options;
    options.m_limit = 1'000'000;
    return byte_budget(options);
}

} // namespace

TEST_CASE("large requests wait while the budget is used up")
{
    byte_budget budget = make_budget();
    byte_holder const first = budget.open(start);
    byte_holder const second = budget.open(start);
    CHECK(budget.resize(first, 800'000, start));
    CHECK_FALSE(budget.resize(second, 400'000, start));
    CHECK(budget.used() == 800'000);
    budget.close(first);
    CHECK(budget.resize(second, 400'000, start));
    CHECK(budget.used() == 400'000);
}

TEST_CASE("small requests are read while large ones use their whole part")
{
    // Guards against ordinary callers that wait behind a crowd of large bodies.
    byte_budget budget = make_budget();
    CHECK(budget.resize(budget.open(start), 875'000, start));
    CHECK_FALSE(budget.resize(budget.open(start), 70'000, start));
    CHECK(budget.resize(budget.open(start), 60'000, start));
}

TEST_CASE("the largest request without progress has to leave")
{
    byte_budget budget = make_budget();
    byte_holder const first = budget.open(start);
    byte_holder const second = budget.open(start);
    budget.resize(first, 2000, start + 100ms);
    budget.resize(second, 1000, start);
    CHECK_FALSE(budget.stalled(start + 900ms));
    // Only one of them has made no progress for long enough.
    CHECK(budget.stalled(start + 1050ms) == second);
    CHECK(budget.stalled(start + 2s) == first);
    budget.note_progress(first, start + 2s);
    CHECK(budget.stalled(start + 2s) == second);
}

TEST_CASE("a request that was read completely never has to leave")
{
    // Guards against a request that is cut off after it was passed on.
    byte_budget budget = make_budget();
    byte_holder const holder = budget.open(start);
    budget.resize(holder, 1000, start);
    budget.note_complete(holder);
    CHECK_FALSE(budget.stalled(start + 1h));
}

TEST_CASE("a request without bytes never has to leave")
{
    byte_budget budget = make_budget();
    budget.open(start);
    CHECK_FALSE(budget.stalled(start + 1h));
}

TEST_CASE("the sum of random requests never exceeds the limit")
{
    std::mt19937 random(5);
    byte_budget budget = make_budget();
    std::vector<byte_holder> holders;
    for (int i = 0; i < 5000; ++i)
    {
        if (holders.size() < 50 && random() % 2 == 0)
        {
            holders.push_back(budget.open(start));
        }
        else if (!holders.empty())
        {
            std::size_t const index = random() % holders.size();
            if (random() % 3 == 0)
            {
                budget.close(holders[index]);
                holders.erase(holders.begin() +
                              static_cast<std::ptrdiff_t>(index));
            }
            else
            {
                budget.resize(holders[index], random() % 300'000, start);
            }
        }
        REQUIRE(budget.used() <= 1'000'000);
    }
    for (byte_holder const holder : holders)
    {
        budget.close(holder);
    }
    CHECK(budget.used() == 0);
}

namespace
{

byte_budget make_budget_for_callers()
{
    byte_budget_options options;
    options.m_limit = 1'000'000;
    options.m_bodiless_share = 0.25;
    options.m_bodiless_size = 8192;
    options.m_slow_after = 2s;
    return byte_budget(options);
}

} // namespace

TEST_CASE("requests without a body are read while bodies use their whole part")
{
    // Guards against callers without a body that wait behind a crowd of small
    // bodies which come slowly.
    byte_budget budget = make_budget_for_callers();
    for (int i = 0; i < 12; ++i)
    {
        CHECK(budget.resize(budget.open(start), 62'500, start));
    }
    CHECK_FALSE(budget.resize(budget.open(start), 62'500, start));
    for (int i = 0; i < 30; ++i)
    {
        CHECK(budget.resize(budget.open(start), 8192, start));
    }
    CHECK_FALSE(budget.resize(budget.open(start), 8192, start));
}

TEST_CASE("a body that comes slowly has to leave if no other one may")
{
    // Guards against a crowd that keeps its room by sending a piece now and
    // then.
    byte_budget budget = make_budget_for_callers();
    byte_holder const bodiless = budget.open(start);
    byte_holder const complete = budget.open(start);
    byte_holder const slow = budget.open(start + 100ms);
    byte_holder const slower = budget.open(start + 50ms);
    budget.resize(bodiless, 8192, start);
    for (byte_holder const holder : {complete, slow, slower})
    {
        budget.resize(holder, 20'000, start);
    }
    budget.note_complete(complete);
    for (byte_holder const holder : {bodiless, slow, slower})
    {
        budget.note_progress(holder, start + 2s);
    }
    CHECK_FALSE(budget.stalled(start + 2s));
    CHECK(budget.stalled(start + 2050ms) == slower);
    budget.close(slower);
    CHECK_FALSE(budget.stalled(start + 2090ms));
    CHECK(budget.stalled(start + 2200ms) == slow);
}
