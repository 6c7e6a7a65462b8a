/** @file Tests of document age, staggered reads and the order lease. */
#include <daisylead/serving/freshness_base.hpp>
#include <daisylead/serving/order_lease_base.hpp>
#include <daisylead/serving/store_revision_func.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace std::chrono_literals;
using serving::freshness;
using serving::order_lease;

namespace
{

time_point const start = time_point(1000s);

} // namespace

TEST_CASE("a configuration becomes invalid without a recent read")
{
    // Guards against keys that stay valid after a revocation that this instance
    // cannot see.
    freshness rules;
    CHECK_FALSE(rules.is_valid(start, 4s));
    CHECK(rules.note_read(7, start));
    CHECK(rules.is_valid(start + 3s, 4s));
    CHECK_FALSE(rules.is_valid(start + 4s, 4s));
    rules.note_read(7, start + 2s);
    CHECK(rules.is_valid(start + 5s, 4s));
}

TEST_CASE("a late response with an older revision does not renew the newer one")
{
    freshness rules;
    rules.note_read(9, start);
    CHECK_FALSE(rules.note_read(8, start + 3s));
    CHECK(rules.age(start + 3s) == 3s);
}

TEST_CASE("a newer revision from an earlier read replaces the read time")
{
    freshness rules;
    rules.note_read(7, start + 2s);
    CHECK(rules.note_read(8, start + 1s));
    CHECK(rules.age(start + 2s) == 1s);
}

TEST_CASE("reads of the store are staggered by rank")
{
    CHECK(serving::store_read_delay(0, 450ms, 250ms, 1100ms) == 450ms);
    CHECK(serving::store_read_delay(1, 450ms, 250ms, 1100ms) == 700ms);
    CHECK(serving::store_read_delay(18, 450ms, 250ms, 1100ms) == 1100ms);
}

namespace
{

serving::order_lease_options lease_options()
{
    serving::order_lease_options options;
    options.m_duration = 1600ms;
    options.m_handover = 3300ms;
    options.m_margin = 400ms;
    return options;
}

order_lease make_lease(char const* self)
{
    return {instance_id(self), lease_options()};
}

} // namespace

TEST_CASE("a process that starts does not trust the lease row of an old copy")
{
    // Guards against two holders: the store came back from a copy before this
    // process started, and the holder that it no longer names lives.
    order_lease lease(instance_id("b"), lease_options());
    lease.note_store_known_since(start);
    lease.note_row({7, instance_id("a"), 60s, 0s}, start);
    CHECK_FALSE(lease.write_due(start + 4s));
    CHECK(lease.write_due(start + 5s) == 7);
    // The copy may be from before the first lease.
    order_lease first(instance_id("b"), lease_options());
    first.note_store_known_since(start);
    first.note_row({}, start);
    CHECK_FALSE(first.write_due(start + 4s));
    CHECK(first.write_due(start + 5s) == 0);
    // A peer knows that no copy was restored for longer than a holder's orders
    // can come.
    lease.note_store_known_since(start - 60s);
    CHECK(lease.write_due(start) == 7);
    // Not even the last holder by name: the row may be older than it.
    order_lease restarted(instance_id("a"), lease_options());
    restarted.note_store_known_since(start);
    restarted.note_row({7, instance_id("a"), 60s, 0s}, start);
    CHECK_FALSE(restarted.write_due(start + 4s));
    // Its own row shows that the store has lost nothing since.
    restarted.note_written(8, start + 5s);
    restarted.note_row({8, instance_id("a"), 0s, 0s}, start + 8s);
    restarted.note_store_known_since(start + 7s);
    CHECK(restarted.write_due(start + 8s) == 8);
}

TEST_CASE("a free lease is acquired, and its token expires before the lease")
{
    order_lease lease = make_lease("a");
    CHECK(lease.wants_read(start));
    lease.note_row({}, start);
    REQUIRE(lease.write_due(start) == 0U);
    lease.note_written(12, start);
    CHECK(lease.token(start + 1s) == 12U);
    CHECK_FALSE(lease.token(start + 1200ms));
}

