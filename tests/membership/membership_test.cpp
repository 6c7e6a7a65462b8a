/** @file Tests of failure detection, self-fencing and acceptance. */
#include <daisylead/membership/acceptance_base.hpp>
#include <daisylead/membership/member_table_base.hpp>
#include <daisylead/membership/quorum_func.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::membership;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start = time_point(1000s);

instance_id name(int index)
{
    return instance_id("i" + std::to_string(index));
}

std::set<instance_id> names(int count)
{
    std::set<instance_id> result;
    for (int index = 0; index < count; ++index)
    {
        result.insert(name(index));
    }
    return result;
}

std::vector<table::listed_instance> list_of(int count)
{
    std::vector<table::listed_instance> result;
    for (int index = 0; index < count; ++index)
    {
        table::listed_instance machine;
        machine.m_id = name(index).value();
        machine.m_peer = "127.0.0.1:" + std::to_string(7000 + index);
        result.push_back(machine);
    }
    return result;
}

member_table table_of(int count)
{
    member_options options;
    options.m_self = name(0);
    options.m_incarnation = incarnation(5);
    options.m_address = "127.0.0.1:7000";
    member_table table(options);
    table.list_received(list_of(count), start);
    return table;
}

peer_contact reply(int index, time_point sent_at, int version = 1)
{
    return {name(index), incarnation(1), sent_at, config_version(version),
            true};
}

} // namespace

// Guards against quorums that do not intersect because the lists of two
// instances differ by one instance in 16.
TEST_CASE("quorums of lists that differ by the churn intersect")
{
    for (std::size_t known = 1; known <= 400; ++known)
    {
        std::size_t const grown = known + known / churn_divisor;
        CHECK(quorum_size(known) + quorum_size(grown) > grown);
        CHECK(quorum_size(known) + restart_quorum_size(known) > known);
    }
}

// Guards against a ping cost per instance that grows with the fleet.
TEST_CASE("a round has at most eight pings in a large fleet")
{
    member_table table = table_of(340);
    std::set<std::string> seen;
    for (int round = 0; round < 43; ++round)
    {
        time_point const now = start + round * 500ms;
        table.table_reached(now);
        std::vector<send_ping> const pings = table.tick(now);
        CHECK(pings.size() <= pings_per_round);
        for (send_ping const& item : pings)
        {
            seen.insert(item.m_address);
            int const index = std::stoi(item.m_address.substr(10)) - 7000;
            table.reply_received({name(index), incarnation(1),
                                  item.m_ping.m_number, config_version(1),
                                  instance_state::serving, incarnation(5)},
                                 now);
        }
    }
    CHECK(seen.size() == 339);
}

// Guards against an instance that does not reach a quorum in time during a
// table outage.
TEST_CASE("rounds ping a quorum only while there is no table contact")
{
    member_table table = table_of(340);
    table.table_reached(start);
    CHECK(table.tick(start + 1s).size() == pings_per_round);
    CHECK(table.tick(start + 3s).size() >= quorum_size(340));
    CHECK(table.tick(start + 4s).empty());
    table.table_reached(start + 4s);
    CHECK(table.tick(start + 5s).size() == pings_per_round);
    member_table small = table_of(9);
    CHECK(small.tick(start).size() == 8);
}

// Guards against failed pings that count as contact, and against a single lost
// ping that makes a live instance silent.
TEST_CASE("an instance is silent after two consecutive failed pings")
{
    member_table table = table_of(2);
    std::vector<send_ping> pings = table.tick(start);
    REQUIRE(pings.size() == 1);
    table.ping_failed(pings[0].m_ping.m_number, start);
    CHECK(table.find(name(1))->m_status == member_status::unknown);
    pings = table.tick(start + 500ms);
    REQUIRE(pings.size() == 1);
    table.tick(start + 1600ms);
    CHECK(table.find(name(1))->m_status == member_status::silent);
    CHECK_FALSE(table.reply_received(
        {name(1), incarnation(1), pings[0].m_ping.m_number, config_version(1),
         instance_state::serving, incarnation(5)},
        start + 1700ms));
}

