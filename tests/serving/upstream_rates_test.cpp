/** @file Tests of request rate limits of upstreams and of their division. */
#include <daisylead/serving/rate_division_func.hpp>
#include <daisylead/serving/upstream_rates_base.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);
upstream_id const engine("e1");

/** @return group of each of @p count relays with @p children each. */
std::vector<rate_group> make_fleet(std::size_t count, std::size_t children)
{
    std::vector<rate_group> fleet(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        fleet[i].m_self = instance_id("relay-" + std::to_string(i));
        for (std::size_t j = 0; j < count; ++j)
        {
            if (j != i)
            {
                fleet[i].m_relays.emplace_back("relay-" + std::to_string(j));
            }
        }
        for (std::size_t j = 0; j < children; ++j)
        {
            fleet[i].m_children.emplace_back("child-" + std::to_string(i) +
                                             "-" + std::to_string(j));
        }
    }
    return fleet;
}

/** @return all shares of a fleet other than 0. */
std::vector<double> shares_of(std::vector<rate_group> const& fleet,
                              double per_second)
{
    std::vector<double> shares;
    for (rate_group const& group : fleet)
    {
        rate_division const division = divide_rate(engine, per_second, group);
        shares.push_back(division.m_own);
        for (auto const& [id, share] : division.m_children)
        {
            shares.push_back(share);
        }
    }
    std::erase(shares, 0.0);
    return shares;
}

} // namespace

TEST_CASE("the shares of a fleet add up to the request rate")
{
    // Guards against a sum that grows with the number of instances.
    for (std::size_t const relays : {1U, 2U, 12U, 19U})
    {
        for (std::size_t const children : {0U, 5U, 24U})
        {
            auto const fleet = make_fleet(relays, children);
            for (double const rate : {0.3, 1.0, 1.1, 7.5, 40.0, 900.0})
            {
                std::vector<double> const shares = shares_of(fleet, rate);
                double sum = 0;
                for (double const share : shares)
                {
                    sum += share;
                }
                CHECK(sum == Approx(rate));
                // Each sender may send one request at any time.
                CHECK(static_cast<double>(shares.size()) + 4 * rate <=
                      1.5 * 4 * rate + 5);
            }
        }
    }
}

TEST_CASE("the request rates of several upstreams are spread over the fleet")
{
    // Guards against rates that only relays may use, whose own load is small.
    auto const fleet = make_fleet(8, 16);
    std::set<instance_id> senders;
    for (char const* const id : {"s1", "s2", "s3", "s4"})
    {
        for (rate_group const& group : fleet)
        {
            auto const division = divide_rate(upstream_id(id), 12, group);
            if (division.m_own > 0)
            {
                senders.insert(group.m_self);
            }
            for (auto const& [child, share] : division.m_children)
            {
                senders.insert(child);
            }
        }
    }
    CHECK(senders.size() > 40);
}

TEST_CASE("an upstream that takes no requests gets one now and then")
{
    // Guards against a limit whose end nobody notices.
    std::vector<double> const shares = shares_of(make_fleet(19, 0), 0);
    REQUIRE(shares.size() == 1);
    CHECK(shares.front() >= 0.1);
    CHECK(shares.front() <= 0.25);
}

TEST_CASE("instances with a share keep its pace")
{
    double share = 0.5;
    upstream_rates rates([&share](upstream_id const&, double, time_point)
                         { return share; });
    CHECK(rates.next_send(engine, start) == start);
    CHECK(rates.note({engine, 1.0, start}));
    CHECK(rates.next_send(engine, start) == start + 2s);
    rates.note_sent(engine, start + 3s);
    CHECK(rates.next_send(engine, start + 3s) == start + 5s);
    share = 0;
    CHECK(rates.next_send(engine, start + 9s) == time_point::max());
}

