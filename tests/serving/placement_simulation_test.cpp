/** @file Simulation of load balancing, compared to simple baselines: requests
 *  answered in time by kind, organisation, size and session. */
#include <daisylead/serving/rollout_planner_base.hpp>
#include <daisylead/serving/upstream_pool_base.hpp>

#include <catch2/catch.hpp>
#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);
service_id const service("engines");
model_id const model("m");

constexpr duration step = 5ms;
/** Prompt tokens that an engine processes per step, at 49.6 per millisecond. */
constexpr std::int64_t tokens_per_step = 248;
constexpr std::int64_t engine_memory = 106'776;
constexpr std::size_t instance_count = 19;
constexpr int engine_count = 18;
constexpr duration news_interval = 400ms;
/** Allowance for information: the baselines know at once which engines serve,
 *  the pools learn it from failed connections and messages. */
constexpr double allowed_shortfall = 0.01;
/** Time that an engine takes to load weights. */
constexpr duration load_time = 570ms;

/** A simulated request. */
struct simulated_request
{
    std::string m_kind;
    std::string m_organisation;
    std::string m_size;
    std::string m_session;
    std::uint64_t m_prefix = 0;
    std::int64_t m_shared = 0; ///< tokens of the shared prefix
    std::int64_t m_own = 0;    ///< other prompt tokens
    std::int64_t m_output = 0; ///< tokens, at most one per step
    duration m_target{};
    duration m_deadline{};
    time_point m_sent;
    std::size_t m_instance = 0;
    // While it is served.
    std::int64_t m_prompt_left = 0;
    std::int64_t m_output_left = 0;
    bool m_first_bytes = false;
    std::optional<time_point> m_first_at;

    std::int64_t memory() const
    {
        return m_shared + m_own + m_output;
    }
};

/** Simulated engine that processes prompts in order of arrival and caches
 *  recent prefixes until it loads new weights. */
struct simulated_engine
{
    std::int64_t m_version = 1;
    bool m_down = false;
    std::optional<time_point> m_loads_until;
    bool m_ordered = false;
    std::list<std::shared_ptr<simulated_request>> m_running;
    std::deque<std::shared_ptr<simulated_request>> m_waiting;
    std::deque<std::uint64_t> m_cached;

    std::size_t in_flight() const
    {
        return m_running.size() + m_waiting.size();
    }
};

/** Chooses the number of an engine, or nothing. */
using placement_policy = std::function<std::optional<int>(
    simulated_request const&, std::vector<int> const& serving, time_point)>;

struct outcome
{
    int m_sent_count = 0;
    int m_in_time = 0;

    double share() const
    {
        return m_sent_count == 0
                   ? 1
                   : static_cast<double>(m_in_time) / m_sent_count;
    }
};

struct simulation_result
{
    outcome m_all;
    std::map<std::string, outcome> m_by; ///< "kind x", "organisation y", ...
    /** @return min. share of the groups with at least 20 requests. */
    double min_group_share() const
    {
        double least = 1;
        for (auto const& [name, item] : m_by)
        {
            if (item.m_sent_count >= 20)
            {
                least = std::min(least, item.share());
            }
        }
        return least;
    }
};

/** Simulates 20 s of a load of two kinds of prompts, with engines that fail and
 *  a rollout of new weights. */
class load_simulator
{
public:
    struct plan
    {
        double m_per_second = 111;
        int m_down = 0;             ///< engines that fail at 2.5 s
        bool m_new_weights = false; ///< published at 3 s
        double m_hot_share = 0.2;   ///< share of requests by one organisation
    };

