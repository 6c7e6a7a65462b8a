/** @file Tests of the order planner. */
#include <daisylead/orders/order_planner_base.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace daisylead;
using namespace daisylead::orders;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours(1)};
constexpr milliseconds load_duration{700};

config::configuration make_configuration(int engines, std::string version,
                                         bool fenced)
{
    config::configuration rules;
    rules.m_rules.m_loads_at_once = 2;
    rules.m_models.push_back(
        {model_id("m"), weights_version(std::move(version))});
    for (int i = 0; i < engines; ++i)
    {
        config::upstream engine;
        engine.m_id = upstream_id("e" + std::to_string(i));
        engine.m_models = {model_id("m")};
        engine.m_fenced_orders = fenced;
        rules.m_upstreams.push_back(engine);
    }
    return rules;
}

struct fake_engine
{
    std::string m_version = "old";
    std::string m_loading_version;
    time_point m_load_ends_at;
    fence_number m_fence;

    void update(time_point now)
    {
        if (!m_loading_version.empty() && m_load_ends_at <= now)
        {
            m_version = std::exchange(m_loading_version, {});
        }
    }
};

/** A planner with simulated engines; the test decides when each pending action
 *  is answered, and how. */
class planner_fixture
{
public:
    explicit planner_fixture(config::configuration const& rules) : m_planner({})
    {
        m_planner.set_configuration(rules, m_now);
    }

    void hold(std::int64_t fence, milliseconds length)
    {
        queue_actions(m_planner.set_term(
            {fence_number(fence), m_now + length, m_now - seconds(60)}, m_now));
    }

    void queue_actions(order_planner::actions const& actions)
    {
        m_pending_actions.insert(m_pending_actions.end(), actions.begin(),
                                 actions.end());
        for (order_action const& item : actions)
        {
            m_orders += std::holds_alternative<send_order>(item) ? 1 : 0;
            m_ended = m_ended || std::holds_alternative<end_term>(item);
        }
    }

    /** Executes the oldest pending action.
     *  @param outcome of an order; unknown lets a read fail */
    void answer_one(order_outcome outcome = order_outcome::accepted)
    {
        if (m_pending_actions.empty())
        {
            return;
        }
        order_action const item = m_pending_actions.front();
        m_pending_actions.pop_front();
        if (auto const* read = std::get_if<read_state>(&item))
        {
            fake_engine& engine = m_engines[read->m_upstream];
            engine.update(m_now);
            engine_state const state{!engine.m_loading_version.empty(),
                                     {{"m", engine.m_version}}};
            bool const fails = outcome == order_outcome::unknown;
            queue_actions(m_planner.on_state(
                read->m_read, fails ? std::nullopt : std::optional(state),
                m_now));
        }
        if (auto const* order = std::get_if<send_order>(&item))
        {
            queue_actions(m_planner.on_order(
                order->m_order, carry_out(*order, outcome), m_now));
        }
    }

    void answer_all()
    {
        for (int i = 0; i < 10000 && !m_pending_actions.empty(); ++i)
        {
            answer_one();
        }
    }

    void advance(milliseconds time)
    {
        m_now += time;
        auto const due = m_planner.next_timer();
        if (due && *due <= m_now)
        {
            queue_actions(m_planner.on_timer(m_now));
        }
        for (auto& [id, engine] : m_engines)
        {
            engine.update(m_now);
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            advance(milliseconds(100));
            answer_all();
        }
    }

    bool all_have(std::string const& version, std::size_t engines) const
    {
        return m_engines.size() == engines &&
               std::all_of(m_engines.begin(), m_engines.end(),
                           [&](auto const& entry)
                           { return entry.second.m_version == version; });
    }

