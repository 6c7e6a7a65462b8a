/** @file Simulation of the state exchange of a fleet with a simulated clock. */
#include <daisylead/serving/fleet_roster_base.hpp>
#include <daisylead/serving/freshness_base.hpp>
#include <daisylead/serving/quota_limiter_base.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);
organisation_id const owner("museum");
constexpr duration tick = 10ms;
constexpr duration call_timeout = 500ms;
constexpr duration latency = 10ms;
constexpr duration read_age = 450ms; ///< age from which the store is read
constexpr int zones = 6;

/** Limit of the simulated organisation. */
constexpr quota_limit limit{250'000, 250'000};

/** Units that the platform allows beyond the limit in each window of 8 s. */
constexpr double slack = 110'000;
constexpr double max_in_window =
    1.1 * (limit.m_rate * 8 + limit.m_burst) + slack;

struct simulated_instance
{
    simulated_instance(int number, std::int64_t run, time_point now)
        : m_self{instance_id("entry-" + std::to_string(number)),
                 std::to_string(number), run,
                 zone_id("z" + std::to_string(number % zones)),
                 number < zones * 3 ? 500 : 120},
          m_roster({}, m_self, now), m_limiter(1300ms, 500ms), m_started_at(now)
    {
        m_limiter.set_limit(owner, limit, now);
    }

    member m_self;
    fleet_roster m_roster;
    quota_limiter m_limiter;
    time_point m_started_at;
    std::uint64_t m_revision = 1;
    std::optional<time_point> m_read_at;
    time_point m_next_step; ///< due time of its next step
};

struct message
{
    time_point m_at;
    int m_from = 0;
    int m_to = 0;
    bool m_reply = false;
    bool m_ends_call = false;    ///< the reply ends the call of the roster
    time_point m_sent_at;        ///< when the call was sent
    std::int64_t m_sent_use = 0; ///< use reported by the call
    fleet_news m_news;
};

/** Instances that exchange state over a network with loss and latency. */
class simulated_fleet
{
public:
    explicit simulated_fleet(int size, roster_options options = {})
        : m_options(options)
    {
        for (int i = 0; i < size; ++i)
        {
            m_instances.push_back(
                std::make_unique<simulated_instance>(i, 1, m_now));
            m_instances.back()->m_roster =
                fleet_roster(m_options, m_instances.back()->m_self, m_now);
        }
        for (auto& item : m_instances)
        {
            add_members(*item);
        }
    }

    void run(duration time)
    {
        for (time_point const end = m_now + time; m_now < end; m_now += tick)
        {
            deliver();
            for (std::size_t i = 0; i < m_instances.size(); ++i)
            {
                if (m_now >= m_instances[i]->m_next_step &&
                    is_running(static_cast<int>(i)))
                {
                    step(static_cast<int>(i));
                }
            }
            if (m_each_tick)
            {
                m_each_tick();
            }
        }
    }

    /** Publishes a new revision in the store. */
    void publish_revision()
    {
        ++m_revision;
    }

    void kill(int number)
    {
        m_dead.insert(number);
    }

    void restart(int number)
    {
        m_dead.erase(number);
        auto& item = m_instances[static_cast<std::size_t>(number)];
        item = std::make_unique<simulated_instance>(number, ++m_runs, m_now);
        item->m_roster = fleet_roster(m_options, item->m_self, m_now);
        add_members(*item);
    }

    void freeze(int number, duration time)
    {
        m_frozen[number] = m_now + time;
    }

    bool is_running(int number) const
    {
        auto const frozen = m_frozen.find(number);
        return !m_dead.contains(number) &&
               (frozen == m_frozen.end() || frozen->second <= m_now);
    }

    simulated_instance& at(int number)
    {
        return *m_instances[static_cast<std::size_t>(number)];
    }

    int size() const
    {
        return static_cast<int>(m_instances.size());
    }

    /** @return fraction of the running instances with the newest revision. */
    double informed() const
    {
        int live = 0;
        int knows = 0;
        for (int i = 0; i < size(); ++i)
        {
            if (is_running(i))
            {
                ++live;
                knows += m_instances[static_cast<std::size_t>(i)]->m_revision ==
                                 m_revision
                             ? 1
                             : 0;
            }
        }
        return static_cast<double>(knows) / live;
    }

