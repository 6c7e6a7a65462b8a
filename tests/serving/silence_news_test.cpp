/** @file Tests of upstreams that take requests and answer nothing. */
#include <daisylead/serving/upstream_list_base.hpp>
#include <daisylead/serving/upstream_pool_base.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);
service_id const engines("engines");
model_id const model("m");
token_count const tokens(100);

upstream_id engine(int number)
{
    return upstream_id("e" + std::to_string(number));
}

std::vector<upstream_record> make_engines(int count)
{
    std::vector<upstream_record> list;
    for (int i = 0; i < count; ++i)
    {
        upstream_record record;
        record.m_id = engine(i);
        record.m_service = engines;
        record.m_address = "10.0.0." + std::to_string(i) + ":80";
        record.m_zone = zone_id("a");
        record.m_slots = 48;
        record.m_started = 5;
        record.m_weights[model] = 1;
        list.push_back(record);
    }
    return list;
}

/** Instances that exchange their news through the message type. */
class fleet
{
public:
    fleet(int instances, int engine_count)
    {
        m_list.replace(make_engines(engine_count));
        for (int i = 0; i < instances; ++i)
        {
            m_pools.push_back(std::make_unique<upstream_pool>(
                upstream_pool_options{},
                [generator = std::mt19937_64(static_cast<std::uint64_t>(i) +
                                             7)]() mutable
                { return generator(); }));
            m_pools.back()->take_list(make_engines(engine_count), start);
        }
    }

    upstream_pool& at(std::size_t instance)
    {
        return *m_pools[instance];
    }

    load_news news_of(std::size_t instance, time_point now) const
    {
        return m_list.to_news(m_pools[instance]->own_in_flight(now));
    }

    void receive(std::size_t to, std::size_t from, load_news const& news,
                 time_point now)
    {
        m_pools[to]->note_peer(name(from), m_list.from_news(news).value(), now);
    }

    /** Has requests of others at all upstreams but the first, so that the first
     *  one has the lowest cost unless it is ruled out. */
    void load_others()
    {
        for (auto const& pool : m_pools)
        {
            pool->note_peer(instance_id("other"),
                            {{engine(1), 20, 20}, {engine(2), 20, 20}}, start);
        }
    }

    /** Each instance reports to each other one. */
    void exchange(time_point now)
    {
        for (std::size_t from = 0; from < m_pools.size(); ++from)
        {
            load_news const news = news_of(from, now);
            for (std::size_t to = 0; to < m_pools.size(); ++to)
            {
                if (to != from)
                {
                    receive(to, from, news, now);
                }
            }
        }
    }

    static instance_id name(std::size_t instance)
    {
        return instance_id("i" + std::to_string(instance));
    }

    upstream_list const& list() const
    {
        return m_list;
    }

private:
    upstream_list m_list;
    std::vector<std::unique_ptr<upstream_pool>> m_pools;
};

placement_request make_request()
{
    placement_request request;
    request.m_service = engines;
    request.m_model = model;
    request.m_zone = zone_id("a");
    return request;
}

/** Sends a request that is not answered. */
void send(upstream_pool& pool, int number, time_point now)
{
    pool.note_sent(engine(number), 0, tokens, now);
}

/** Answers the request that was sent last. */
void answer(upstream_pool& pool, int number, time_point now)
{
    pool.note_bytes(engine(number), now);
    pool.note_first_bytes(engine(number));
    pool.note_ended(engine(number), true, tokens);
}

/** @return how many of some requests at one time, which are not sent, go to
 *          the engine. */
int count_placed(upstream_pool& pool, int number, time_point now)
{
    int placed = 0;
    for (int i = 0; i < 200; ++i)
    {
        placed +=
            pool.place(make_request(), now).m_upstream.m_id == engine(number)
                ? 1
                : 0;
    }
    return placed;
}

/** @return as count_placed(), of requests that may not be repeated and so are
 *          no trials. */
int count_kept(upstream_pool& pool, int number, time_point now)
{
    int placed = 0;
    placement_request request = make_request();
    request.m_repeatable = false;
    for (int i = 0; i < 200; ++i)
    {
        placed += pool.place(request, now).m_upstream.m_id == engine(number);
    }
    return placed;
}

} // namespace