    order_planner m_planner;
    time_point m_now = start;
    std::map<upstream_id, fake_engine> m_engines;
    std::deque<order_action> m_pending_actions;
    int m_orders = 0;
    std::size_t m_max_concurrent_loads = 0;
    bool m_ended = false;

private:
    order_outcome carry_out(send_order const& order, order_outcome outcome)
    {
        if (outcome == order_outcome::refused || order.m_send_before <= m_now)
        {
            return order.m_send_before <= m_now ? order_outcome::not_sent
                                                : outcome;
        }
        fake_engine& engine = m_engines[order.m_upstream];
        if (order.m_fence < engine.m_fence)
        {
            return order_outcome::stale_fence;
        }
        engine.m_fence = order.m_fence;
        engine.m_loading_version = order.m_item.m_version;
        engine.m_load_ends_at = m_now + load_duration;
        auto const loads =
            std::count_if(m_engines.begin(), m_engines.end(),
                          [](auto const& entry)
                          { return !entry.second.m_loading_version.empty(); });
        m_max_concurrent_loads =
            std::max(m_max_concurrent_loads, static_cast<std::size_t>(loads));
        return outcome;
    }
};

} // namespace

// Guards against more concurrent loads than configured and against repeated
// orders to engines that already have the version.
TEST_CASE("all engines get the configured version, two loads at a time")
{
    planner_fixture test(make_configuration(9, "new", true));
    test.hold(1, seconds(600));
    test.run(100);
    CHECK(test.all_have("new", 9));
    CHECK(test.m_max_concurrent_loads == 2);
    CHECK(test.m_orders == 9);
    test.run(1000);
    CHECK(test.m_orders == 9);
    CHECK(test.m_planner.loads_running() == 0);
}

// Guards against orders of two lease holders that reach an engine out of order.
TEST_CASE("a new holder sends no order while one of the last may take effect")
{
    planner_fixture test(make_configuration(1, "new", false));
    test.queue_actions(test.m_planner.set_term(
        {fence_number(2), start + seconds(600), start + seconds(5)}, start));
    test.run(149);
    CHECK(test.m_orders == 0);
    test.run(2);
    CHECK(test.m_orders == 1);
}

// Guards against a holder that sends an order after a pause although its lease
// has ended.
TEST_CASE("a paused holder sends no order after its lease until it is renewed")
{
    bool const fenced = GENERATE(true, false);
    planner_fixture test(make_configuration(1, "new", fenced));
    test.hold(1, seconds(5));
    test.advance(milliseconds(1));
    test.answer_one();
    REQUIRE(std::holds_alternative<read_state>(test.m_pending_actions.front()));
    SECTION("the pause comes before the decision")
    {
        // Without fencing, the last second of the lease is excluded too.
        test.m_now = start + (fenced ? seconds(5) : seconds(4));
        test.answer_all();
        CHECK(test.m_orders == 0);
        test.hold(1, seconds(5));
        test.answer_all();
        CHECK(test.m_orders == 1);
    }
    SECTION("the pause comes between the decision and the send")
    {
        test.answer_one();
        auto const order = std::get<send_order>(test.m_pending_actions.front());
        CHECK(order.m_send_before ==
              start + (fenced ? seconds(5) : seconds(4)));
    }
}

// Guards against a former holder that continues to send orders.
TEST_CASE("a stale fencing number ends the term permanently")
{
    planner_fixture test(make_configuration(3, "new", true));
    test.m_engines[upstream_id("e1")].m_fence = fence_number(8);
    test.hold(7, seconds(600));
    test.run(100);
    CHECK(test.m_ended);
    CHECK_FALSE(test.m_planner.has_term());
    int const orders = test.m_orders;
    test.hold(7, seconds(600));
    test.run(100);
    CHECK(test.m_orders == orders);
    test.hold(9, seconds(600));
    test.run(100);
    CHECK(test.all_have("new", 3));
}

// Guards against an excess load: an order whose response was lost may still
// start its load.
TEST_CASE("an order with unknown outcome counts as a load until its timeout")
{
    planner_fixture test(make_configuration(1, "new", true));
    test.hold(1, seconds(600));
    test.advance(milliseconds(1));
    test.answer_one();
    test.answer_one();
    auto const order = std::get<send_order>(test.m_pending_actions.front());
    test.m_pending_actions.clear();
    test.queue_actions(test.m_planner.on_order(
        order.m_order, order_outcome::unknown, test.m_now));
    test.run(99);
    CHECK(test.m_planner.loads_running() == 1);
    CHECK(test.m_orders == 1);
    test.run(30);
    CHECK(test.m_orders == 2);
}

