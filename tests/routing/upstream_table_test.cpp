/** @file Tests of upstream selection. */
#include <daisylead/routing/upstream_table_base.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <random>
#include <set>

using namespace daisylead;
using namespace daisylead::routing;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(1)};

config::upstream engine(std::string const& id, std::string const& zone = "z")
{
    config::upstream item;
    item.m_id = upstream_id(id);
    item.m_zone = zone_id(zone);
    item.m_models = {model_id("m")};
    return item;
}

load_report report(std::int64_t tokens, duration age = 0ms,
                   std::string const& version = "1")
{
    load_report item;
    item.m_incarnation = incarnation(1);
    item.m_waiting_tokens = token_count(tokens);
    item.m_age = age;
    item.m_models = {{model_id("m"), weights_version(version)}};
    return item;
}

/** Waiting and recomputation cost exactly their time, so that tests can compute
 *  the thresholds. */
table_options plain_options()
{
    table_options options;
    options.m_recompute_weight = 1;
    options.m_half_weight_wait = 1000h;
    options.m_rank_cost = 0ms;
    options.m_max_wait = duration::max();
    return options;
}

struct fixture
{
    std::mt19937_64 m_random{1};
    upstream_table m_table{plain_options(), [this]
                           {
                               return m_random();
                           }};
    std::vector<config::upstream> m_upstreams;
    prefix::cached_blocks m_cached;
    std::vector<prefix::block_hash> m_blocks{11, 12, 13, 14, 15, 16, 17, 18};
    std::vector<upstream_id> m_exclude;

    explicit fixture(int engines)
    {
        for (int number = 0; number < engines; ++number)
        {
            m_upstreams.push_back(engine("e" + std::to_string(number)));
        }
        m_table.apply_configuration(m_upstreams);
        m_cached.resize(m_upstreams.size());
    }

    upstream_id id(int number) const
    {
        return m_upstreams[static_cast<std::size_t>(number)].m_id;
    }

    choice_request request() const
    {
        choice_request item;
        item.m_model = model_id("m");
        item.m_weights_version = weights_version("1");
        item.m_zone = zone_id("z");
        item.m_blocks = m_blocks;
        item.m_cached = m_cached;
        item.m_exclude = m_exclude;
        item.m_prompt_tokens = token_count(8000);
        item.m_block_tokens = token_count(1000);
        return item;
    }

    std::optional<upstream_id> choose(time_point now = start)
    {
        return m_table.choose(request(), now).m_upstream;
    }
};

} // namespace

TEST_CASE("the engine that caches the prefix is chosen until its wait exceeds "
          "the time of recomputation")
{
    fixture test(4);
    test.m_cached[2] = 8;
    CHECK(test.choose() == test.id(2));
    test.m_table.apply_load_report(test.id(2), report(7000), start);
    CHECK(test.choose() == test.id(2));
    test.m_table.apply_load_report(test.id(2), report(9000), start);
    CHECK(test.choose() != test.id(2));
}

TEST_CASE("the recomputation weight favours the engine with the prefix")
{
    // Guards against copying a prefix to every engine as soon as the engine
    // that caches it has a short queue, which makes the caches thrash.
    fixture test(4);
    table_options options = plain_options();
    options.m_recompute_weight = 3;
    test.m_table.set_options(options);
    test.m_cached[2] = 8;
    test.m_table.apply_load_report(test.id(2), report(23000), start);
    CHECK(test.choose() == test.id(2));
    test.m_table.apply_load_report(test.id(2), report(25000), start);
    CHECK(test.choose() != test.id(2));
}

TEST_CASE("longer waits at all engines do not spread a prefix further")
{
    // Guards against an overload that grows because prefixes are recomputed.
    fixture test(4);
    table_options options = plain_options();
    options.m_half_weight_wait = 500ms;
    test.m_table.set_options(options);
    test.m_cached[2] = 8;
    for (int number = 0; number < 4; ++number)
    {
        test.m_table.apply_load_report(
            test.id(number), report(number == 2 ? 100000 : 85000), start);
    }
    CHECK(test.choose() == test.id(2));
}

