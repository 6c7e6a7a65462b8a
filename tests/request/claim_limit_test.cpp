/** @file Tests of claim limits: tracked keys, waiting requests, releases and
 *  store retries. */
#include "fake_table.hpp"

#include <daisylead/request/claim_flow_base.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::request;
using table::transaction_status;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

claim_options small_options()
{
    claim_options options;
    options.m_instance = instance_id("a");
    options.m_incarnation = incarnation(1);
    options.m_max_keys = 4;
    options.m_max_waiters = 2;
    options.m_max_releases = 3;
    options.m_max_store_bytes = 100;
    options.m_store_timeout = std::chrono::seconds(30);
    return options;
}

claim_hooks test_hooks()
{
    return {[] { return std::uint64_t{1}; },
            [](instance_id const&, incarnation)
            {
                return true;
            }};
}

claim_request make_request(std::string id, std::string key)
{
    claim_request request;
    request.m_id = request_id(std::move(id));
    request.m_organisation = organisation_id("o");
    request.m_key = std::move(key);
    request.m_body_digest = "d";
    request.m_deadline = start + std::chrono::seconds(10);
    return request;
}

template <class Action>
Action const* find_action(claim_flow::actions const& actions)
{
    for (claim_action const& item : actions)
    {
        if (auto const* found = std::get_if<Action>(&item))
        {
            return found;
        }
    }
    return nullptr;
}

/** Begins one call and runs it until its send is permitted. */
std::uint64_t acquire_claim(claim_flow& flow, testing::fake_table& table,
                            std::string const& id, time_point now)
{
    flow.begin(make_request(id, "k" + id), now);
    auto const actions = flow.on_timer(now + std::chrono::milliseconds(3));
    auto const* run = find_action<claim_transact>(actions);
    REQUIRE(run != nullptr);
    auto const permits =
        flow.on_transaction(run->m_call, table.run(run->m_transaction), now);
    REQUIRE(find_action<permit_send>(permits) != nullptr);
    return run->m_call;
}

attempt_result complete(std::size_t size)
{
    attempt_result result;
    result.m_may_have_sent = true;
    result.m_response = std::make_shared<stored_response const>(
        stored_response{200, "text/plain", std::string(size, 'x')});
    return result;
}

} // namespace

TEST_CASE("tracked keys and waiting requests are limited")
{
    claim_flow flow(small_options(), test_hooks());
    for (int i = 0; i < 4; ++i)
    {
        CHECK(
            flow.begin(make_request("r" + std::to_string(i), std::to_string(i)),
                       start)
                .empty());
    }
    auto const full = flow.begin(make_request("r4", "4"), start);
    REQUIRE(find_action<refuse_claim>(full) != nullptr);
    CHECK(find_action<refuse_claim>(full)->m_refusal.m_code ==
          refusal_code::overloaded);
    CHECK(flow.begin(make_request("w1", "0"), start).empty());
    auto const waiting = flow.begin(make_request("w2", "0"), start);
    REQUIRE(find_action<refuse_claim>(waiting) != nullptr);
    CHECK(find_action<refuse_claim>(waiting)->m_refusal.m_outcome ==
          run_outcome::unknown);
    CHECK(flow.keys_in_progress() == 4);
}

TEST_CASE("pending releases are limited during a table outage")
{
    claim_flow flow(small_options(), test_hooks());
    time_point now = start;
    for (int i = 0; i < 20; ++i)
    {
        flow.begin(make_request("r" + std::to_string(i), std::to_string(i)),
                   now);
        now += std::chrono::milliseconds(3);
        auto const actions = flow.on_timer(now);
        auto const* run = find_action<claim_transact>(actions);
        REQUIRE(run != nullptr);
        auto const reads = flow.on_transaction(
            run->m_call, {transaction_status::unknown, {}}, now);
        for (claim_action const& item : reads)
        {
            if (auto const* read = std::get_if<claim_read>(&item))
            {
                flow.on_read(read->m_call, {}, now);
            }
        }
    }
    CHECK(flow.releases_pending() == 3);
    CHECK(flow.keys_in_progress() == 0);
}