    /** @return age of the oldest document of a running instance that was never
     *          frozen. */
    duration max_read_age() const
    {
        duration oldest{};
        for (int i = 0; i < size(); ++i)
        {
            simulated_instance const& item =
                *m_instances[static_cast<std::size_t>(i)];
            if (is_running(i) && !m_frozen.contains(i))
            {
                oldest =
                    std::max(oldest, item.m_read_at ? m_now - *item.m_read_at
                                                    : duration(1h));
            }
        }
        return oldest;
    }

    time_point m_now = start;
    double m_loss = 0;
    std::set<std::pair<int, int>> m_cut; ///< pairs without connectivity
    std::int64_t m_calls = 0;
    std::map<int, std::int64_t> m_calls_by;
    std::function<void()> m_each_tick;
    std::mt19937 m_random{7};

private:
    void add_members(simulated_instance& item)
    {
        for (auto const& other : m_instances)
        {
            item.m_roster.note_member(other->m_self, false, m_now);
        }
    }

    fleet_news make_news(simulated_instance& item, peer_state const* peer)
    {
        bool const dependent =
            peer != nullptr && item.m_roster.is_child(*peer, m_now);
        fleet_news news;
        news.m_member = item.m_self;
        news.m_uptime_ms = (m_now - item.m_started_at) / 1ms;
        news.m_is_relay = item.m_roster.is_relay(m_now);
        news.m_group = item.m_roster.group_size(m_now);
        news.m_fleet = item.m_roster.fleet_size(m_now);
        news.m_rules.m_revision = item.m_revision;
        if (item.m_read_at)
        {
            news.m_rules.m_age_ms = (m_now - *item.m_read_at) / 1ms;
        }
        auto const use = dependent
                             ? item.m_limiter.use_without(peer->m_member.m_id)
                             : item.m_limiter.own_use();
        news.m_use.m_totals.push_back(use.empty() ? 0 : use.front().second);
        if (!news.m_is_relay && !item.m_roster.is_confirmed())
        {
            auto const& reported = item.m_limiter.reported_use();
            news.m_reported_use.m_totals.push_back(
                reported.empty() ? 0 : reported.front().second);
        }
        return news;
    }

    void send(int from, int to, fleet_news news, bool ends_call)
    {
        ++m_calls;
        ++m_calls_by[from];
        std::int64_t const use = news.m_use.m_totals.front();
        push({m_now + latency, from, to, false, ends_call, m_now, use,
              std::move(news)});
    }

    void push(message item)
    {
        bool const lost =
            std::uniform_real_distribution<>(0, 1)(m_random) < m_loss ||
            m_cut.contains({item.m_from, item.m_to});
        if (!lost)
        {
            m_messages.emplace(item.m_at, std::move(item));
        }
    }

    void step(int number)
    {
        simulated_instance& item = at(number);
        for (instance_id const& id : item.m_roster.take_dropped(m_now))
        {
            item.m_limiter.drop_peer(id);
        }
        bool const reads =
            item.m_roster.is_relay(m_now) && item.m_roster.rank(m_now) == 0;
        if (reads && (!item.m_read_at || m_now - *item.m_read_at >= read_age))
        {
            item.m_read_at = m_now;
            if (item.m_revision != m_revision)
            {
                item.m_revision = m_revision;
                item.m_roster.mark_urgent({}, m_now);
            }
        }
        item.m_limiter.set_news_age(item.m_roster.is_mesh()         ? 200ms
                                    : item.m_roster.is_relay(m_now) ? 400ms
                                                                    : 600ms);
        for (instance_id const& id : item.m_roster.take_due(m_now))
        {
            peer_state& peer = *item.m_roster.find(id);
            int const to = std::stoi(peer.m_member.m_address);
            send(number, to, make_news(item, &peer), true);
            m_timeouts.emplace_back(m_now + call_timeout, number,
                                    item.m_self.m_started, id, m_now);
        }
        item.m_next_step = item.m_roster.next_due(m_now);
        if (item.m_read_at)
        {
            item.m_next_step =
                std::min(item.m_next_step,
                         std::max(m_now + tick, *item.m_read_at + read_age));
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now)
        {
            message item = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            if (is_running(item.m_to))
            {
                take(item);
            }
        }
        while (!m_timeouts.empty() && std::get<0>(m_timeouts.front()) <= m_now)
        {
            auto const [when, number, run, id, sent_at] = m_timeouts.front();
            m_timeouts.pop_front();
            simulated_instance& item = at(number);
            peer_state* const peer = item.m_roster.find(id);
            bool const waits = item.m_self.m_started == run &&
                               peer != nullptr && peer->m_call_open &&
                               peer->m_last_call == sent_at;
            if (waits)
            {
                peer->m_call_open = false;
                item.m_roster.note_failed(id, m_now);
                item.m_next_step = m_now;
            }
        }
    }

