/** @file Property tests of claims over random interleavings of several
 *  instances. */
#include "claim_fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace daisylead::request;
using testing::fleet;
using testing::fleet_faults;

namespace
{

constexpr int steps_per_run = 300;
/** Some faults occur only in rare interleavings, after more than a thousand
 *  runs. */
constexpr int runs_per_case = 20;

/** Numbers start at zero, so that a failing run shrinks to few and simple
 *  steps. */
rc::Gen<std::vector<std::uint32_t>> any_steps()
{
    return rc::gen::resize(steps_per_run,
                           rc::gen::container<std::vector<std::uint32_t>>(
                               rc::gen::inRange<std::uint32_t>(0, 1U << 16U)));
}

void check_fleet(std::size_t instances, fleet_faults faults)
{
    int calls_run = 0;
    CHECK(rc::check(
        [&]
        {
            for (int i = 0; i < runs_per_case; ++i)
            {
                fleet run(instances, faults);
                auto const steps = *any_steps();
                for (std::uint32_t const choice : steps)
                {
                    run.step(choice);
                    RC_ASSERT(run.failure() == "");
                }
                run.finish_all();
                RC_ASSERT(run.failure() == "");
                calls_run += run.runs();
            }
        }));
    CHECK(calls_run > 1000);
}

} // namespace

TEST_CASE("lost replies never make a call run twice")
{
    check_fleet(2, {});
}

TEST_CASE("instance crashes never make a call run twice")
{
    check_fleet(3, {false, true});
}

TEST_CASE("crashes during a table outage never make a call run twice")
{
    check_fleet(3, {true, true});
}

TEST_CASE("every request gets one correct answer despite a table outage")
{
    check_fleet(2, {true, false});
}

TEST_CASE("a request that joins a key in progress ignores an older read")
{
    // Guards against a waiter that joins while a read is in flight and gets
    // "not run" from its outdated reply. About one in 5,000 random runs shows
    // the fault.
    fleet run(2, {});
    for (std::uint32_t const choice :
         {41185U, 54093U, 3826U,  36481U, 5912U,  35268U, 16016U, 34248U,
          17326U, 15113U, 6584U,  61900U, 8000U,  6050U,  38792U, 24990U,
          43730U, 10356U, 14263U, 24978U, 43573U, 32665U, 47953U})
    {
        run.step(choice);
    }
    run.finish_all();
    CHECK(run.failure() == "");
}