TEST_CASE("a request is held when its best engine has a long wait")
{
    // Guards against recomputation at an engine without the prefix.
    fixture test(2);
    table_options options;
    options.m_max_wait = 500ms;
    test.m_table.set_options(options);
    test.m_cached[1] = 8;
    test.m_table.apply_load_report(test.id(1), report(4100), start);
    CHECK_FALSE(test.choose());
    CHECK(test.choose(start + 20ms) == test.id(1));
}

TEST_CASE("requests sent after a load report are added to its load")
{
    fixture test(2);
    test.m_cached = {8, 4};
    test.m_table.note_sent(test.id(0), token_count(6000), start);
    CHECK(test.choose() == test.id(1));
    // Taken before the request was sent, so the request is added.
    test.m_table.apply_load_report(test.id(0), report(0, 100ms), start + 50ms);
    CHECK(test.choose(start + 50ms) == test.id(1));
    // Taken after it was sent, so the report includes it.
    test.m_table.apply_load_report(test.id(0), report(0), start + 60ms);
    CHECK(test.choose(start + 60ms) == test.id(0));
}

TEST_CASE("a load report older than the current one is ignored")
{
    fixture test(2);
    test.m_cached = {8, 4};
    test.m_table.apply_load_report(test.id(0), report(50000), start);
    test.m_table.apply_load_report(test.id(0), report(0, 500ms), start + 1ms);
    CHECK(test.choose(start + 1ms) == test.id(1));
}

TEST_CASE("any source that reports leaving stops new requests")
{
    fixture test(2);
    test.m_cached = {8, 0};
    REQUIRE(test.choose() == test.id(0));
    std::vector<upstream_id> const list{test.id(0)};
    SECTION("configuration")
    {
        test.m_upstreams[0].m_state = config::upstream_state::leaving;
        test.m_table.apply_configuration(test.m_upstreams);
    }
    SECTION("instance list")
    {
        test.m_table.apply_instance_list(list);
    }
    SECTION("load report, although the instance list does not include it")
    {
        load_report leaving = report(0);
        leaving.m_state = engine_state::leaving;
        test.m_table.apply_load_report(test.id(0), leaving, start);
        test.m_table.apply_instance_list({});
    }
    SECTION("peer")
    {
        test.m_table.note_peer_leaving(test.id(0), start);
    }
    SECTION("refused connection, although an older report says serving")
    {
        test.m_table.apply_load_report(test.id(0), report(0), start - 1s);
        test.m_table.note_refused(test.id(0), start);
        test.m_table.apply_load_report(test.id(0), report(0, 10ms), start);
    }
    CHECK(test.m_table.is_leaving(test.id(0), start));
    CHECK(test.choose() == test.id(1));
}

TEST_CASE("engines with another weights version or excluded are not chosen")
{
    fixture test(3);
    test.m_cached = {8, 8, 0};
    test.m_table.apply_load_report(test.id(0), report(0, 0ms, "2"), start);
    test.m_exclude = {test.id(1)};
    CHECK(test.choose() == test.id(2));
    test.m_exclude.push_back(test.id(2));
    CHECK_FALSE(test.choose());
}

TEST_CASE("after failures, one probe at a time is sent until one succeeds")
{
    fixture test(1);
    test.m_table.note_failed(test.id(0), start);
    test.m_table.note_failed(test.id(0), start);
    CHECK_FALSE(test.choose(start + 400ms));
    time_point const later = start + 600ms;
    REQUIRE(test.choose(later));
    send_number const probe =
        test.m_table.note_sent(test.id(0), token_count(1), later);
    CHECK_FALSE(test.choose(later));
    SECTION("it fails: the penalty is longer")
    {
        test.m_table.note_failed(test.id(0), later);
        test.m_table.note_ended(probe, false);
        CHECK_FALSE(test.choose(later + 900ms));
        CHECK(test.choose(later + 1100ms));
    }
    SECTION("it is cancelled: another probe may be sent")
    {
        test.m_table.note_ended(probe, false);
        CHECK(test.choose(later));
    }
    SECTION("it succeeds")
    {
        test.m_table.note_first_token(probe, later + 10ms);
        CHECK(test.choose(later + 10ms));
    }
}

