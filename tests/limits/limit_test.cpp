/** @file Tests of the token bucket, the owner and the client of a limit. */
#include <daisylead/limits/limit_client_base.hpp>
#include <daisylead/limits/shard_func.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::limits;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start = time_point(1000s);
organisation_id const test_organisation("tenant");

config::organisation organisation(int rate, int burst)
{
    config::organisation result;
    result.m_id = test_organisation;
    result.m_rate = token_rate(rate);
    result.m_burst = token_count(burst);
    return result;
}

/** An owner with a lease that the test sets. */
struct owner_fixture
{
    std::optional<held_lease> m_lease = held_lease{fence_number(1), start};
    limit_owner m_owner{owner_hooks{[this](organisation_id const&, time_point)
                                    {
                                        return m_lease;
                                    }}};

    owner_fixture()
    {
        m_owner.set_limits({organisation(100, 100)}, 0, start);
    }

    reserve_reply ask(int number, std::vector<int> const& amounts,
                      time_point now)
    {
        reserve_request request;
        request.m_sender = instance_id("a");
        request.m_incarnation = incarnation(1);
        request.m_organisation = test_organisation;
        request.m_reservation = reservation_number(number);
        for (int const amount : amounts)
        {
            request.m_amounts.emplace_back(amount);
        }
        return m_owner.handle(request, now);
    }

    void report(int number, int fence, int refund, time_point now)
    {
        usage_report const item{test_organisation,
                                fence_number(fence),
                                reservation_number(number),
                                token_count(refund),
                                token_count(),
                                true};
        m_owner.handle(settle{instance_id("a"), incarnation(1), {item}}, now);
    }
};

struct client_fixture
{
    static_share m_share{start};
    std::optional<instance_id> m_owner_id = instance_id("o");
    limit_client m_client{client_options{instance_id("a"), incarnation(1)},
                          client_hooks{[this](organisation_id const&)
                                       {
                                           return m_owner_id;
                                       }},
                          m_share};

    client_actions ask(std::string const& call, int amount, time_point now)
    {
        return m_client.request(request_id(call), test_organisation,
                                token_count(amount), now);
    }

    client_actions reply(reserve_request const& request,
                         std::vector<bool> const& granted, time_point now)
    {
        reserve_reply item;
        item.m_status = reserve_status::decided;
        item.m_organisation = test_organisation;
        item.m_reservation = request.m_reservation;
        item.m_fence = fence_number(3);
        item.m_granted = granted;
        item.m_retry_after.assign(granted.size(), 2000000000);
        return m_client.reply_received(item, now);
    }
};

reserve_request const& sent(client_actions const& actions, std::size_t index)
{
    return std::get<send_reserve>(actions.at(index)).m_message;
}

} // namespace

// Guards against a refund that allows a second burst after the bucket was full.
TEST_CASE("a refund restores only tokens that were not refilled in between")
{
    token_bucket bucket({100, 100}, start);
    bucket.advance(start + 2s);
    CHECK(bucket.level() == Approx(100));
    bucket.reserve(80);
    bucket_sequence const sequence = bucket.confirm(80);
    CHECK(bucket.refund(30, sequence) == Approx(30));
    bucket.advance(start + 10s);
    bucket.reserve(100);
    bucket.confirm(100);
    CHECK(bucket.refund(50, sequence) == Approx(0));
    CHECK(bucket.level() == Approx(0));
}

// Guards against an extra burst when an operator raises a limit.
TEST_CASE("changing the limit does not raise the level")
{
    owner_fixture fixture;
    time_point const now = start + 60s;
    CHECK(fixture.m_owner.level(test_organisation, now) == Approx(100));
    fixture.m_owner.set_limits({organisation(100, 900)}, 0, now);
    CHECK(fixture.m_owner.level(test_organisation, now) == Approx(100));
    fixture.m_owner.set_limits({organisation(100, 50)}, 0, now);
    CHECK(*fixture.m_owner.level(test_organisation, now) <= 50);
    fixture.m_owner.set_limits({}, 0, now);
    CHECK_FALSE(fixture.m_owner.level(test_organisation, now + 1s));
    fixture.m_owner.set_limits({organisation(100, 900)}, 0, now + 1s);
    CHECK(*fixture.m_owner.level(test_organisation, now + 1s) <= 0);
}

// Guards against granting the same tokens under an old lease and a new one.
TEST_CASE("a new owner starts empty after earlier reservations expired")
{
    owner_fixture fixture;
    CHECK(fixture.ask(1, {1}, start + 500ms).m_granted == std::vector{false});
    CHECK(fixture.m_owner.level(test_organisation, start + 60s) == Approx(100));
    fixture.m_lease.reset();
    CHECK(fixture.ask(2, {1}, start + 60s).m_status ==
          reserve_status::not_owner);
    fixture.m_lease = held_lease{fence_number(2), start + 61s};
    CHECK(fixture.m_owner.level(test_organisation, start + 61500ms) ==
          Approx(0));
    CHECK(*fixture.m_owner.level(test_organisation, start + 62s) < 50);
}