TEST_CASE("retries of a store end at the store timeout")
{
    claim_flow flow(small_options(), test_hooks());
    testing::fake_table table;
    acquire_claim(flow, table, "r", start);
    CHECK(find_action<deliver_response>(
              flow.on_attempt(request_id("r"), complete(5), start)) != nullptr);
    time_point now = start;
    int tries = 0;
    while (flow.keys_in_progress() > 0)
    {
        REQUIRE(flow.next_timer().has_value());
        now = std::max(now, *flow.next_timer());
        auto const actions = flow.on_timer(now);
        if (auto const* run = find_action<claim_transact>(actions))
        {
            REQUIRE(++tries < 100);
            flow.on_transaction(run->m_call,
                                {transaction_status::not_applied, {}}, now);
        }
    }
    CHECK(tries > 5);
    CHECK(now - start < std::chrono::seconds(40));
}

TEST_CASE("responses that wait for their store are limited in bytes")
{
    claim_flow flow(small_options(), test_hooks());
    testing::fake_table table;
    acquire_claim(flow, table, "r1", start);
    acquire_claim(flow, table, "r2", start);
    flow.on_attempt(request_id("r1"), complete(90), start);
    flow.on_attempt(request_id("r2"), complete(90), start);
    CHECK(find_action<replay_response>(
              flow.begin(make_request("s1", "kr1"), start)) != nullptr);
    auto const dropped = flow.begin(make_request("s2", "kr2"), start);
    REQUIRE(find_action<refuse_claim>(dropped) != nullptr);
    CHECK(find_action<refuse_claim>(dropped)->m_refusal.m_outcome ==
          run_outcome::done);
}

TEST_CASE("a sent call is not answered \"not run\" during an outage")
{
    claim_flow flow(small_options(), test_hooks());
    testing::fake_table table;
    acquire_claim(flow, table, "r1", start);
    flow.on_attempt(request_id("r1"), complete(5), start);
    time_point now = start + std::chrono::milliseconds(3);
    auto const stores = flow.on_timer(now);
    auto const* store = find_action<claim_transact>(stores);
    REQUIRE(store != nullptr);
    flow.on_transaction(store->m_call, table.run(store->m_transaction), now);
    REQUIRE(flow.keys_in_progress() == 0);
    flow.begin(make_request("r2", "kr1"), now);
    now += std::chrono::milliseconds(3);
    auto const claims = flow.on_timer(now);
    auto const* run = find_action<claim_transact>(claims);
    REQUIRE(run != nullptr);
    auto const answer = flow.on_transaction(
        run->m_call, {transaction_status::not_applied, {}}, now);
    REQUIRE(find_action<refuse_claim>(answer) != nullptr);
    CHECK(find_action<refuse_claim>(answer)->m_refusal.m_outcome ==
          run_outcome::done);
}

TEST_CASE("different keys never share a row")
{
    claim_flow flow(small_options(), test_hooks());
    auto one = make_request("r1", "b/c");
    one.m_organisation = organisation_id("a");
    auto two = make_request("r2", "c");
    two.m_organisation = organisation_id("a/b");
    flow.begin(one, start);
    flow.begin(two, start);
    flow.begin(make_request("r3", std::string(4000, '%')), start);
    flow.begin(make_request("r4", std::string(4000, '%') + "x"), start);
    CHECK(flow.keys_in_progress() == 4);
    auto const actions = flow.on_timer(start + std::chrono::milliseconds(3));
    auto const* run = find_action<claim_transact>(actions);
    REQUIRE(run != nullptr);
    for (table::table_put const& put : run->m_transaction.m_puts)
    {
        CHECK(put.m_row.size() < 600);
    }
}