    load_simulator(plan load, unsigned seed)
        : m_plan(load), m_random(seed), m_engines(engine_count), m_planner({})
    {
        std::vector<upstream_record> list;
        for (int i = 0; i < engine_count; ++i)
        {
            upstream_record record;
            record.m_id = id_of(i);
            record.m_service = service;
            record.m_address = "10.0.0." + std::to_string(i) + ":80";
            record.m_zone = zone_id(i % 2 == 0 ? "a" : "b");
            record.m_slots = 48;
            record.m_started = 5;
            record.m_weights[model] = 1;
            list.push_back(record);
        }
        for (std::size_t i = 0; i < instance_count; ++i)
        {
            m_pools.emplace_back(upstream_pool_options{},
                                 [random = std::make_shared<std::mt19937_64>(
                                      seed + 100 + i)] { return (*random)(); });
            m_pools.back().take_list(list, start);
        }
        m_list = list;
    }

    /** @return choice by the upstream pools of the instances. */
    placement_policy by_pool()
    {
        return [this](simulated_request const& request, std::vector<int> const&,
                      time_point now) -> std::optional<int>
        {
            placement_request query;
            query.m_service = service;
            query.m_model = model;
            query.m_prefix = request.m_prefix;
            query.m_prefix_tokens = token_count(request.m_shared);
            query.m_tokens = token_count(request.memory());
            query.m_capacity = token_count(engine_memory);
            query.m_zone = zone_id(request.m_instance % 2 == 0 ? "a" : "b");
            for (int tries = 0; tries < 4; ++tries)
            {
                auto const place =
                    m_pools[request.m_instance].place(query, now);
                if (place.m_reason != no_placement::none)
                {
                    return std::nullopt;
                }
                int const number = number_of(place.m_upstream.m_id);
                if (!m_engines[static_cast<std::size_t>(number)].m_down)
                {
                    return number;
                }
                // A connection to an engine that is down fails.
                m_pools[request.m_instance].note_unreachable(
                    place.m_upstream.m_id, now);
                query.m_excluded.insert(place.m_upstream.m_id);
            }
            return std::nullopt;
        };
    }

    simulation_result run(placement_policy const& place)
    {
        simulation_result result;
        double due = 0;
        // The last 4 s have no new requests, so that all can end.
        for (time_point now = start; now < start + 24s; now += step)
        {
            if (now == start + 2500ms)
            {
                for (int i = 0; i < m_plan.m_down; ++i)
                {
                    go_down(m_engines.at(3 * static_cast<std::size_t>(i)));
                }
            }
            if (m_plan.m_new_weights && now >= start + 3s)
            {
                roll_out(now);
            }
            due += m_plan.m_per_second * 0.005;
            for (; due >= 1; due -= 1)
            {
                if (now >= start + 20s)
                {
                    continue;
                }
                send(place, now, result);
            }
            for (int i = 0; i < engine_count; ++i)
            {
                serve(i, now, result);
            }
            if ((now - start) % news_interval == 0ms)
            {
                exchange_state(now);
            }
        }
        return result;
    }

private:
    static upstream_id id_of(int number)
    {
        return upstream_id("e" + std::to_string(number));
    }

    static int number_of(upstream_id const& id)
    {
        return std::stoi(id.value().substr(1));
    }

    void go_down(simulated_engine& engine)
    {
        engine.m_down = true;
        // Its requests are lost and count as not answered in time.
        for (auto const& request : engine.m_running)
        {
            end(*request, number_of_engine(engine));
        }
        for (auto const& request : engine.m_waiting)
        {
            end(*request, number_of_engine(engine));
        }
        engine.m_running.clear();
        engine.m_waiting.clear();
    }

    int number_of_engine(simulated_engine const& engine) const
    {
        return static_cast<int>(&engine - m_engines.data());
    }

