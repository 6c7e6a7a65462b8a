/** @file Tests of the lease manager and of the lease voter. */
#include <daisylead/lease/lease_manager_base.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::lease;
using namespace std::chrono_literals;
using table::transaction_reply;
using table::transaction_status;

namespace
{

constexpr time_point start = time_point(1000s);
std::string const row = "limit/0";

/** A lease manager of one row in a fleet of one instance. */
struct manager_fixture
{
    int m_tokens = 0;
    std::int64_t m_version = 0;
    std::string m_value;
    lease_manager m_manager{lease_options{instance_id("a"), incarnation(1)},
                            lease_hooks{[this]
                                        {
                                            return "a" +
                                                   std::to_string(++m_tokens);
                                        }},
                            start};

    manager_fixture()
    {
        m_manager.set_rows({row});
        m_manager.set_members({instance_id("a")}, {instance_id("a")});
    }

    void read(time_point now)
    {
        std::vector<table::table_row> rows;
        if (m_version > 0)
        {
            rows.push_back({row, m_version, m_value});
        }
        m_manager.table_read(rows, now, now);
    }

    /** @return the transaction that is due, if any */
    std::optional<lease_transaction> tick(time_point now)
    {
        for (lease_action const& action : m_manager.tick(now))
        {
            if (auto const* write = std::get_if<lease_transaction>(&action))
            {
                return *write;
            }
        }
        return std::nullopt;
    }

    /** Applies a transaction to the table. */
    void apply(lease_transaction const& write)
    {
        ++m_version;
        m_value = write.m_transaction.m_puts.at(0).m_value;
    }

    void answer(lease_transaction const& write, transaction_status status,
                time_point now)
    {
        transaction_reply reply;
        reply.m_status = status;
        if (status == transaction_status::committed)
        {
            reply.m_rows.push_back({row, m_version, ""});
        }
        m_manager.transaction_done(write.m_number, reply, now);
    }

    void acquire(time_point now)
    {
        read(now);
        std::optional<lease_transaction> const write = tick(now);
        REQUIRE(write);
        apply(*write);
        answer(*write, transaction_status::committed, now);
        tick(now + 500ms); // confirms by the own vote
    }
};

lease_confirm_request claim(std::string const& holder, int fence)
{
    lease_confirm_request request;
    request.m_sender = instance_id(holder);
    request.m_incarnation = incarnation(1);
    request.m_claims = {
        {row, fence_number(fence), holder + "-token", instance_id(holder)}};
    return request;
}

observed_lease seen(std::string const& holder, int fence)
{
    return {claim(holder, fence).m_claims[0], fence, 1};
}

} // namespace

// Guards against a holder that continues after a pause although another
// instance may have acquired the lease, and against a late reply that extends
// the lease from its arrival instead of from the send of the write.
TEST_CASE("the lease time starts when the write is sent")
{
    manager_fixture fixture;
    fixture.acquire(start);
    REQUIRE(fixture.m_manager.held(row, start + 3999ms));
    CHECK_FALSE(fixture.m_manager.held(row, start + 4500ms));
    std::optional<lease_transaction> const write = fixture.tick(start + 3s);
    REQUIRE(write);
    fixture.apply(*write);
    fixture.answer(*write, transaction_status::committed, start + 6s);
    CHECK(fixture.m_manager.held(row, start + 6s));
    CHECK_FALSE(fixture.m_manager.held(row, start + 7s));
}

// Guards against a lease that is dropped, or assumed to be held, because the
// reply to its write was lost.
TEST_CASE("a write with unknown outcome is resolved by the token in the row")
{
    manager_fixture fixture;
    fixture.read(start);
    std::optional<lease_transaction> const write = fixture.tick(start);
    REQUIRE(write);
    fixture.answer(*write, transaction_status::unknown, start + 1s);
    CHECK_FALSE(fixture.tick(start + 1100ms));
    CHECK_FALSE(fixture.m_manager.held(row, start + 1100ms));
    fixture.apply(*write);
    fixture.read(start + 2s);
    fixture.tick(start + 2s);
    CHECK(fixture.m_manager.held(row, start + 2s));
    CHECK(fixture.m_manager.held(row, start + 2s)->m_fence == fence_number(1));
}

