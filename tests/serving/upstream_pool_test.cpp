/** @file Tests of the state of upstreams and of load balancing. */
#include <daisylead/serving/upstream_pool_base.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);
service_id const engines("engines");
model_id const model("m");

upstream_record make_engine(int number, std::int64_t version = 1)
{
    upstream_record record;
    record.m_id = upstream_id("e" + std::to_string(number));
    record.m_service = engines;
    record.m_address = "10.0.0." + std::to_string(number) + ":80";
    record.m_zone = zone_id(number % 2 == 0 ? "a" : "b");
    record.m_slots = 48;
    record.m_started = 5;
    record.m_weights[model] = version;
    return record;
}

std::vector<upstream_record> make_engines(int count, std::int64_t version = 1)
{
    std::vector<upstream_record> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        list.push_back(make_engine(i, version));
    }
    return list;
}

upstream_pool make_pool()
{
    return {{},
            [generator = std::mt19937_64(7)]() mutable
            {
                return generator();
            }};
}

placement_request make_request()
{
    placement_request request;
    request.m_service = engines;
    request.m_model = model;
    request.m_zone = zone_id("a");
    return request;
}

} // namespace

TEST_CASE("a request that no engine can hold is placed or refused")
{
    // Guards against an estimate that is beyond all others, so that no engine
    // was chosen though there were candidates.
    upstream_pool pool = make_pool();
    pool.take_list(make_engines(2), start);
    placement_request request = make_request();
    request.m_capacity = token_count(1000);
    request.m_tokens = token_count(std::int64_t{1} << 53);
    placement const place = pool.place(request, start);
    CHECK(place.m_reason == no_placement::none);
    CHECK_FALSE(place.m_upstream.m_id.empty());
}

TEST_CASE("a leaving upstream receives no new requests")
{
    upstream_pool pool = make_pool();
    std::vector<upstream_record> list = make_engines(2);
    list[0].m_leaving = true;
    pool.take_list(list, start);
    for (int i = 0; i < 20; ++i)
    {
        CHECK(pool.place(make_request(), start).m_upstream.m_id ==
              upstream_id("e1"));
    }
    list[1].m_leaving = true;
    pool.take_list(list, start + 500ms);
    CHECK(pool.place(make_request(), start + 500ms).m_reason ==
          no_placement::no_upstream);
}

TEST_CASE("entries that lapsed in an outage of the store are kept for two "
          "seconds")
{
    upstream_pool pool = make_pool();
    pool.take_list(make_engines(2), start);
    pool.take_list({}, start + 8s);
    CHECK(pool.usable(engines).size() == 2);
    pool.take_list({make_engine(0)}, start + 9s);
    CHECK(pool.usable(engines).size() == 2);
    pool.take_list({make_engine(0)}, start + 10500ms);
    CHECK(pool.usable(engines).size() == 1);
}

TEST_CASE(
    "an upstream removed without an outage of the store is removed at once")
{
    upstream_pool pool = make_pool();
    pool.take_list(make_engines(2), start);
    auto const [added, removed] =
        pool.take_list({make_engine(0)}, start + 500ms);
    CHECK(added.empty());
    CHECK(removed == std::vector{upstream_id("e1")});
    CHECK(pool.usable(engines).size() == 1);
}

TEST_CASE(
    "each version has its own time limit, even when versions follow quickly")
{
    // Guards against engines that keep old weights because each new version
    // restarts the time limit.
    upstream_pool pool = make_pool();
    pool.take_list({make_engine(0, 1)}, start);
    pool.set_newest(model, 2, start);
    pool.set_newest(model, 3, start + 3s);
    pool.set_newest(model, 4, start + 6s);
    CHECK(pool.place(make_request(), start + 6900ms).m_reason ==
          no_placement::none);
    CHECK(pool.place(make_request(), start + 7100ms).m_reason ==
          no_placement::no_upstream);
    CHECK(pool.outdated_for(upstream_id("e0"), model, start + 7s) == 7s);
}

TEST_CASE("a request is not sent to an engine with old weights and full memory")
{
    // Guards against requests that wait at an engine until its weights are too
    // old.
    upstream_pool pool = make_pool();
    pool.take_list({make_engine(0, 1)}, start);
    pool.set_newest(model, 2, start);
    placement_request request = make_request();
    request.m_tokens = token_count(9000);
    request.m_capacity = token_count(100000);
    CHECK(pool.place(request, start + 5s).m_reason == no_placement::none);
    pool.note_sent(upstream_id("e0"), 0, token_count(80000), start);
    CHECK(pool.place(request, start + 4s).m_reason == no_placement::none);
    CHECK(pool.place(request, start + 5s).m_reason ==
          no_placement::no_upstream);
}

