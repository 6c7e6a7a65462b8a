/** @file Tests of how much of the requests leaves a zone: three zones under a
 *  swinging load, each with several instances that learn the loads late. */
#include <daisylead/serving/zone_balance_base.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);
constexpr duration tick = 50ms;
constexpr duration news_age = 600ms;

/** Zones whose instances divide their requests by zone_balance. Work in a zone
 *  is what its callers and the other zones send there. */
class simulated_zones
{
public:
    explicit simulated_zones(std::vector<double> slots)
        : m_slots(std::move(slots))
    {
        for (std::size_t zone = 0; zone < m_slots.size(); ++zone)
        {
            for (int i = 0; i < 8; ++i)
            {
                m_balances.emplace_back(zone_balance_options{}, name(zone));
            }
        }
    }

    static zone_id name(std::size_t zone)
    {
        return zone_id("z" + std::to_string(zone));
    }

    /** @param demand slots that the callers of each zone need */
    void step(std::vector<double> const& demand)
    {
        m_now += tick;
        std::vector<double> work(m_slots.size());
        m_leaving.assign(m_slots.size(), 0);
        for (std::size_t i = 0; i < m_balances.size(); ++i)
        {
            std::size_t const zone = i / 8;
            for (int draw = 0; draw < 50; ++draw)
            {
                zone_id const to =
                    m_balances[i].choose([this] { return m_random(); }, m_now);
                double const part = demand[zone] / 8 / 50;
                for (std::size_t other = 0; other < m_slots.size(); ++other)
                {
                    work[other] += to == name(other) ? part : 0;
                }
                m_leaving[zone] += to == name(zone) ? 0 : part;
            }
        }
        m_use = work;
        for (std::size_t zone = 0; zone < m_slots.size(); ++zone)
        {
            m_use[zone] = m_slots[zone] > 0 ? work[zone] / m_slots[zone] : 0;
        }
        m_history.push_back({m_now, m_use});
        while (m_history.front().first + news_age < m_now)
        {
            m_history.pop_front();
        }
        std::vector<zone_load> loads;
        for (std::size_t zone = 0; zone < m_slots.size(); ++zone)
        {
            if (m_slots[zone] > 0 && !m_silent.contains(zone))
            {
                loads.push_back({name(zone), m_history.front().second[zone],
                                 m_slots[zone]});
            }
        }
        for (zone_balance& balance : m_balances)
        {
            balance.update(loads, m_now);
        }
    }

    time_point m_now = start;
    std::vector<double> m_slots;
    std::vector<double> m_use;
    std::vector<double> m_leaving;
    std::vector<zone_balance> m_balances;
    /** Zones of which no news arrives. */
    std::map<std::size_t, bool> m_silent;

private:
    std::mt19937_64 m_random{3};
    std::deque<std::pair<time_point, std::vector<double>>> m_history;
};

} // namespace

TEST_CASE("no request leaves a zone that has room")
{
    simulated_zones zones({20, 20, 20});
    for (int i = 0; i < 200; ++i)
    {
        zones.step({10, 4, 11});
        CHECK(zones.m_leaving == std::vector<double>{0, 0, 0});
    }
}

TEST_CASE("a zone with too few upstreams uses those of the others")
{
    simulated_zones zones({20, 20, 10});
    for (int i = 0; i < 200; ++i)
    {
        zones.step({8, 8, 9});
    }
    CHECK(zones.m_use[2] <= 0.7);
    CHECK(zones.m_use[0] <= 0.6);
    CHECK(zones.m_use[1] <= 0.6);
}

TEST_CASE("zones whose demand swings at different times help each other")
{
    // Guards against a herd that moves from zone to zone, and against requests
    // that stay away after the peak.
    simulated_zones zones({20, 20, 20});
    double highest = 0;
    double worst_swing = 0;
    double last = 0;
    for (int i = 0; i < 1360; ++i)
    {
        double const at = i * 0.05;
        std::vector<double> demand;
        demand.reserve(3);
        for (int zone = 0; zone < 3; ++zone)
        {
            demand.push_back(
                10 *
                (1 + 0.55 * std::sin(2 * 3.14159 * (at / 17 + zone / 3.0))));
        }
        zones.step(demand);
        if (at > 5)
        {
            highest = std::max(highest, *std::max_element(zones.m_use.begin(),
                                                          zones.m_use.end()));
            worst_swing =
                std::max(worst_swing, std::abs(zones.m_leaving[0] - last));
        }
        last = zones.m_leaving[0];
    }
    // Without help the highest use is 0.775.
    CHECK(highest <= 0.72);
    CHECK(worst_swing <= 2);
}

TEST_CASE("full zones exchange nothing")
{
    simulated_zones zones({20, 20, 20});
    for (int i = 0; i < 100; ++i)
    {
        zones.step({30, 28, 32});
    }
    CHECK(zones.m_leaving == std::vector<double>{0, 0, 0});
}

TEST_CASE("a zone without upstreams sends everything to the others")
{
    simulated_zones zones({20, 20, 20});
    zones.step({8, 8, 8});
    zones.m_slots[2] = 0;
    for (int i = 0; i < 10; ++i)
    {
        zones.step({8, 8, 8});
    }
    CHECK(zones.m_leaving[2] == Approx(8));
    zones.m_slots[2] = 20;
    for (int i = 0; i < 100; ++i)
    {
        zones.step({8, 8, 8});
    }
    CHECK(zones.m_leaving[2] == Approx(0));
}

TEST_CASE("a zone without news offers nothing")
{
    // Guards against a zone that is cut off and that the others send to.
    simulated_zones zones({20, 20, 20});
    zones.m_silent[1] = true;
    zones.m_silent[2] = true;
    for (int i = 0; i < 100; ++i)
    {
        zones.step({18, 4, 4});
    }
    CHECK(zones.m_leaving[0] == Approx(0));
}

TEST_CASE("an instance that starts keeps its requests until it knows the loads")
{
    zone_balance balance(zone_balance_options{}, zone_id("a"));
    std::mt19937_64 random(1);
    CHECK(balance.choose([&] { return random(); }, start) == zone_id("a"));
    balance.update({{zone_id("a"), 1.5, 10}, {zone_id("b"), 0.1, 10}}, start);
    CHECK(balance.leaving_share() == 0);
    balance.update({{zone_id("a"), 1.5, 10}, {zone_id("b"), 0.1, 10}},
                   start + 200ms);
    CHECK(balance.leaving_share() > 0);
    // Old loads are no reason to leave.
    CHECK(balance.choose([&] { return random(); }, start + 5s) == zone_id("a"));
}
