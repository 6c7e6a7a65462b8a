/** @file Tests of the record of streams, and of the peers that keep it. */
#include <daisylead/serving/fleet_roster_base.hpp>
#include <daisylead/serving/stream_registry_base.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace daisylead;
using namespace daisylead::serving;
using namespace std::chrono_literals;

namespace
{

time_point const now = time_point(1h);

stream_origin make_origin(std::string const& stream)
{
    return {stream, service_id("s"),        upstream_id("u"),
            7,      software_version("v1"), 5000ms};
}

member make_member(int number)
{
    member item;
    item.m_id = instance_id("entry-" + std::to_string(number));
    item.m_address = "10.0.0." + std::to_string(number) + ":1";
    item.m_started = 1;
    item.m_zone = zone_id(number % 3 == 0 ? "a" : number % 3 == 1 ? "b" : "c");
    item.m_size = 170;
    return item;
}

/** @return the view of one instance of a fleet that is in contact with all
 *          others. */
fleet_roster make_roster(int self, int size)
{
    fleet_roster roster({}, make_member(self), now);
    for (int number = 1; number <= size; ++number)
    {
        if (number == self)
        {
            continue;
        }
        fleet_news news;
        news.m_member = make_member(number);
        news.m_is_relay = true;
        roster.note_member(news.m_member, true, now);
        roster.note_call(news, now);
    }
    return roster;
}

std::vector<instance_id> keepers_at(int self, int size, std::string const& key,
                                    std::size_t count)
{
    std::vector<instance_id> ids;
    for (member const& item :
         make_roster(self, size).record_keepers(key, count, now))
    {
        ids.push_back(item.m_id);
    }
    return ids;
}

} // namespace

TEST_CASE("a stream is known until its lifetime ends")
{
    stream_registry registry(2);
    registry.add(make_origin("a"), now);
    REQUIRE(registry.find("a", now + 4s));
    CHECK(registry.find("a", now + 4s)->m_lifetime == 1000ms);
    CHECK_FALSE(registry.find("a", now + 5s));
    CHECK_FALSE(registry.find("b", now));
    // A request without an id begins no stream that can be named.
    registry.add(make_origin(""), now);
    CHECK_FALSE(registry.find("", now));
}

TEST_CASE("the number of known streams is bounded")
{
    stream_registry registry(2);
    for (char const* stream : {"a", "b", "c"})
    {
        registry.add(make_origin(stream), now);
    }
    CHECK(registry.size() == 2);
    CHECK_FALSE(registry.find("a", now));
    CHECK(registry.find("c", now));
}

TEST_CASE("an instance finds the keepers that another one chose")
{
    // Guards against streams that are refused, as the instances that know them
    // are not asked.
    constexpr int size = 19;
    for (std::string const key : {"a", "b", "c", "d", "e"})
    {
        std::vector<instance_id> const chosen = keepers_at(1, size, key, 3);
        REQUIRE(chosen.size() == 3);
        for (int other = 2; other <= size; ++other)
        {
            std::vector<instance_id> const asked =
                keepers_at(other, size, key, 5);
            for (instance_id const& keeper : chosen)
            {
                bool const found = std::find(asked.begin(), asked.end(),
                                             keeper) != asked.end();
                CHECK((found || keeper == make_member(other).m_id));
            }
        }
    }
}

TEST_CASE("the first keepers of a record are in different availability zones")
{
    // Without the instance itself, one of the three can be in the zone of
    // another one.
    for (std::string const key : {"a", "b", "c", "d", "e"})
    {
        std::set<zone_id> zones;
        for (member const& keeper :
             make_roster(1, 19).record_keepers(key, 3, now))
        {
            zones.insert(keeper.m_zone);
        }
        CHECK(zones.size() >= 2);
    }
}