TEST_CASE("an upstream that is silent for all instances is left by one that "
          "never sent to it")
{
    // Guards against instances that each find a silent upstream by losing a
    // request of their own.
    fleet test(3, 3);
    test.load_others();
    send(test.at(0), 0, start);
    send(test.at(1), 0, start + 200ms);
    test.exchange(start + 1s);
    CHECK_FALSE(test.at(2).is_silent(engine(0), start + 1s));
    test.exchange(start + 1800ms);
    CHECK(test.at(2).is_silent(engine(0), start + 1800ms));
    CHECK(count_kept(test.at(2), 0, start + 1800ms) == 0);
    // An upstream without requests in progress cannot be silent.
    CHECK_FALSE(test.at(2).is_silent(engine(1), start + 1800ms));
}

TEST_CASE("the silence of an upstream passes through a relay at low load")
{
    // Guards against a relay that omits the upstream as its load is low, and
    // against a relay whose group has a new request at it, which shows nothing.
    fleet test(3, 3);
    upstream_pool& relay = test.at(0);
    send(test.at(1), 0, start);
    time_point const now = start + 2s;
    send(relay, 0, now - 100ms);
    relay.note_peer(fleet::name(1),
                    *test.list().from_news(test.news_of(1, now)), now, true);
    test.receive(2, 0,
                 test.list().to_news(relay.in_flight_without(
                     fleet::name(2), 0.25, now + 100ms)),
                 now + 100ms);
    CHECK(test.at(2).is_silent(engine(0), now + 100ms));
    // The report of the group to other relays.
    test.receive(2, 0, test.news_of(0, now + 200ms), now + 200ms);
    CHECK(test.at(2).is_silent(engine(0), now + 200ms));

    // An answer to the relay reaches the instance that waits in vain.
    answer(relay, 0, now + 300ms);
    test.receive(1, 0,
                 test.list().to_news(relay.in_flight_without(
                     fleet::name(1), 0.25, now + 300ms)),
                 now + 300ms);
    CHECK_FALSE(test.at(1).is_silent(engine(0), now + 300ms));
}

TEST_CASE("one answered request at any instance keeps an upstream")
{
    // Guards against a sound upstream that is ruled out because the requests of
    // one instance hang on a broken connection.
    fleet test(3, 3);
    test.load_others();
    send(test.at(0), 0, start);
    for (time_point now = start + 100ms; now < start + 6s; now += 500ms)
    {
        send(test.at(1), 0, now);
        answer(test.at(1), 0, now + 50ms);
        // Twice, as the instance that got the answer must learn that another
        // one reports a silence.
        test.exchange(now + 60ms);
        test.exchange(now + 70ms);
        for (std::size_t i = 0; i < 3; ++i)
        {
            CHECK_FALSE(test.at(i).is_silent(engine(0), now + 70ms));
        }
    }
    CHECK(count_kept(test.at(2), 0, start + 6s) == 200);
}

TEST_CASE("news of bytes that are not renewed do not rule an upstream out")
{
    // Guards against a lost peer, whose last news grow old, being taken for
    // silent upstreams.
    fleet test(2, 3);
    send(test.at(0), 0, start);
    test.at(0).note_bytes(engine(0), start + 100ms);
    test.exchange(start + 200ms);
    CHECK_FALSE(test.at(1).is_silent(engine(0), start + 10s));
}

TEST_CASE("a silent upstream gets one trial request at a time, and its answer "
          "brings it back")
{
    // Guards against an upstream that recovers and is never used again, and
    // against trials that lose many requests.
    fleet test(2, 3);
    test.load_others();
    send(test.at(0), 0, start);
    time_point const now = start + 2s;
    test.exchange(now);
    upstream_pool& pool = test.at(1);
    CHECK(count_placed(pool, 0, now) == 1);
    CHECK(count_placed(pool, 0, now + 900ms) == 0);
    test.exchange(now + 1100ms);
    CHECK(count_placed(pool, 0, now + 1100ms) == 1);

    // The trial is in progress: no other one, though its interval has passed,
    // and the upstream is no less silent for it.
    send(pool, 0, now + 1100ms);
    test.exchange(now + 2200ms);
    CHECK(pool.is_silent(engine(0), now + 2200ms));
    CHECK(test.at(0).is_silent(engine(0), now + 2200ms));
    CHECK(count_placed(pool, 0, now + 2200ms) == 0);

    answer(pool, 0, now + 2300ms);
    CHECK_FALSE(pool.is_silent(engine(0), now + 2300ms));
    CHECK(count_placed(pool, 0, now + 2300ms) == 200);
    test.exchange(now + 2400ms);
    CHECK_FALSE(test.at(0).is_silent(engine(0), now + 2400ms));
}