// Guards against a lease that is assumed to be held although its write was not
// applied.
TEST_CASE("a write that was not applied is retried with a new token")
{
    manager_fixture fixture;
    fixture.read(start);
    std::optional<lease_transaction> const write = fixture.tick(start);
    REQUIRE(write);
    fixture.answer(*write, transaction_status::unknown, start + 1s);
    fixture.read(start + 2s);
    CHECK_FALSE(fixture.m_manager.held(row, start + 2s));
    std::optional<lease_transaction> const again = fixture.tick(start + 2s);
    REQUIRE(again);
    CHECK(again->m_transaction.m_puts[0].m_value !=
          write->m_transaction.m_puts[0].m_value);
}

// Guards against an acquisition before the lease ended by the holder's clock,
// and against a fencing number that does not grow.
TEST_CASE("another instance's lease expires after its row stayed unchanged")
{
    manager_fixture fixture;
    fixture.m_version = 7;
    fixture.m_value = R"({"fence":4,"holder":"b","sequence":1,"token":"b1"})";
    for (time_point now = start; now < start + 4500ms; now += 500ms)
    {
        fixture.read(now);
        CHECK_FALSE(fixture.tick(now));
    }
    std::optional<lease_transaction> const write = fixture.tick(start + 4500ms);
    REQUIRE(write);
    CHECK(write->m_transaction.m_conditions[0].m_version == 7);
    CHECK(write->m_transaction.m_puts[0].m_value.find("\"fence\":5") !=
          std::string::npos);
}

// Guards against an acquisition right after a table outage, before a holder
// that extended its lease by a quorum had time to renew it in the table.
TEST_CASE("a lease does not expire while the table is unreachable")
{
    manager_fixture fixture;
    fixture.m_version = 7;
    fixture.m_value = R"({"fence":4,"holder":"b","sequence":1,"token":"b1"})";
    fixture.read(start);
    fixture.read(start + 60s);
    CHECK_FALSE(fixture.tick(start + 60s));
}

// Guards against a shard that has no owner for a lease time after a shutdown.
TEST_CASE("a released lease can be acquired at once")
{
    manager_fixture fixture;
    fixture.acquire(start);
    fixture.m_manager.release_all(start + 1s);
    CHECK_FALSE(fixture.m_manager.held(row, start + 1s));
    CHECK_FALSE(fixture.m_manager.is_released());
    std::optional<lease_transaction> const write = fixture.tick(start + 1s);
    REQUIRE(write);
    fixture.apply(*write);
    fixture.answer(*write, transaction_status::committed, start + 1s);
    CHECK(fixture.m_manager.is_released());
    manager_fixture other;
    other.m_version = fixture.m_version;
    other.m_value = fixture.m_value;
    other.acquire(start + 2s);
    CHECK(other.m_manager.held(row, start + 3s)->m_fence == fence_number(2));
}

// Guards against a second holder: the row was written while a quorum still
// confirms the earlier holder.
TEST_CASE("a written row is not held until a quorum confirms it")
{
    manager_fixture fixture;
    fixture.m_manager.set_members(
        {instance_id("a"), instance_id("b"), instance_id("c")},
        {instance_id("a")});
    fixture.acquire(start);
    CHECK_FALSE(fixture.m_manager.held(row, start + 500ms));
    for (lease_action const& action : fixture.m_manager.tick(start + 1s))
    {
        if (auto const* request = std::get_if<send_lease_confirm>(&action))
        {
            lease_confirm_reply reply;
            reply.m_sender = request->m_to;
            reply.m_round = request->m_message.m_round;
            reply.m_confirmed = {row};
            fixture.m_manager.reply_received(reply, start + 1100ms);
        }
    }
    CHECK(fixture.m_manager.held(row, start + 1100ms)->m_acquired_at ==
          start + 1100ms);
}