TEST_CASE("requests in flight are bounded, and each end counts once")
{
    fixture test(1);
    table_options options;
    options.m_max_in_flight = 1;
    test.m_table.set_options(options);
    send_number const sent =
        test.m_table.note_sent(test.id(0), token_count(1), start);
    CHECK_FALSE(test.choose());
    test.m_table.note_ended(sent, true);
    test.m_table.note_ended(sent, true);
    CHECK(test.choose());
}

TEST_CASE("without cache data a prefix always goes to the same engine, and "
          "different prefixes are spread")
{
    fixture test(18);
    test.m_table.set_options(table_options());
    auto const first = test.choose();
    CHECK(test.choose() == first);
    std::set<upstream_id> chosen;
    for (prefix::block_hash key = 0; key < 100; ++key)
    {
        test.m_blocks = {key * 7919 + 1};
        chosen.insert(*test.choose());
    }
    CHECK(chosen.size() > 12);
}

TEST_CASE("upstreams keep their numbers when the inventory changes")
{
    fixture test(3);
    auto const kept = test.m_table.number_of(test.id(2));
    auto const gone = test.m_table.number_of(test.id(0));
    send_number const sent =
        test.m_table.note_sent(test.id(0), token_count(1), start);
    std::vector<config::upstream> const next{test.m_upstreams[2],
                                             engine("new")};
    auto const removed = test.m_table.apply_configuration(next);
    CHECK(removed.size() == 2);
    CHECK(test.m_table.number_of(test.id(2)) == kept);
    CHECK(test.m_table.number_of(upstream_id("new")) == gone);
    // The end of a request to the removed upstream must not affect the one
    // that got its number.
    test.m_table.note_ended(sent, true);
    CHECK(test.m_table.dump(start)[0]["in_flight"] == 0);
}

TEST_CASE("a service goes to the least loaded upstream of its route")
{
    fixture test(3);
    for (config::upstream& item : test.m_upstreams)
    {
        item.m_kind = config::upstream_kind::service;
    }
    test.m_table.apply_configuration(test.m_upstreams);
    std::vector<upstream_id> const route{test.id(0), test.id(1)};
    choice_request request;
    request.m_route_upstreams = route;
    test.m_table.note_sent(test.id(0), token_count(0), start);
    CHECK(test.m_table.choose(request, start).m_upstream == test.id(1));
}

TEST_CASE("every policy chooses an eligible upstream if there is one")
{
    rc::check(
        []
        {
            fixture test(6);
            table_options options;
            options.m_max_wait = duration::max();
            options.m_policy = *rc::gen::element(
                policy::estimated_ttft, policy::round_robin, policy::least_load,
                policy::bounded_rendezvous);
            options.m_max_in_flight = 3;
            test.m_table.set_options(options);
            std::set<upstream_id> eligible;
            for (int number = 0; number < 6; ++number)
            {
                auto const what = *rc::gen::inRange(0, 4);
                test.m_cached[static_cast<std::size_t>(number)] =
                    *rc::gen::inRange<std::uint16_t>(0, 9);
                if (what == 0)
                {
                    test.m_table.note_peer_leaving(test.id(number), start);
                }
                else if (what == 1)
                {
                    test.m_table.note_failed(test.id(number), start);
                }
                else
                {
                    test.m_table.apply_load_report(
                        test.id(number), report(*rc::gen::inRange(0, 90000)),
                        start);
                    eligible.insert(test.id(number));
                }
            }
            auto const chosen = test.choose();
            RC_ASSERT(chosen.has_value() == !eligible.empty());
            RC_ASSERT(!chosen || eligible.count(*chosen) == 1);
        });
}