TEST_CASE("if all upstreams are silent none is ruled out")
{
    // Guards against a cause elsewhere, such as a broken path, that leaves a
    // service without upstreams.
    fleet test(2, 3);
    for (int i = 0; i < 3; ++i)
    {
        send(test.at(0), i, start);
    }
    time_point const now = start + 2s;
    test.exchange(now);
    for (int i = 0; i < 3; ++i)
    {
        CHECK(test.at(1).is_silent(engine(i), now));
        CHECK(count_kept(test.at(1), i, now) > 0);
    }
}

TEST_CASE("a pause of a second rules no upstream out")
{
    // Guards against a sound upstream that loses requests for a TCP
    // retransmission or a long prompt.
    fleet test(2, 3);
    test.load_others();
    send(test.at(0), 0, start);
    for (time_point now = start; now < start + 10s; now += 100ms)
    {
        if ((now - start) % 1s == 0s)
        {
            test.at(0).note_bytes(engine(0), now);
        }
        test.exchange(now);
        CHECK_FALSE(test.at(0).is_silent(engine(0), now));
        CHECK_FALSE(test.at(1).is_silent(engine(0), now));
    }
    CHECK(count_kept(test.at(1), 0, start + 10s) == 200);
}

TEST_CASE("news of an earlier build rule no upstream out")
{
    // Guards against a missing silence that is read as one without end, or as
    // bytes that have just come.
    fleet test(3, 3);
    test.load_others();
    send(test.at(0), 0, start);
    time_point const now = start + 5s;
    load_news news = test.news_of(0, now);
    REQUIRE(news.m_loads.size() == 1);
    REQUIRE(news.m_loads[0].m_silence_ms == 5000);
    news.m_loads[0].m_silence_ms = 0;
    test.receive(2, 0, news, now);
    CHECK(test.at(2).in_flight(engine(0)) == 1);
    CHECK_FALSE(test.at(2).is_silent(engine(0), now));
    CHECK_FALSE(test.at(2).is_silent(engine(0), now + 10s));
    CHECK(count_kept(test.at(2), 0, now) == 200);

    send(test.at(1), 0, start);
    test.receive(2, 1, test.news_of(1, now), now);
    CHECK(test.at(2).is_silent(engine(0), now));
}

TEST_CASE("an instance whose path is cut reports no silence")
{
    // Guards against one instance without a path that makes all others leave
    // sound upstreams.
    fleet test(2, 3);
    send(test.at(0), 0, start);
    test.at(0).set_cut_services({engines});
    test.exchange(start + 3s);
    CHECK_FALSE(test.at(1).is_silent(engine(0), start + 3s));
}

TEST_CASE("the requests that ended and a former run leave no silence")
{
    // Guards against an idle or restarted upstream that is ruled out for the
    // time in which it had nothing to answer.
    fleet test(2, 3);
    send(test.at(0), 0, start);
    test.at(0).note_ended(engine(0), false, tokens);
    CHECK_FALSE(test.at(0).is_silent(engine(0), start + 5s));
    send(test.at(0), 0, start + 5s);
    CHECK_FALSE(test.at(0).is_silent(engine(0), start + 6s));

    test.exchange(start + 7s);
    REQUIRE(test.at(1).is_silent(engine(0), start + 7s));
    std::vector<upstream_record> list = make_engines(3);
    list[0].m_started = 6;
    for (std::size_t i = 0; i < 2; ++i)
    {
        test.at(i).take_list(list, start + 7100ms);
        CHECK_FALSE(test.at(i).is_silent(engine(0), start + 7100ms));
    }
}

TEST_CASE("a silence is sent in milliseconds from 1 to 65535")
{
    // Guards against a silence under a millisecond that is sent as unknown, and
    // a long one that wraps around to a short one.
    upstream_list list;
    list.replace(make_engines(3));
    load_news const news = list.to_news({{engine(0), 1, 1, 0ms},
                                         {engine(1), 1, 1, 100s},
                                         {engine(2), 1, 1, {}}});
    REQUIRE(news.m_loads.size() == 3);
    CHECK(news.m_loads[0].m_silence_ms == 1);
    CHECK(news.m_loads[1].m_silence_ms == 65535);
    CHECK(news.m_loads[2].m_silence_ms == 0);
    auto const counts = list.from_news(news);
    REQUIRE(counts);
    CHECK((*counts)[1].m_silence == 65535ms);
    CHECK_FALSE((*counts)[2].m_silence);
}