// Guards against two quorums that confirm different holders of the same row.
TEST_CASE("a promise excludes other holders and older fencing numbers")
{
    lease_voter voter(instance_id("v"), incarnation(1), start);
    voter.table_read({seen("a", 1)}, start + 4500ms);
    time_point const now = start + 5s;
    CHECK(voter.confirm(claim("a", 1), now).m_confirmed.size() == 1);
    CHECK(voter.confirm(claim("b", 2), now + 4s).m_confirmed.empty());
    CHECK(voter.confirm(claim("a", 1), now + 4s).m_confirmed.empty());
    CHECK(voter.confirm(claim("b", 2), now + 4500ms).m_confirmed.size() == 1);
}

// Guards against an instance that lost its promise in a restart and confirms a
// second holder.
TEST_CASE("a restarted instance confirms only after a lease time and a read")
{
    lease_voter voter(instance_id("v"), incarnation(2), start);
    voter.table_read({seen("a", 1)}, start + 4499ms);
    CHECK(voter.confirm(claim("a", 1), start + 9s).m_confirmed.empty());
    CHECK(voter.needs_peer_claims(start + 9s));
    lease_confirm_reply told;
    told.m_sender = instance_id("x");
    told.m_informed = true;
    told.m_known = claim("b", 2).m_claims;
    voter.peer_claims_received(told, start + 9s, 2);
    CHECK_FALSE(voter.is_informed());
    told.m_sender = instance_id("y");
    voter.peer_claims_received(told, start + 9s, 2);
    CHECK(voter.is_informed());
    CHECK(voter.confirm(claim("a", 1), start + 9s).m_confirmed.empty());
    CHECK(voter.confirm(claim("b", 2), start + 9s).m_confirmed.size() == 1);
}

// Guards against a new fleet whose shards have no owner for a lease time.
TEST_CASE("a row that was read as free is confirmed at once")
{
    lease_voter voter(instance_id("v"), incarnation(1), start);
    voter.table_read({{{row, {}, "", {}}, 0, 0}}, start);
    CHECK(voter.confirm(claim("a", 1), start).m_confirmed.size() == 1);
}

// Guards against a new fleet in which an instance that starts shortly after the
// first holders rejects their claims for a lease time.
TEST_CASE("the first lease of a row is confirmed at once, a later one is not")
{
    lease_voter voter(instance_id("v"), incarnation(1), start);
    voter.table_read({seen("a", 1)}, start);
    CHECK(voter.confirm(claim("a", 1), start + 1s).m_confirmed.size() == 1);
    lease_voter restarted(instance_id("v"), incarnation(2), start);
    restarted.table_read({seen("b", 2)}, start);
    CHECK(restarted.confirm(claim("b", 2), start + 1s).m_confirmed.empty());
    CHECK(restarted.confirm(claim("a", 1), start + 1s).m_confirmed.empty());
}

// Guards against the first instance to start acquiring all shards.
TEST_CASE("shards are spread over the live instances")
{
    std::set<instance_id> ids{instance_id("a")};
    for (int index = 0; index < 7; ++index)
    {
        ids.insert(instance_id("i" + std::to_string(index)));
    }
    std::set<std::string> rows;
    for (int index = 0; index < 64; ++index)
    {
        rows.insert("limit/" + std::to_string(index));
    }
    lease_manager manager(lease_options{instance_id("a"), incarnation(1)},
                          lease_hooks{[]
                                      {
                                          return "token";
                                      }},
                          start);
    manager.set_rows(rows);
    manager.set_members(ids, ids);
    manager.table_read({}, start, start);
    lease_actions const actions = manager.tick(start);
    REQUIRE(actions.size() == 1);
    auto const& write = std::get<lease_transaction>(actions[0]);
    CHECK(write.m_transaction.m_puts.size() >= 2);
    CHECK(write.m_transaction.m_puts.size() <= 20);
}