TEST_CASE("a holder that was suspended has no token after it resumes")
{
    order_lease lease = make_lease("a");
    lease.note_row({}, start);
    lease.note_written(12, start);
    // The clock keeps running while the system is suspended.
    CHECK_FALSE(lease.token(start + 6s));
    lease.note_row({40, instance_id("b"), 0ms}, start + 6s);
    CHECK_FALSE(lease.token(start + 6s));
    CHECK_FALSE(lease.write_due(start + 6s));
}

TEST_CASE("a successor waits for the lease duration plus the handover")
{
    order_lease lease = make_lease("b");
    lease.note_row({12, instance_id("a"), 0ms}, start);
    CHECK_FALSE(lease.write_due(start + 4800ms));
    CHECK(lease.write_due(start + 4900ms) == 12U);
}

TEST_CASE("the wait counts from the age of the row, not from its first read")
{
    order_lease lease = make_lease("b");
    lease.note_row({12, instance_id("a"), 5s}, start);
    CHECK(lease.write_due(start) == 12U);
}

TEST_CASE("a renewal restarts the wait of the successor")
{
    order_lease lease = make_lease("b");
    lease.note_row({12, instance_id("a"), 0ms}, start);
    lease.note_row({13, instance_id("a"), 0ms}, start + 4s);
    CHECK_FALSE(lease.write_due(start + 5s));
}

TEST_CASE("a released lease is acquired after the handover alone")
{
    order_lease lease = make_lease("b");
    lease.note_row({14, instance_id(), 0ms}, start);
    CHECK_FALSE(lease.write_due(start + 3200ms));
    CHECK(lease.write_due(start + 3300ms) == 14U);
}

TEST_CASE("the time without orders before a release shortens the handover")
{
    // Guards against a rollout that pauses for longer than needed when the
    // holder shuts down.
    order_lease lease = make_lease("b");
    lease.note_row({14, instance_id(), 0ms, 1500ms}, start);
    CHECK_FALSE(lease.write_due(start + 1700ms));
    CHECK(lease.write_due(start + 1800ms) == 14U);
}

TEST_CASE("a write whose response was lost leads to a new, higher token")
{
    order_lease lease = make_lease("a");
    lease.note_row({}, start);
    lease.note_write_failed(start);
    CHECK_FALSE(lease.write_due(start));
    lease.note_row({20, instance_id("a"), 0ms}, start + 1s);
    CHECK_FALSE(lease.token(start + 1s));
    REQUIRE(lease.write_due(start + 1s) == 20U);
    lease.note_written(21, start + 1s);
    CHECK(lease.token(start + 1s) == 21U);
}

TEST_CASE("nobody takes the lease until the last holder's has ended after a "
          "restore of the store")
{
    // Guards against the holder that an older copy of the row names.
    order_lease lease = make_lease("a");
    lease.note_store_restored(start);
    lease.note_row({serving::make_store_revision(2, 12), instance_id("a"), 5s},
                   start + 100ms);
    CHECK_FALSE(lease.write_due(start + 4800ms));
    REQUIRE(lease.write_due(start + 4900ms));
}

TEST_CASE("a fencing token from a restored store is higher than earlier ones")
{
    order_lease lease = make_lease("a");
    lease.note_row({}, start);
    lease.note_written(serving::make_store_revision(1, 45), start);
    auto const before = lease.token(start);
    lease.note_store_restored(start + 1s);
    lease.note_row({serving::make_store_revision(2, 40), instance_id("b"), 0ms},
                   start + 1s);
    CHECK_FALSE(lease.token(start + 1s));
    lease.note_written(serving::make_store_revision(2, 41), start + 8s);
    CHECK(lease.token(start + 8s) > before);
}