TEST_CASE("the time limit of old weights falls with the memory in use")
{
    // Guards against a request that begins on old weights 8.1 s after newer
    // ones are published: sent at 5.9 s, it waits 2.2 s behind 15 others. The
    // limit is 7 s for an idle engine and 4.5 s for a full one.
    upstream_pool pool = make_pool();
    pool.take_list({make_engine(0, 1)}, start);
    pool.set_newest(model, 2, start);
    placement_request request = make_request();
    request.m_tokens = token_count(5000);
    request.m_capacity = token_count(100000);
    pool.note_sent(upstream_id("e0"), 0, token_count(55000), start);
    CHECK(pool.place(request, start + 5s).m_reason == no_placement::none);
    CHECK(pool.place(request, start + 5900ms).m_reason ==
          no_placement::no_upstream);
}

TEST_CASE("the time limit of old weights falls with the slots in use")
{
    // Guards against a request that begins on old weights 8.5 s after newer
    // ones are published: sent at 6.4 s, it waits 2 s for a slot.
    upstream_pool pool = make_pool();
    pool.take_list({make_engine(0, 1)}, start);
    pool.set_newest(model, 2, start);
    placement_request request = make_request();
    request.m_tokens = token_count(1000);
    request.m_capacity = token_count(100000);
    in_flight_counts counts;
    counts.push_back({upstream_id("e0"), 44, 20000});
    pool.note_peer(instance_id("p"), counts, start);
    CHECK(pool.place(request, start + 4s).m_reason == no_placement::none);
    CHECK(pool.place(request, start + 6400ms).m_reason ==
          no_placement::no_upstream);
}

TEST_CASE("a request that cannot be taken back is not sent to an engine whose "
          "weights expire soon")
{
    upstream_pool pool = make_pool();
    pool.take_list({make_engine(0, 1)}, start);
    pool.set_newest(model, 2, start);
    placement_request request = make_request();
    CHECK(pool.place(request, start + 5s).m_reason == no_placement::none);
    request.m_repeatable = false;
    CHECK(pool.place(request, start + 4s).m_reason == no_placement::none);
    CHECK(pool.place(request, start + 5s).m_reason ==
          no_placement::no_upstream);
}

TEST_CASE(
    "a request that has not begun is taken back before the weights expire")
{
    upstream_pool pool = make_pool();
    pool.take_list(make_engines(2), start);
    pool.note_weights({upstream_id("e1"), 5, model, 2}, start);
    pool.set_newest(model, 2, start);
    CHECK_FALSE(pool.must_recall(upstream_id("e0"), model, start + 7s));
    CHECK(pool.must_recall(upstream_id("e0"), model, start + 7900ms));
    CHECK_FALSE(pool.must_recall(upstream_id("e1"), model, start + 7900ms));
}

TEST_CASE("the time limits of old weights follow the setting")
{
    upstream_pool_options options;
    options.m_max_weights_age = 10s;
    upstream_pool pool(options, [] { return std::uint64_t{7}; });
    pool.take_list({make_engine(0, 1)}, start);
    pool.set_newest(model, 2, start);
    CHECK(pool.place(make_request(), start + 8900ms).m_reason ==
          no_placement::none);
    CHECK(pool.place(make_request(), start + 9100ms).m_reason ==
          no_placement::no_upstream);
}

TEST_CASE("engines with the newest weights are preferred after a delay")
{
    upstream_pool pool = make_pool();
    pool.take_list({make_engine(0, 1), make_engine(1, 2)}, start);
    pool.set_newest(model, 2, start);
    CHECK(pool.place(make_request(), start + 2s).m_upstream.m_id ==
          upstream_id("e1"));
}

TEST_CASE("the loading state of an engine expires when the lease holder fails")
{
    upstream_pool pool = make_pool();
    pool.take_list({make_engine(0)}, start);
    pool.note_weights({upstream_id("e0"), 5, model, 1, true}, start);
    CHECK(pool.place(make_request(), start + 1s).m_reason ==
          no_placement::all_busy);
    CHECK(pool.place(make_request(), start + 1600ms).m_reason ==
          no_placement::none);
}