    void take(message const& item)
    {
        simulated_instance& receiver = at(item.m_to);
        receiver.m_next_step = m_now;
        instance_id const& sender = item.m_news.m_member.m_id;
        receiver.m_roster.note_member(item.m_news.m_member, true, m_now);
        peer_state& peer = *receiver.m_roster.find(sender);
        peer_relation const relation =
            item.m_reply ? receiver.m_roster.note_reply(item.m_news, m_now)
                         : receiver.m_roster.note_call(item.m_news, m_now);
        if (relation != peer_relation::other)
        {
            use_source source;
            source.m_instances = relation == peer_relation::parent
                                     ? item.m_news.m_fleet - 1
                                     : item.m_news.m_group;
            source.m_forwards = relation == peer_relation::child;
            source.m_covers_fleet = relation == peer_relation::parent;
            if (source.m_forwards &&
                !item.m_news.m_reported_use.m_totals.empty())
            {
                source.m_reported_use = {
                    {owner, item.m_news.m_reported_use.m_totals.front()}};
            }
            receiver.m_limiter.note_peer(
                sender,
                {item.m_news.m_member.m_started,
                 std::chrono::milliseconds(item.m_news.m_uptime_ms)},
                {{owner, item.m_news.m_use.m_totals.front()}}, m_now, source);
        }
        if (item.m_reply)
        {
            if (item.m_ends_call && peer.m_last_call == item.m_sent_at)
            {
                peer.m_call_open = false;
            }
            if (sender == receiver.m_roster.relay() &&
                receiver.m_roster.is_confirmed())
            {
                receiver.m_limiter.note_reported_use(
                    {{owner, item.m_sent_use}});
            }
            take_read_time(receiver, item);
            return;
        }
        push({m_now + latency, item.m_to, item.m_from, true, item.m_ends_call,
              item.m_sent_at, item.m_sent_use, make_news(receiver, &peer)});
        if (item.m_news.m_rules.m_revision > receiver.m_revision)
        {
            send(item.m_to, item.m_from, make_news(receiver, &peer), false);
        }
    }

    void take_read_time(simulated_instance& receiver, message const& item)
    {
        document_state const& reported = item.m_news.m_rules;
        if (!reported.m_age_ms || reported.m_revision < receiver.m_revision)
        {
            return;
        }
        time_point const read_at =
            item.m_sent_at - std::chrono::milliseconds(*reported.m_age_ms);
        if (reported.m_revision > receiver.m_revision)
        {
            receiver.m_revision = reported.m_revision;
            receiver.m_read_at = read_at;
            receiver.m_roster.mark_urgent(item.m_news.m_member.m_id, m_now);
        }
        receiver.m_read_at =
            std::max(read_at, receiver.m_read_at.value_or(read_at));
    }

    roster_options m_options;
    std::vector<std::unique_ptr<simulated_instance>> m_instances;
    std::multimap<time_point, message> m_messages;
    std::deque<
        std::tuple<time_point, int, std::int64_t, instance_id, time_point>>
        m_timeouts;
    std::set<int> m_dead;
    std::map<int, time_point> m_frozen;
    std::uint64_t m_revision = 1;
    std::int64_t m_runs = 1;
};

/** @return time until @p share of the running instances have the newest
 *          revision. */
duration time_to_inform(simulated_fleet& fleet, double share, duration max_time)
{
    time_point const began = fleet.m_now;
    while (fleet.informed() < share && fleet.m_now - began < max_time)
    {
        fleet.run(tick);
    }
    return fleet.m_now - began;
}

/** Callers of one organisation at all instances; counts admitted units. */
class organisation_load
{
public:
    /** @param factor demand as a multiple of the rate of the organisation */
    organisation_load(simulated_fleet& fleet, double factor)
        : m_fleet(fleet), m_factor(factor)
    {
        fleet.m_each_tick = [this]
        {
            send_requests();
        };
    }

    double max_in_8s() const
    {
        return m_max;
    }

    /** @return requests refused since the last call, and all of them. */
    std::pair<int, int> take_refused()
    {
        return {std::exchange(m_refused, 0), std::exchange(m_sent, 0)};
    }

