/** @file Tests of the distinction between a cut path and lost upstreams. */
#include <daisylead/serving/path_monitor_base.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::serving;
using namespace std::chrono_literals;

namespace
{

time_point at(std::chrono::milliseconds offset)
{
    return time_point(1h) + offset;
}

upstream_id id(int number)
{
    return upstream_id("u" + std::to_string(number));
}

} // namespace

TEST_CASE("several upstreams that fail one after the other are a cut path")
{
    path_monitor path({});
    CHECK_FALSE(path.note_connect(id(1), false, 18, at(0ms)));
    CHECK_FALSE(path.note_connect(id(2), false, 18, at(10ms)));
    // The same one again says nothing new.
    CHECK_FALSE(path.note_connect(id(2), false, 18, at(20ms)));
    CHECK(path.note_connect(id(3), false, 18, at(30ms)));
    CHECK(path.is_cut());
}

TEST_CASE("single upstreams that are down are no cut path")
{
    path_monitor path({});
    for (int i = 0; i < 20; ++i)
    {
        path.note_connect(id(i), false, 18, at(i * 100ms));
        path.note_connect(id(i + 1), false, 18, at(i * 100ms));
        path.note_connect(id(i + 2), true, 18, at(i * 100ms));
        CHECK_FALSE(path.is_cut());
    }
}

TEST_CASE("failures of long ago do not add up to a cut path")
{
    path_monitor path({});
    for (int i = 0; i < 10; ++i)
    {
        CHECK_FALSE(path.note_connect(id(i), false, 18, at(i * 1500ms)));
    }
}

TEST_CASE("a small service is cut off when none of its upstreams is reached")
{
    path_monitor path({});
    CHECK_FALSE(path.note_connect(id(1), false, 2, at(0ms)));
    CHECK(path.note_connect(id(2), false, 2, at(1ms)));
    CHECK_FALSE(path.note_connect(id(1), true, 2, at(2ms)));
    CHECK(path.note_connect(id(2), true, 2, at(3ms)));
    CHECK_FALSE(path.is_cut());
}

TEST_CASE("a cut path is not restored by one connection between failures")
{
    // Guards against going to and fro between the two ways.
    path_monitor path({});
    for (int i = 0; i < 3; ++i)
    {
        path.note_connect(id(i), false, 18, at(0ms));
    }
    REQUIRE(path.is_cut());
    for (int i = 0; i < 10; ++i)
    {
        path.note_connect(id(1), true, 18, at(i * 300ms));
        path.note_connect(id(2), false, 18, at(i * 300ms + 100ms));
        CHECK(path.is_cut());
    }
    path.note_connect(id(1), true, 18, at(4000ms));
    CHECK(path.note_connect(id(3), true, 18, at(4300ms)));
    CHECK_FALSE(path.is_cut());
}

TEST_CASE("a failure is one of the path if another upstream fails as well")
{
    // Guards against upstreams that are reported as crashed by an instance
    // that is cut off.
    path_monitor path({});
    path.note_connect(id(1), false, 18, at(0ms));
    CHECK_FALSE(path.is_suspect(id(1), at(1ms)));
    CHECK(path.is_suspect(id(2), at(1ms)));
    CHECK_FALSE(path.is_suspect(id(2), at(2001ms)));
}