TEST_CASE("weights reported for an earlier run of an engine are ignored")
{
    upstream_pool pool = make_pool();
    pool.take_list({make_engine(0)}, start);
    pool.note_weights({upstream_id("e0"), 4, model, 9, true}, start);
    CHECK(pool.place(make_request(), start).m_weights == 1);
}

TEST_CASE("an unreachable upstream is excluded with growing backoff")
{
    upstream_pool pool = make_pool();
    pool.take_list({make_engine(0)}, start);
    pool.note_unreachable(upstream_id("e0"), start);
    CHECK(pool.place(make_request(), start + 300ms).m_reason ==
          no_placement::all_busy);
    CHECK(pool.place(make_request(), start + 500ms).m_reason ==
          no_placement::none);
    pool.note_unreachable(upstream_id("e0"), start + 500ms);
    CHECK(pool.place(make_request(), start + 1200ms).m_reason ==
          no_placement::all_busy);
}

TEST_CASE(
    "requests with the same prefix go to the same engine until it is busy")
{
    upstream_pool pool = make_pool();
    pool.take_list(make_engines(18), start);
    placement_request request = make_request();
    request.m_prefix = 4711;
    request.m_prefix_tokens = token_count(6300);
    upstream_id const home = pool.place(request, start).m_upstream.m_id;
    pool.note_sent(home, request.m_prefix, token_count(9000), start);
    CHECK(pool.place(request, start).m_upstream.m_id == home);
    for (int i = 0; i < 40; ++i)
    {
        pool.note_sent(home, request.m_prefix, token_count(9000), start);
    }
    CHECK(pool.place(request, start).m_upstream.m_id != home);
}

TEST_CASE("prompts are distributed by the memory that they need")
{
    // Guards against a choice by request counts alone: eleven long prompts fill
    // the memory of an engine, and twenty short requests do not.
    upstream_pool pool = make_pool();
    pool.take_list(make_engines(2), start);
    for (int i = 0; i < 11; ++i)
    {
        pool.note_sent(upstream_id("e0"), 0, token_count(9200), start);
        pool.note_first_bytes(upstream_id("e0"));
    }
    for (int i = 0; i < 20; ++i)
    {
        pool.note_sent(upstream_id("e1"), 0, token_count(900), start);
        pool.note_first_bytes(upstream_id("e1"));
    }
    placement_request request = make_request();
    request.m_tokens = token_count(9200);
    request.m_capacity = token_count(106776);
    CHECK(pool.place(request, start).m_upstream.m_id == upstream_id("e1"));
}

TEST_CASE("requests of peers are counted until the peer leaves")
{
    upstream_pool pool = make_pool();
    pool.take_list(make_engines(1), start);
    pool.note_peer(instance_id("p"), {{upstream_id("e0"), 96, 1000}}, start);
    CHECK(pool.place(make_request(), start).m_reason == no_placement::all_busy);
    pool.note_peer(instance_id("p"), {{upstream_id("e0"), 5, 50}}, start);
    CHECK(pool.in_flight(upstream_id("e0")) == 5);
    pool.drop_peer(instance_id("p"));
    CHECK(pool.in_flight(upstream_id("e0")) == 0);
}

TEST_CASE("an upstream gets no more than its request rate, the others the rest")
{
    upstream_pool pool = make_pool();
    pool.take_list(make_engines(3), start);
    upstream_id const limited("e0");
    CHECK_FALSE(pool.note_rate({limited, 2.0, start}, 4));
    CHECK(pool.note_rate({limited, 2.0, start}, 5));
    int sent = 0;
    for (time_point now = start; now < start + 4s; now += 10ms)
    {
        placement const place = pool.place(make_request(), now);
        REQUIRE(place.m_reason == no_placement::none);
        CHECK_FALSE(place.m_next_send);
        sent += place.m_upstream.m_id == limited ? 1 : 0;
    }
    CHECK(sent > 4);
    CHECK(sent <= 8);
}