    void roll_out(time_point now)
    {
        if (m_planner.target() == 0)
        {
            m_planner.set_target(2);
            for (upstream_pool& pool : m_pools)
            {
                pool.set_newest(model, 2, now);
            }
        }
        if ((now - start) % 50ms != 0ms)
        {
            return;
        }
        std::vector<rollout_engine> list;
        for (int i = 0; i < engine_count; ++i)
        {
            simulated_engine const& engine =
                m_engines[static_cast<std::size_t>(i)];
            list.push_back(
                {id_of(i), 5, engine.m_version,
                 static_cast<std::int64_t>(engine.in_flight()),
                 now - (start + 3s), m_pools[0].is_reachable(id_of(i), now),
                 m_pools[0].memory_use(id_of(i), token_count(engine_memory))});
        }
        for (rollout_action const& action : m_planner.plan(list, now))
        {
            simulated_engine& engine =
                m_engines[static_cast<std::size_t>(number_of(action.m_engine))];
            if (action.m_step == rollout_step::order)
            {
                if (engine.m_down)
                {
                    m_planner.note_failed(action.m_engine, now);
                    update_weights(action.m_engine, engine.m_version, false,
                                   now);
                }
                engine.m_ordered = !engine.m_down;
            }
            else
            {
                update_weights(action.m_engine, engine.m_version,
                               action.m_step == rollout_step::drain, now);
            }
        }
    }

    void update_weights(upstream_id const& id, std::int64_t version,
                        bool switching, time_point now)
    {
        for (upstream_pool& pool : m_pools)
        {
            pool.note_weights({id, 5, model, version, switching}, now);
        }
    }

    void send(placement_policy const& place, time_point now,
              simulation_result& result)
    {
        auto request = std::make_shared<simulated_request>(make_request(now));
        for (std::string const& group : groups(*request))
        {
            ++result.m_by[group].m_sent_count;
        }
        ++result.m_all.m_sent_count;
        std::vector<int> serving;
        for (int i = 0; i < engine_count; ++i)
        {
            simulated_engine const& engine =
                m_engines[static_cast<std::size_t>(i)];
            if (!engine.m_down && !engine.m_ordered && !engine.m_loads_until)
            {
                serving.push_back(i);
            }
        }
        auto const number = place(*request, serving, now);
        if (!number)
        {
            return;
        }
        m_pools[request->m_instance].note_sent(
            id_of(*number), request->m_prefix, token_count(request->memory()),
            now);
        m_engines[static_cast<std::size_t>(*number)].m_waiting.push_back(
            request);
    }

    simulated_request make_request(time_point now)
    {
        std::uniform_real_distribution<double> share(0, 1);
        simulated_request request;
        request.m_organisation =
            share(m_random) < m_plan.m_hot_share
                ? "hot"
                : "o" + std::to_string(static_cast<int>(share(m_random) * 4));
        request.m_session =
            "s" + std::to_string(static_cast<int>(share(m_random) * 12));
        bool const is_caption = share(m_random) < 0.39;
        request.m_kind = is_caption ? "caption" : "translation";
        // A tenth of the prompts has three times the usual length.
        bool const is_long = share(m_random) < 0.1;
        request.m_size = is_long ? "long" : "common";
        request.m_shared = is_caption ? 6300 : 198;
        request.m_own =
            std::int64_t{is_caption ? 2890 : 628} * (is_long ? 3 : 1);
        request.m_output = is_caption ? 9 : 49;
        request.m_target = is_caption ? 600ms : 800ms;
        request.m_deadline = is_caption ? 5s : 15s;
        request.m_prefix = 1 + static_cast<std::uint64_t>(share(m_random) *
                                                          share(m_random) * 60);
        request.m_sent = now;
        request.m_instance =
            static_cast<std::size_t>(share(m_random) * instance_count);
        return request;
    }

    static std::vector<std::string> groups(simulated_request const& request)
    {
        return {"kind " + request.m_kind,
                "organisation " + request.m_organisation,
                "size " + request.m_size, "session " + request.m_session};
    }

    void end(simulated_request const& request, int engine)
    {
        m_pools[request.m_instance].note_ended(id_of(engine),
                                               request.m_first_bytes,
                                               token_count(request.memory()));
    }