// Guards against an instance that is a quorum on its own because neither the
// platform nor a peer has answered yet.
TEST_CASE("addresses of the settings count as instances until the first list")
{
    member_options options;
    options.m_self = name(0);
    options.m_address = "127.0.0.1:7000";
    member_table table(options);
    table.set_peer_addresses(
        {"127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7002"});
    CHECK(table.instances().size() == 3);
    std::vector<send_ping> const pings = table.tick(start);
    REQUIRE(pings.size() == 2);
    table.reply_received({name(1),
                          incarnation(1),
                          pings[0].m_ping.m_number,
                          config_version(1),
                          instance_state::serving,
                          {}},
                         start);
    CHECK(table.instances().size() == 3);
    CHECK(table.instances().contains(name(1)));
    table.list_received(list_of(2), start);
    CHECK(table.instances() == names(2));
}

// Guards against messages of an older process with the same instance id.
TEST_CASE("a superseded incarnation is ignored and informed")
{
    member_table table = table_of(3);
    ping message{name(1), incarnation(7),    "127.0.0.1:7001",
                 1,       config_version(3), instance_state::serving};
    CHECK(table.ping_received(message, start).m_known_incarnation ==
          incarnation(7));
    message.m_incarnation = incarnation(6);
    message.m_version = config_version(9);
    CHECK(table.ping_received(message, start).m_known_incarnation ==
          incarnation(7));
    CHECK(table.find(name(1))->m_version == config_version(3));
    CHECK(table.is_superseded(name(1), incarnation(6)));
    CHECK_FALSE(table.is_self_superseded());
    message.m_sender = name(0);
    message.m_incarnation = incarnation(6);
    table.ping_received(message, start);
    CHECK(table.is_self_superseded());
}

// Guards against admission after a pause because of a reply that arrives late.
TEST_CASE("contact counts from the time the request was sent")
{
    admission_fence gate(name(0));
    gate.set_members(names(3));
    gate.set_in_force(config_version(1));
    CHECK_FALSE(gate.may_admit(start));
    gate.table_reached(start, config_version(1));
    CHECK(gate.may_admit(start + 3999ms));
    CHECK_FALSE(gate.may_admit(start + 4s));
    gate.peer_reached(reply(1, start + 3s));
    CHECK(gate.may_admit(start + 6999ms));
    CHECK_FALSE(gate.may_admit(start + 7s));
}

// Guards against admission with an old version although a newer one was seen.
TEST_CASE("contact that shows a newer version counts once it is in force")
{
    admission_fence gate(name(0));
    gate.set_members(names(3));
    gate.set_in_force(config_version(1));
    gate.table_reached(start, config_version(1));
    gate.table_reached(start + 3s, config_version(2));
    CHECK_FALSE(gate.may_admit(start + 4s));
    gate.set_in_force(config_version(2));
    CHECK(gate.may_admit(start + 4s));
}

// Guards against a restarted instance that counts itself in a quorum although
// it has lost a version that it had confirmed.
TEST_CASE("a restarted instance is informed only by enough others")
{
    admission_fence gate(name(0));
    gate.set_members(names(3));
    gate.set_in_force(config_version(1));
    gate.peer_reached(reply(1, start));
    CHECK_FALSE(gate.may_admit(start));
    gate.peer_reached(reply(2, start));
    CHECK(gate.may_admit(start));
    admission_fence alone(name(0));
    alone.set_members(names(2));
    alone.set_in_force(config_version(1));
    alone.peer_reached(reply(1, start));
    CHECK(alone.may_admit(start));
}

// Guards against a version that is accepted while an instance may still admit
// requests with an older one.
TEST_CASE("a silent instance delays acceptance until it has fenced itself")
{
    acceptance_tracker tracker(config_version(2), start, names(3));
    tracker.confirmed_locally(name(0), start);
    tracker.reply_received(reply(1, start, 2), start + 1s);
    CHECK(tracker.status(start + 9s) == acceptance_status::pending);
    CHECK_FALSE(tracker.outstanding(start + 9s)[0].m_fenced_at);
    tracker.reply_received(reply(1, start + 1s, 2), start + 2s);
    REQUIRE(tracker.outstanding(start + 2s).size() == 1);
    CHECK(tracker.outstanding(start + 2s)[0].m_instance == name(2));
    CHECK(tracker.status(start + 6500ms) == acceptance_status::pending);
    CHECK(tracker.status(start + 6501ms) == acceptance_status::accepted);
    tracker.ping_received(name(2), incarnation(1), config_version(1),
                          start + 3s);
    CHECK(tracker.status(start + 7s) == acceptance_status::pending);
    tracker.ping_received(name(2), incarnation(1), config_version(2),
                          start + 7s);
    CHECK(tracker.status(start + 7s) == acceptance_status::accepted);
}