TEST_CASE("a limit ends by a newer statement only")
{
    // Guards against answers that were sent before the limit was stated.
    upstream_rates rates({});
    CHECK_FALSE(rates.note({engine, std::nullopt, start}));
    CHECK(rates.note({engine, 2.0, start + 1s}));
    CHECK_FALSE(rates.note({engine, std::nullopt, start + 900ms}));
    CHECK(rates.limit(engine) == 2.0);
    CHECK_FALSE(rates.note({engine, 2.1, start + 2s}));
    CHECK(rates.limit(engine) == 2.1);
    CHECK(rates.note({engine, 1.0, start + 3s}));
    CHECK(rates.note({engine, std::nullopt, start + 4s}));
    CHECK_FALSE(rates.limit(engine));
    CHECK(rates.next_send(engine, start + 4s) == start + 4s);
    // An older limit that a peer still reports does not come back.
    CHECK_FALSE(rates.note({engine, 1.0, start + 3500ms}));
    REQUIRE(rates.statements(start + 5s).size() == 1);
    CHECK_FALSE(rates.statements(start + 5s).front().m_per_second);
    CHECK(rates.statements(start + 20s).empty());
}

TEST_CASE("an absurd limit stays within the range of peer messages")
{
    // Guards against an upstream whose answer makes all news unreadable.
    upstream_rates rates({});
    rates.note({engine, 1e300, start});
    REQUIRE(rates.limit(engine));
    CHECK(std::isfinite(static_cast<float>(*rates.limit(engine))));
    CHECK(rates.next_send(engine, start + 1ms) <= start + 1ms);
    for (rate_group const& group : make_fleet(3, 2))
    {
        CHECK(divide_rate(engine, *rates.limit(engine), group).m_own > 0);
    }
}

TEST_CASE("a granted share lapses without a renewal")
{
    upstream_rates rates({});
    rates.note_grant(engine, 3, start + 1s);
    CHECK(rates.granted(engine, start) == 0);
    rates.note({engine, 9.0, start});
    rates.note_grant(engine, 3, start + 1s);
    CHECK(rates.granted(engine, start + 900ms) == 3);
    CHECK(rates.granted(engine, start + 1s) == 0);
    rates.erase(engine);
    CHECK_FALSE(rates.limit(engine));
}

TEST_CASE("a request rate holds while instances stop and start")
{
    // Guards against a full bucket for each change of the senders.
    constexpr auto tick = 10ms;
    for (double const rate : {0.5, 1.0, 1.1, 3.0, 12.0})
    {
        std::mt19937 random(3);
        std::vector<rate_group> const all = make_fleet(19, 0);
        std::vector<bool> running(all.size(), true);
        time_point now = start;
        std::vector<upstream_rates> rates;
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            rates.emplace_back(
                [&, i](upstream_id const& id, double per_second, time_point)
                {
                    rate_group group{all[i].m_self, {}, {}};
                    for (std::size_t j = 0; j < all.size(); ++j)
                    {
                        if (j != i && running[j])
                        {
                            group.m_relays.push_back(all[j].m_self);
                        }
                    }
                    return divide_rate(id, per_second, group).m_own;
                });
            rates[i].note({engine, rate, start});
        }
        std::vector<time_point> sent;
        for (; now < start + 60s; now += tick)
        {
            if (random() % 100 == 0)
            {
                std::size_t const item = random() % all.size();
                running[item] = !running[item];
            }
            for (std::size_t i = 0; i < all.size(); ++i)
            {
                if (running[i] && rates[i].next_send(engine, now) <= now)
                {
                    rates[i].note_sent(engine, now);
                    sent.push_back(now);
                }
            }
        }
        std::size_t most = 0;
        for (auto first = sent.begin(); first != sent.end(); ++first)
        {
            auto const last = std::lower_bound(first, sent.end(), *first + 4s);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        INFO("rate " << rate);
        CHECK(static_cast<double>(most) <= 1.5 * 4 * rate + 5);
        CHECK(static_cast<double>(sent.size()) >= 0.5 * 60 * rate);
    }
}