// Guards against a stream of orders to an engine that refuses them.
TEST_CASE("orders to an engine that refuses them back off")
{
    planner_fixture test(make_configuration(1, "new", true));
    test.hold(1, seconds(6000));
    for (int i = 0; i < 3000; ++i)
    {
        test.advance(milliseconds(100));
        while (!test.m_pending_actions.empty())
        {
            test.answer_one(order_outcome::refused);
        }
    }
    CHECK(test.m_orders > 5);
    CHECK(test.m_orders < 15);
}

// Guards against an old version that stays loaded because an engine without
// fencing executed a delayed order.
TEST_CASE("the effect of a late order on an engine without fencing is repaired")
{
    planner_fixture test(make_configuration(1, "new", false));
    test.hold(1, seconds(600));
    test.run(30);
    REQUIRE(test.all_have("new", 1));
    test.m_engines[upstream_id("e0")].m_version = "old";
    test.run(130);
    CHECK(test.all_have("new", 1));
}

// Guards against an excess load: a removed engine may still be loading.
TEST_CASE("a load of an engine removed from the configuration keeps its slot")
{
    planner_fixture test(make_configuration(2, "new", true));
    test.hold(1, seconds(600));
    test.advance(milliseconds(1));
    test.answer_all();
    REQUIRE(test.m_planner.loads_running() == 2);
    test.queue_actions(test.m_planner.set_configuration(
        make_configuration(0, "new", true), test.m_now));
    CHECK(test.m_planner.loads_running() == 2);
    test.run(110);
    CHECK(test.m_planner.loads_running() == 0);
}

// Guards against sequences of refused, lost and late responses that exceed the
// load limit or keep an engine from its desired version.
TEST_CASE("random outcomes keep the load limit and end in the desired state")
{
    CHECK(rc::check(
        [](std::vector<std::uint8_t> const& choices, bool fenced)
        {
            planner_fixture test(make_configuration(5, "v1", fenced));
            test.hold(1, seconds(3));
            int version = 1;
            for (std::uint8_t const choice : choices)
            {
                constexpr order_outcome outcomes[] = {order_outcome::accepted,
                                                      order_outcome::refused,
                                                      order_outcome::unknown};
                if (choice % 16 == 0)
                {
                    test.queue_actions(test.m_planner.set_configuration(
                        make_configuration(5, "v" + std::to_string(++version),
                                           fenced),
                        test.m_now));
                }
                if (choice % 16 == 1)
                {
                    test.hold(1, seconds(3));
                }
                test.advance(milliseconds(choice));
                test.answer_one(outcomes[choice % 3]);
            }
            test.hold(1, seconds(6000));
            test.run(2500);
            RC_ASSERT(test.all_have("v" + std::to_string(version), 5));
            RC_ASSERT(test.m_max_concurrent_loads <= 2U);
        }));
}

// Guards against missing or excess adapters in the desired state.
TEST_CASE("an engine gets the adapters of its models and those it lists")
{
    config::configuration rules = make_configuration(1, "v", true);
    rules.m_adapters = {
        {adapter_id("a"), model_id("m"), weights_version("1"), {}},
        {adapter_id("b"), model_id("other"), weights_version("1"), {}},
        {adapter_id("c"), model_id("other"), weights_version("2"), {}}};
    rules.m_upstreams.front().m_models.push_back(model_id("c"));
    auto const items = desired_items(rules, rules.m_upstreams.front());
    REQUIRE(items.size() == 3);
    CHECK(items[0] == order_item{order_kind::load_model, "m", "m", "v"});
    CHECK(items[1] == order_item{order_kind::load_adapter, "a", "m", "1"});
    CHECK(items[2] == order_item{order_kind::load_adapter, "c", "other", "2"});
    engine_state const state{false, {{"m", "v"}, {"a", "0"}, {"c", "2"}}};
    REQUIRE(find_missing(items, state) != nullptr);
    CHECK(find_missing(items, state)->m_name == "a");
}