    /** @return units admitted since the last call. */
    double take_admitted()
    {
        return std::exchange(m_admitted, 0);
    }

private:
    void send_requests()
    {
        m_due += m_factor * limit.m_rate * 0.01 / cost;
        for (; m_due >= 1; m_due -= 1)
        {
            int const number = std::uniform_int_distribution<>(
                0, m_fleet.size() - 1)(m_fleet.m_random);
            if (!m_fleet.is_running(number))
            {
                continue;
            }
            ++m_sent;
            if (m_fleet.at(number).m_limiter.charge(owner, cost, m_fleet.m_now))
            {
                ++m_refused;
                continue;
            }
            m_used.push_back(m_fleet.m_now);
            m_admitted += cost;
        }
        while (!m_used.empty() && m_used.front() + 8s <= m_fleet.m_now)
        {
            m_used.pop_front();
        }
        m_max = std::max(m_max, static_cast<double>(m_used.size()) * cost);
    }

    static constexpr std::int64_t cost = 5000;
    simulated_fleet& m_fleet;
    double m_factor;
    double m_due = 0;
    int m_sent = 0;
    int m_refused = 0;
    double m_admitted = 0;
    double m_max = 0;
    std::deque<time_point> m_used;
};

} // namespace

TEST_CASE("the calls per instance do not grow with the fleet")
{
    // Guards against a full mesh in a large fleet, which needs 220,000 calls
    // per second at this size.
    simulated_fleet fleet(300);
    fleet.run(5s);
    fleet.m_calls = 0;
    fleet.m_calls_by.clear();
    fleet.run(4s);
    CHECK(static_cast<double>(fleet.m_calls) / 4 <= 300 * 8);
    std::int64_t relays = 0;
    for (int i = 0; i < fleet.size(); ++i)
    {
        bool const relay = fleet.at(i).m_roster.is_relay(fleet.m_now);
        relays += relay ? 1 : 0;
        std::int64_t const max_calls = relay ? 60 * 4 : 4 * 4;
        CHECK(fleet.m_calls_by[i] <= max_calls);
    }
    CHECK(relays >= std::int64_t{zones} * 2);
    CHECK(relays <= std::int64_t{zones} * 4);
    CHECK(fleet.at(299).m_roster.fleet_size(fleet.m_now) == 300);
}

TEST_CASE("a change reaches 99 % of the instances within 300 ms")
{
    simulated_fleet fleet(300);
    fleet.run(5s);
    for (int round = 0; round < 5; ++round)
    {
        fleet.publish_revision();
        // The store is read every 450 ms.
        CHECK(time_to_inform(fleet, 0.01, 1s) <= 460ms);
        CHECK(time_to_inform(fleet, 0.99, 1s) <= 300ms);
        fleet.run(1s);
    }
}

TEST_CASE("a change reaches all instances within 1 s while a tenth is killed")
{
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        simulated_fleet fleet(300);
        fleet.m_random.seed(seed);
        fleet.run(5s);
        fleet.publish_revision();
        time_to_inform(fleet, 0.003, 1s);
        for (int i = 0; i < 30; ++i)
        {
            fleet.kill(std::uniform_int_distribution<>(1, 299)(fleet.m_random));
        }
        INFO("seed " << seed);
        CHECK(time_to_inform(fleet, 1, 2s) <= 1s);
    }
}

TEST_CASE("documents stay valid through loss, frozen relays and restarts")
{
    // Keys become invalid at a document age of 4.4 s.
    simulated_fleet fleet(300);
    fleet.m_loss = 0.02;
    fleet.run(5s);
    CHECK(fleet.max_read_age() <= 3s);
    for (int relay = 0; relay < zones; ++relay)
    {
        fleet.freeze(relay, 4s);
    }
    duration oldest{};
    for (int i = 0; i < 80; ++i)
    {
        fleet.run(100ms);
        oldest = std::max(oldest, fleet.max_read_age());
    }
    CHECK(oldest <= 4400ms);
    for (int i = 0; i < 300; i += 2)
    {
        fleet.kill(i);
    }
    fleet.run(2s);
    for (int i = 0; i < 300; i += 2)
    {
        fleet.restart(i);
    }
    fleet.run(3s);
    CHECK(fleet.max_read_age() <= 3s);
}