    void serve(int number, time_point now, simulation_result& result)
    {
        simulated_engine& engine = m_engines[static_cast<std::size_t>(number)];
        if (engine.m_down)
        {
            return;
        }
        if (engine.m_loads_until)
        {
            if (now < *engine.m_loads_until)
            {
                return;
            }
            engine.m_loads_until.reset();
            engine.m_ordered = false;
            engine.m_version = 2;
            engine.m_cached.clear();
            update_weights(id_of(number), 2, false, now);
        }
        if (engine.m_ordered && engine.m_running.empty())
        {
            engine.m_loads_until = now + load_time;
            return;
        }
        std::int64_t used = 0;
        for (auto const& request : engine.m_running)
        {
            used += request->memory();
        }
        // An engine that was ordered to load first finishes its running
        // requests.
        while (!engine.m_ordered && !engine.m_waiting.empty() &&
               (engine.m_running.empty() ||
                used + engine.m_waiting.front()->memory() <= engine_memory))
        {
            auto const request = engine.m_waiting.front();
            engine.m_waiting.pop_front();
            bool const cached =
                std::find(engine.m_cached.begin(), engine.m_cached.end(),
                          request->m_prefix) != engine.m_cached.end();
            request->m_prompt_left =
                request->m_own + (cached ? 0 : request->m_shared);
            request->m_output_left = request->m_output;
            cache_prefix(engine, request->m_prefix);
            used += request->memory();
            engine.m_running.push_back(request);
        }
        std::int64_t budget = tokens_per_step;
        for (auto it = engine.m_running.begin(); it != engine.m_running.end();)
        {
            simulated_request& request = **it;
            if (request.m_prompt_left > 0)
            {
                std::int64_t const read =
                    std::min(budget, request.m_prompt_left);
                request.m_prompt_left -= read;
                budget -= read;
            }
            else if (--request.m_output_left < request.m_output &&
                     !request.m_first_bytes)
            {
                request.m_first_bytes = true;
                request.m_first_at = now;
                m_pools[request.m_instance].note_first_bytes(id_of(number));
            }
            if (request.m_prompt_left == 0 && request.m_output_left <= 0)
            {
                if (*request.m_first_at - request.m_sent <= request.m_target)
                {
                    ++result.m_all.m_in_time;
                    for (std::string const& group : groups(request))
                    {
                        ++result.m_by[group].m_in_time;
                    }
                }
                end(request, number);
                it = engine.m_running.erase(it);
                continue;
            }
            ++it;
        }
    }

    static void cache_prefix(simulated_engine& engine, std::uint64_t prefix)
    {
        std::erase(engine.m_cached, prefix);
        engine.m_cached.push_back(prefix);
        // Half of the memory holds cached prefixes.
        if (engine.m_cached.size() > engine_memory / 2 / 6300)
        {
            engine.m_cached.pop_front();
        }
    }

    void exchange_state(time_point now)
    {
        for (std::size_t from = 0; from < m_pools.size(); ++from)
        {
            auto const counts = m_pools[from].own_in_flight(now);
            for (std::size_t to = 0; to < m_pools.size(); ++to)
            {
                if (from != to)
                {
                    m_pools[to].note_peer(
                        instance_id("i" + std::to_string(from)), counts, now);
                }
            }
        }
        for (upstream_pool& pool : m_pools)
        {
            pool.take_list(m_list, now);
        }
    }

    plan m_plan;
    std::mt19937_64 m_random;
    std::vector<simulated_engine> m_engines;
    std::vector<upstream_pool> m_pools;
    std::vector<upstream_record> m_list;
    rollout_planner m_planner;
};

/** Baseline: random choice among the engines in service. */
placement_policy random_choice(unsigned seed)
{
    return [random = std::make_shared<std::mt19937_64>(seed)](
               simulated_request const&, std::vector<int> const& serving,
               time_point) -> std::optional<int>
    {
        if (serving.empty())
        {
            return std::nullopt;
        }
        return serving[(*random)() % serving.size()];
    };
}