TEST_CASE("a request that waits for a request rate alone is told how long")
{
    upstream_pool pool = make_pool();
    pool.take_list(make_engines(1), start);
    REQUIRE(pool.note_rate({upstream_id("e0"), 2.0, start}, 5));
    placement const early = pool.place(make_request(), start + 100ms);
    CHECK(early.m_reason == no_placement::all_busy);
    REQUIRE(early.m_next_send);
    CHECK(*early.m_next_send == start + 500ms);
    CHECK(early.m_rate_wait == 400ms);
    CHECK(pool.place(make_request(), start + 500ms).m_reason ==
          no_placement::none);
    // A full upstream may become free before that time.
    pool.note_refused(upstream_id("e0"), 60ms, start + 600ms);
    CHECK_FALSE(pool.place(make_request(), start + 610ms).m_next_send);
}

TEST_CASE("an upstream with an old request rate is asked although others are "
          "better")
{
    // Guards against a limit whose end nobody notices.
    upstream_pool pool = make_pool();
    pool.take_list(make_engines(3), start);
    upstream_id const limited("e0");
    pool.note_peer(instance_id("p"), {{limited, 40, 0}}, start);
    REQUIRE(pool.note_rate({limited, 2.0, start}, 5));
    int sent = 0;
    for (time_point now = start; now < start + 3s; now += 10ms)
    {
        sent += pool.place(make_request(), now).m_upstream.m_id == limited;
    }
    CHECK(sent == 0);
    for (time_point now = start + 3010ms; now < start + 4s; now += 10ms)
    {
        sent += pool.place(make_request(), now).m_upstream.m_id == limited;
    }
    CHECK(sent == 2);
    CHECK_FALSE(pool.note_rate({limited, 2.0, start + 4s}, 5));
    CHECK(pool.place(make_request(), start + 6s).m_upstream.m_id != limited);
}

TEST_CASE("an upstream that restarted has no request rate of its former run")
{
    upstream_pool pool = make_pool();
    std::vector<upstream_record> list = make_engines(1);
    pool.take_list(list, start);
    REQUIRE(pool.note_rate({upstream_id("e0"), 1.0, start}, 5));
    list[0].m_started = 6;
    pool.take_list(list, start + 100ms);
    CHECK_FALSE(pool.rates().limit(upstream_id("e0")));
    CHECK(pool.place(make_request(), start + 100ms).m_reason ==
          no_placement::none);
}

TEST_CASE("a restored store brings no upstream back that leaves or has left")
{
    upstream_pool pool = make_pool();
    std::vector<upstream_record> const all = make_engines(4);
    pool.take_list(all, start);
    std::vector<upstream_record> later = all;
    later[1].m_leaving = true;
    pool.take_list(later, start + 500ms);
    later.pop_back(); // engine 3 has left
    pool.take_list(later, start + 1000ms);
    later.push_back(make_engine(9)); // registered after the copy was made
    pool.take_list(later, start + 1500ms);

    pool.note_store_restored(start + 2s);
    pool.take_list(all, start + 2s);
    auto const is_used = [&](int number)
    {
        auto const list = pool.usable(engines);
        return std::any_of(list.begin(), list.end(),
                           [&](upstream_record const& item)
                           { return item.m_id == make_engine(number).m_id; });
    };
    CHECK(is_used(0));
    CHECK_FALSE(is_used(1));
    CHECK_FALSE(is_used(3));
    CHECK(is_used(9));
    // What the list still shows later has been written again.
    for (auto now = start + 2500ms; now < start + 9s; now += 500ms)
    {
        pool.note_list_unchanged(all, now);
    }
    CHECK_FALSE(is_used(1));
    CHECK(is_used(3));
    CHECK_FALSE(is_used(9));
}

TEST_CASE("an engine that has gone back to older weights is known to have them")
{
    // Guards against an engine that carries out an older order after a restart
    // under its id: with the newer version on record, it would reject all
    // requests and never be ordered again.
    upstream_pool pool = make_pool();
    std::vector<upstream_record> list = make_engines(1, 3);
    pool.set_newest(model, 3, start);
    pool.take_list(list, start);
    REQUIRE_FALSE(pool.has_older_weights(model, 3));
    list[0].m_started = 6; // the restart; a report or a response says so, too
    pool.take_list(list, start + 1s);
    pool.note_weights({list[0].m_id, 6, model, 3, false}, start + 1s);
    list[0].m_weights[model] = 2;
    for (auto now = start + 2s; now <= start + 12s; now += 500ms)
    {
        pool.take_list(list, now);
    }
    CHECK(pool.has_older_weights(model, 3));
    CHECK(pool.find(list[0].m_id)->m_weights.at(model) == 2);
}