// Guards against charging the organisation twice for a message that is
// delivered twice, or for one that arrives after it was abandoned.
TEST_CASE("a duplicate message gets the same reply, an older one is rejected")
{
    owner_fixture fixture;
    time_point const now = start + 60s;
    CHECK(fixture.ask(2, {30, 90, 30}, now).m_granted ==
          std::vector{true, false, true});
    CHECK(fixture.ask(2, {30, 90, 30}, now).m_granted ==
          std::vector{true, false, true});
    CHECK(fixture.m_owner.level(test_organisation, now) == Approx(40));
    CHECK(fixture.ask(1, {30}, now).m_status == reserve_status::out_of_date);
    fixture.report(5, 0, 30, now);
    CHECK(fixture.ask(5, {30}, now).m_status == reserve_status::out_of_date);
    CHECK(fixture.m_owner.level(test_organisation, now) == Approx(40));
    fixture.report(2, 0, 60, now);
    fixture.report(2, 0, 60, now);
    CHECK(fixture.m_owner.level(test_organisation, now) == Approx(100));
}

// Guards against a retry delay after which the call is refused again.
TEST_CASE("a refusal returns the time until the tokens are available")
{
    owner_fixture fixture;
    time_point const now = start + 60s;
    fixture.ask(1, {100}, now);
    reserve_reply const reply = fixture.ask(2, {50}, now + 600ms);
    REQUIRE(reply.m_granted == std::vector{false});
    auto const wait = std::chrono::nanoseconds(reply.m_retry_after[0]);
    CHECK(wait > 400ms);
    CHECK(wait < 600ms);
    CHECK(fixture.ask(3, {50}, now + 600ms + wait).m_granted ==
          std::vector{true});
}

// Guards against one message per call and against reordering of calls.
TEST_CASE("calls that arrive while a message is in flight are batched in order")
{
    client_fixture fixture;
    client_actions const first = fixture.ask("1", 10, start);
    REQUIRE(sent(first, 0).m_amounts == std::vector{token_count(10)});
    CHECK(fixture.ask("2", 20, start).empty());
    CHECK(fixture.ask("3", 30, start).empty());
    client_actions const second =
        fixture.reply(sent(first, 0), {true}, start + 10ms);
    REQUIRE(second.size() == 2);
    CHECK(std::get<call_granted>(second[0]).m_request == request_id("1"));
    CHECK(sent(second, 1).m_amounts ==
          std::vector{token_count(20), token_count(30)});
    CHECK(sent(second, 1).m_reports.size() == 1);
    client_actions const third =
        fixture.reply(sent(second, 1), {false, true}, start + 20ms);
    REQUIRE(third.size() == 2);
    CHECK(std::get<call_refused>(third[0]).m_retry_after == 2s);
    CHECK(std::get<call_granted>(third[1]).m_request == request_id("3"));
}

// Guards against using a reply that was delayed by a pause of the owner or of
// this instance: a new owner may already grant the same tokens.
TEST_CASE("tokens of a reply after the validity are not used but refunded")
{
    client_fixture fixture;
    client_actions const first = fixture.ask("1", 10, start);
    client_actions const late =
        fixture.reply(sent(first, 0), {true}, start + 500ms);
    REQUIRE(late.size() == 1);
    CHECK(std::holds_alternative<call_refused>(late[0]));
    client_actions const settled = fixture.m_client.tick(start + 600ms);
    REQUIRE(settled.size() == 1);
    usage_report const& report =
        std::get<send_settle>(settled[0]).m_message.m_reports.at(0);
    CHECK(report.m_fence == fence_number());
    CHECK(report.m_refund == token_count(10));
}

// Guards against calls that wait forever for an unreachable owner.
TEST_CASE("the static share decides if the owner does not reply")
{
    client_fixture fixture;
    fixture.m_share.set_limits({organisation(1000, 1000)}, 10, 4, start);
    CHECK(fixture.ask("1", 10, start + 60s).size() == 1);
    CHECK(fixture.m_client.tick(start + 60100ms).size() == 1);
    client_actions const actions = fixture.m_client.tick(start + 60250ms);
    REQUIRE(!actions.empty());
    CHECK(std::holds_alternative<call_granted>(actions[0]));
    client_actions const next = fixture.ask("2", 15, start + 60300ms);
    REQUIRE(next.size() == 1);
    CHECK(std::get<call_refused>(next[0]).m_retry_after < 1s);
    fixture.m_owner_id.reset();
    CHECK(fixture.ask("3", 5, start + 70s).size() == 1);
}

// Guards against instances that together grant more than the static share.
TEST_CASE("the static share is divided and starts empty")
{
    bucket_limit const owner = owner_limit(organisation(1000, 2000), 5);
    bucket_limit const share = static_limit(organisation(1000, 2000), 5, 19);
    CHECK(owner.m_rate + (20 * share.m_rate) <= 1000 + 1e-6);
    CHECK(owner.m_burst + (20 * share.m_burst) <= 2000 + 1e-6);
    static_share shares(start);
    shares.set_limits({organisation(1000, 2000)}, 5, 19, start);
    CHECK_FALSE(shares.take(test_organisation, token_count(1), start));
    CHECK(shares.take(test_organisation, token_count(1), start + 1s));
}