/** Baseline: rendezvous hashing of the prefix. */
std::optional<int> rendezvous(simulated_request const& request,
                              std::vector<int> const& serving, time_point)
{
    std::optional<int> best;
    std::uint64_t most = 0;
    for (int const engine : serving)
    {
        std::uint64_t const weight =
            XXH64(&engine, sizeof engine, request.m_prefix);
        if (!best || weight > most)
        {
            most = weight;
            best = engine;
        }
    }
    return best;
}

/** Baseline: fewest requests in flight from the same instance; ties go to the
 *  lowest number. */
placement_policy least_in_flight()
{
    struct sent
    {
        int m_engine;
        time_point m_until;
    };
    // Requests are assumed to last 0.3 s, about the mean at moderate load.
    return
        [all = std::make_shared<std::map<std::size_t, std::deque<sent>>>()](
            simulated_request const& request, std::vector<int> const& serving,
            time_point now) -> std::optional<int>
    {
        if (serving.empty())
        {
            return std::nullopt;
        }
        auto& own = (*all)[request.m_instance];
        while (!own.empty() && own.front().m_until < now)
        {
            own.pop_front();
        }
        std::map<int, int> counts;
        for (sent const& item : own)
        {
            ++counts[item.m_engine];
        }
        int const chosen = *std::min_element(serving.begin(), serving.end(),
                                             [&counts](int a, int b)
                                             { return counts[a] < counts[b]; });
        own.push_back({chosen, now + 300ms});
        return chosen;
    };
}

void report(std::string const& name, simulation_result const& result)
{
    UNSCOPED_INFO(name << ": in time " << result.m_all.share()
                       << ", worst group " << result.min_group_share());
}

/** Results of a plan with the upstream pools and with the baselines. */
struct comparison
{
    simulation_result m_pool_result;
    double m_best_baseline = 0;

    comparison(load_simulator::plan const& plan, unsigned seed)
    {
        load_simulator simulator(plan, seed);
        m_pool_result = simulator.run(simulator.by_pool());
        report("boards", m_pool_result);
        std::map<std::string, placement_policy> const baselines = {
            {"random", random_choice(seed)},
            {"rendezvous", &rendezvous},
            {"least in flight", least_in_flight()}};
        for (auto const& [name, place] : baselines)
        {
            auto const result = load_simulator(plan, seed).run(place);
            report(name, result);
            m_best_baseline = std::max(m_best_baseline, result.m_all.share());
        }
    }
};

} // namespace

TEST_CASE("a moderate load is answered in time for all groups")
{
    for (unsigned const seed : {1U, 2U, 3U})
    {
        comparison const compared({}, seed);
        CHECK(compared.m_pool_result.m_all.share() >= 0.95);
        CHECK(compared.m_pool_result.m_all.share() >=
              compared.m_best_baseline - allowed_shortfall);
        CHECK(compared.m_pool_result.min_group_share() >= 0.8);
    }
}

TEST_CASE("an organisation with most of the load does not starve the others")
{
    for (unsigned const seed : {4U, 5U, 6U})
    {
        load_simulator::plan plan;
        plan.m_hot_share = 0.8;
        comparison const compared(plan, seed);
        CHECK(compared.m_pool_result.m_all.share() >=
              compared.m_best_baseline - allowed_shortfall);
        CHECK(compared.m_pool_result.min_group_share() >= 0.8);
    }
}

TEST_CASE("a loss of a quarter of the engines during a rollout is tolerated")
{
    // Guards against a rollout that takes half of the engines out of service
    // while others are down, and against load balancing that ignores the load.
    for (unsigned const seed : {7U, 8U, 9U})
    {
        load_simulator::plan plan;
        plan.m_down = 5;
        plan.m_new_weights = true;
        comparison const compared(plan, seed);
        CHECK(compared.m_pool_result.m_all.share() >=
              compared.m_best_baseline - allowed_shortfall);
        CHECK(compared.m_pool_result.m_all.share() >= 0.8);
        CHECK(compared.m_pool_result.min_group_share() >= 0.6);
    }
}