TEST_CASE("a partitioned fleet reads the store on each side")
{
    simulated_fleet fleet(60);
    fleet.run(5s);
    // Zone 0 is cut off from the other zones; no load.
    for (int a = 0; a < 60; ++a)
    {
        for (int b = 0; b < 60; ++b)
        {
            if ((a % zones == 0) != (b % zones == 0))
            {
                fleet.m_cut.emplace(a, b);
            }
        }
    }
    fleet.run(4s);
    CHECK(fleet.max_read_age() <= 3s);
    fleet.m_cut.clear();
    fleet.run(6s);
    CHECK(fleet.at(6).m_roster.fleet_size(fleet.m_now) == 60);
}

TEST_CASE("an organisation stays within its limit over 300 instances")
{
    // Load: five times the rate of an organisation at all instances, after an
    // idle time in which all buckets fill.
    simulated_fleet fleet(300);
    fleet.run(6s);
    organisation_load hot(fleet, 5);
    fleet.run(20s);
    CHECK(hot.max_in_8s() <= max_in_window);
    hot.take_admitted();
    fleet.run(10s);
    // The limit can be used up.
    CHECK(hot.take_admitted() >= 0.9 * limit.m_rate * 10);
}

TEST_CASE("use below the limit is not refused over 300 instances")
{
    // Guards against use that is counted twice when relays forward it.
    simulated_fleet fleet(300);
    fleet.run(6s);
    organisation_load modest(fleet, 0.7);
    fleet.run(5s);
    modest.take_admitted();
    fleet.run(20s);
    CHECK(modest.take_admitted() >= 0.69 * limit.m_rate * 20);
}

TEST_CASE("a limit holds while relays are killed and restarted")
{
    simulated_fleet fleet(300);
    fleet.run(6s);
    organisation_load hot(fleet, 5);
    fleet.run(4s);
    for (int round = 0; round < 3; ++round)
    {
        for (int relay = round; relay < 18; relay += 3)
        {
            fleet.kill(relay);
        }
        fleet.run(2s);
        for (int relay = round; relay < 18; relay += 3)
        {
            fleet.restart(relay);
        }
        fleet.run(3s);
    }
    CHECK(hot.max_in_8s() <= max_in_window);
}

TEST_CASE(
    "use below the limit is hardly refused while a fifth of the instances "
    "is killed and restarted")
{
    // Guards against use that is charged twice when the children of a relay
    // that was killed report to another one.
    for (unsigned seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        simulated_fleet fleet(96);
        fleet.m_random.seed(seed);
        fleet.run(6s);
        organisation_load modest(fleet, 0.75);
        fleet.run(10s);
        modest.take_refused();
        for (int i = 0; i < fleet.size(); i += 5)
        {
            fleet.kill(i);
        }
        fleet.run(500ms);
        for (int i = 0; i < fleet.size(); i += 5)
        {
            fleet.restart(i);
        }
        fleet.run(10s);
        auto const [refused, sent] = modest.take_refused();
        CHECK(refused * 500 < sent);
        CHECK(modest.max_in_8s() <= max_in_window);
    }
}

TEST_CASE("use below the limit is hardly refused in a calm fleet")
{
    // Guards against a bucket that refuses a part of the requests before it is
    // empty, though the organisation never was over its limit.
    simulated_fleet fleet(96);
    fleet.run(6s);
    organisation_load modest(fleet, 0.75);
    fleet.run(20s);
    auto const [refused, sent] = modest.take_refused();
    CHECK(refused * 500 < sent);
}

TEST_CASE("an organisation far over its limit uses up its refill")
{
    // Guards against instances that alternate between admitting and refusing
    // all, so that a part of the refill is lost.
    simulated_fleet fleet(96);
    fleet.run(6s);
    organisation_load hot(fleet, 6);
    fleet.run(8s);
    for (int i = 0; i < 5; ++i)
    {
        hot.take_admitted();
        fleet.run(4s);
        double const share = hot.take_admitted() / (limit.m_rate * 4);
        CHECK(share >= 0.9);
        CHECK(share <= 1.1);
    }
    CHECK(hot.max_in_8s() <= max_in_window);
}

TEST_CASE(
    "an organisation that goes far over its limit uses up its refill from "
    "the start")
{
    // Guards against use that is charged in advance by a rate that was measured
    // before the first refusals.
    simulated_fleet fleet(96);
    fleet.run(6s);
    organisation_load hot(fleet, 6);
    fleet.run(8s);
    CHECK(hot.take_admitted() >= 0.9 * limit.m_rate * 8);
}
