/** @file Replay of a trace with the decision library. */
#include "engine_fake.hpp"
#include "metrics.hpp"

#include <daisylead/prefix/prefix_index_base.hpp>

#include <algorithm>
#include <memory>
#include <queue>

namespace daisylead::replay
{

namespace
{

using std::chrono::milliseconds;

constexpr byte_count index_memory{16 << 20};
constexpr duration poll_interval = milliseconds(250); ///< reports, events
constexpr duration snapshot_delay = milliseconds(100);
constexpr std::size_t max_attempts = 3;
model_id const model("model");
weights_version const version("1");

/** Runs functions in order of time. */
class timeline
{
public:
    time_point now() const
    {
        return m_now;
    }

    void after(duration delay, std::function<void()> work)
    {
        m_queue.push({m_now + delay, ++m_count, std::move(work)});
    }

    void run_until(time_point end)
    {
        while (!m_queue.empty() && m_queue.top().m_at <= end)
        {
            entry const next = m_queue.top();
            m_queue.pop();
            m_now = next.m_at;
            next.m_work();
        }
        m_now = end;
    }

private:
    struct entry
    {
        time_point m_at;
        std::uint64_t m_order = 0;
        std::function<void()> m_work;

        bool operator<(entry const& other) const
        {
            return std::pair(other.m_at, other.m_order) <
                   std::pair(m_at, m_order);
        }
    };

    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_count = 0;
    std::priority_queue<entry> m_queue;
};

/** Fleet-wide token level of an organisation. */
struct token_bucket
{
    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    time_point m_at;

    bool take(double tokens, time_point now)
    {
        m_level = std::min(
            m_burst,
            m_level +
                m_rate * std::chrono::duration<double>(now - m_at).count());
        m_at = now;
        if (tokens > m_level)
        {
            return false;
        }
        m_level -= tokens;
        return true;
    }
};

struct open_request
{
    arrival const* m_arrival = nullptr;
    prefix::block_chain m_chain;
    time_point m_arrived;
    std::vector<upstream_id> m_tried;
    std::size_t m_engine = 0;
    routing::send_number m_send = 0;
    bool m_has_first_token = false;
};

/** The decision library of one instance. */
struct instance
{
    instance(run_options const& options, std::uint64_t seed)
        : m_random(seed),
          m_table(options.m_table, [this] { return m_random(); }),
          m_index(index_memory), m_queue(options.m_queue)
    {
    }

    std::mt19937_64 m_random;
    zone_id m_zone;
    routing::upstream_table m_table;
    prefix::prefix_index m_index;
    admission::admission_queue m_queue;
    prefix::cached_blocks m_cached;
    bool m_timer_set = false;
};

class fleet
{
public:
    fleet(trace const& item, run_options const& options)
        : m_trace(item), m_options(options), m_random(options.m_seed)
    {
        make_engines();
        make_instances();
        for (trace_organisation const& entry : item.m_site.m_organisations)
        {
            auto const burst = static_cast<double>(entry.m_burst.value());
            m_buckets[entry.m_id] = {static_cast<double>(entry.m_rate.value()),
                                     burst, burst, m_time.now()};
        }
    }

    run_result run()
    {
        constexpr duration rest = std::chrono::seconds(30);
        time_point const start = m_time.now();
        for (trace_event const& event : m_trace.m_events)
        {
            m_time.run_until(start + time_of(event));
            std::visit([this](auto const& specific) { on(specific); }, event);
        }
        m_time.run_until(m_time.now() + rest);
        return m_metrics.result();
    }

private:
    void make_engines()
    {
        engine_hooks hooks;
        hooks.m_after = [this](duration delay, std::function<void()> work)
        {
            m_time.after(delay, std::move(work));
        };
        hooks.m_now = [this]
        {
            return m_time.now();
        };
        hooks.m_on_prefill = [this](std::uint64_t attempt, std::int64_t cached)
        {
            on_prefill(attempt, cached);
        };
        hooks.m_on_first_token = [this](std::uint64_t attempt)
        {
            on_first_token(attempt);
        };
        hooks.m_on_end = [this](std::uint64_t attempt, bool complete)
        {
            on_end(attempt, complete);
        };
        for (trace_engine const& item : m_trace.m_site.m_engines)
        {
            config::upstream upstream;
            upstream.m_id = item.m_id;
            upstream.m_zone = item.m_zone;
            upstream.m_models = {model};
            m_upstreams.push_back(std::move(upstream));
            m_engines.push_back(std::make_unique<engine_fake>(
                engine_costs(), hooks, m_random()));
        }
        sample_loads();
    }

    void sample_loads()
    {
        for (auto const& engine : m_engines)
        {
            engine->sample_load();
        }
        m_time.after(engine_costs().m_report_interval,
                     [this] { sample_loads(); });
    }

    void make_instances()
    {
        auto const count = static_cast<std::size_t>(m_trace.m_site.m_instances);
        for (std::size_t number = 0; number < count; ++number)
        {
            m_instances.push_back(
                std::make_unique<instance>(m_options, m_random()));
            instance& item = *m_instances.back();
            auto const& zones = m_trace.m_site.m_zones;
            item.m_zone = zones[number % zones.size()];
            item.m_table.apply_configuration(m_upstreams);
            for (auto const& entry : m_trace.m_site.m_organisations)
            {
                item.m_queue.set_weight(entry.m_id, entry.m_weight);
            }
            for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
            {
                auto const phase = duration(static_cast<duration::rep>(
                    m_random() %
                    static_cast<std::uint64_t>(poll_interval.count())));
                m_time.after(phase,
                             [this, number, engine] { poll(number, engine); });
            }
        }
    }

    /** Reads the load and the cache events, as the daemon does. */
    void poll(std::size_t number, std::size_t engine)
    {
        m_time.after(poll_interval,
                     [this, number, engine] { poll(number, engine); });
        engine_fake const& source = *m_engines[engine];
        if (!source.is_up())
        {
            return;
        }
        instance& item = *m_instances[number];
        routing::load_report const report = source.load();
        item.m_table.apply_load_report(m_upstreams[engine].m_id, report,
                                       m_time.now());
        auto const slot = static_cast<prefix::engine_number>(engine);
        item.m_index.note_incarnation(slot, report.m_incarnation);
        auto const events = source.events_after(item.m_index.last_seq(slot));
        if (item.m_index.apply(slot, report.m_incarnation, events) &&
            !events.empty())
        {
            m_time.after(snapshot_delay,
                         [this, number, engine, slot] {
                             m_instances[number]->m_index.apply(
                                 slot, m_engines[engine]->snapshot());
                         });
        }
        drain(number);
    }

    void on(arrival const& item)
    {
        auto const tokens =
            static_cast<double>(item.m_prompt_tokens + item.m_generated_tokens);
        if (!m_buckets[item.m_organisation].take(tokens, m_time.now()))
        {
            m_metrics.note_refused_outside();
            return;
        }
        m_metrics.note_due(item);
        std::uint64_t const id = ++m_last_request;
        open_request& request = m_requests[id];
        request.m_arrival = &item;
        request.m_chain = chain_of(item);
        request.m_arrived = m_time.now();
        m_time.after(item.m_deadline, [this, id] { give_up(id); });
        enqueue(id);
    }

    /** Ends a request that has no first token at its deadline. */
    void give_up(std::uint64_t id)
    {
        auto const found = m_requests.find(id);
        if (found == m_requests.end() || found->second.m_has_first_token)
        {
            return;
        }
        open_request const& request = found->second;
        instance& item = instance_of(request);
        if (!item.m_queue.remove(request_id(std::to_string(id))))
        {
            if (!m_engines[request.m_engine]->cancel(id))
            {
                return; // its first token is about to come
            }
            item.m_table.note_ended(request.m_send, false);
        }
        m_requests.erase(id);
        m_metrics.note_refused_inside();
    }

    void on(upstream_leaves const& item)
    {
        m_engines[engine_of(item.m_upstream)]->leave();
    }

    void on(fault const& item)
    {
        if (item.m_kind == fault_kind::engine_crash)
        {
            m_engines[engine_of(item.m_upstream)]->crash(item.m_length);
        }
    }

    std::size_t engine_of(upstream_id const& id) const
    {
        auto const found = std::find_if(m_upstreams.begin(), m_upstreams.end(),
                                        [&](config::upstream const& item)
                                        { return item.m_id == id; });
        return static_cast<std::size_t>(found - m_upstreams.begin()) %
               m_upstreams.size();
    }

    void enqueue(std::uint64_t id)
    {
        open_request const& request = m_requests.at(id);
        arrival const& item = *request.m_arrival;
        admission::queued_request queued;
        queued.m_id = request_id(std::to_string(id));
        queued.m_organisation = item.m_organisation;
        queued.m_priority = item.m_priority;
        queued.m_cost =
            token_count(item.m_prompt_tokens + item.m_generated_tokens);
        queued.m_latest_start = request.m_arrived + item.m_deadline;
        auto const number = static_cast<std::size_t>(item.m_instance);
        refuse(
            m_instances[number]->m_queue.push(std::move(queued), m_time.now()));
        drain(number);
    }

    void refuse(std::vector<admission::refused_request> const& refused)
    {
        for (admission::refused_request const& item : refused)
        {
            m_requests.erase(std::stoull(item.m_id.value()));
            m_metrics.note_refused_inside();
        }
    }

    void drain(std::size_t number)
    {
        instance& item = *m_instances[number];
        routing::choice chosen;
        while (auto const next =
                   item.m_queue.pop(m_time.now(),
                                    [&](admission::queued_request const& queued)
                                    {
                                        chosen = choose(item, queued);
                                        return chosen.m_upstream.has_value();
                                    }))
        {
            send(item, std::stoull(next->m_id.value()), chosen);
        }
        refuse(item.m_queue.expire(m_time.now()));
        if (item.m_queue.size() > 0 && !item.m_timer_set)
        {
            item.m_timer_set = true;
            m_time.after(*item.m_queue.next_timer() - m_time.now(),
                         [this, number]
                         {
                             m_instances[number]->m_timer_set = false;
                             drain(number);
                         });
        }
    }

    routing::choice choose(instance& item,
                           admission::queued_request const& queued)
    {
        open_request const& request =
            m_requests.at(std::stoull(queued.m_id.value()));
        if (m_options.m_sees_all)
        {
            look_everywhere(item, request);
        }
        else
        {
            item.m_index.lookup(request.m_chain, item.m_cached);
        }
        routing::choice_request wanted;
        wanted.m_model = model;
        wanted.m_weights_version = version;
        wanted.m_zone = item.m_zone;
        wanted.m_exclude = request.m_tried;
        wanted.m_blocks = request.m_chain.m_blocks;
        wanted.m_cached = item.m_cached;
        wanted.m_prompt_tokens =
            token_count(request.m_arrival->m_prompt_tokens);
        wanted.m_block_tokens = token_count(block_tokens);
        return choose_upstream(item.m_table, wanted, m_time.now());
    }

    void look_everywhere(instance& item, open_request const& request)
    {
        item.m_cached.assign(m_engines.size(), 0);
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
        {
            engine_fake const& source = *m_engines[engine];
            item.m_cached[engine] = static_cast<std::uint16_t>(
                source.cached_depth(request.m_chain.m_blocks));
            routing::load_report report = source.true_load();
            if (!source.is_up())
            {
                report.m_state = routing::engine_state::loading;
            }
            item.m_table.apply_load_report(m_upstreams[engine].m_id, report,
                                           m_time.now());
        }
    }

    void send(instance& item, std::uint64_t id, routing::choice const& chosen)
    {
        open_request& request = m_requests.at(id);
        request.m_engine = chosen.m_number;
        request.m_tried.push_back(*chosen.m_upstream);
        if (request.m_tried.size() > 1)
        {
            m_metrics.note_retry();
        }
        token_count const uncached =
            token_count(request.m_arrival->m_prompt_tokens) -
            chosen.m_cached_tokens;
        request.m_send =
            item.m_table.note_sent(*chosen.m_upstream, uncached, m_time.now());
        engine_job job;
        job.m_attempt = id;
        job.m_priority = request.m_arrival->m_priority;
        job.m_blocks = request.m_chain.m_blocks;
        job.m_prompt_tokens = request.m_arrival->m_prompt_tokens;
        job.m_generated_tokens = request.m_arrival->m_generated_tokens;
        if (!m_engines[chosen.m_number]->submit(std::move(job)))
        {
            item.m_table.note_refused(*chosen.m_upstream, m_time.now());
            item.m_table.note_ended(request.m_send, false);
            m_time.after(duration(), [this, id] { retry(id); });
            return;
        }
        if (m_options.m_assume_stored)
        {
            item.m_index.assume_stored(chosen.m_number, request.m_chain);
        }
    }

    void retry(std::uint64_t id)
    {
        if (m_requests.count(id) == 0)
        {
            return; // given up in the meantime
        }
        if (m_requests.at(id).m_tried.size() >= max_attempts)
        {
            m_requests.erase(id);
            m_metrics.note_refused_inside();
            return;
        }
        enqueue(id);
    }

    void on_prefill(std::uint64_t id, std::int64_t cached)
    {
        open_request const& request = m_requests.at(id);
        std::size_t anywhere = 0;
        for (auto const& engine : m_engines)
        {
            anywhere = std::max(anywhere,
                                engine->cached_depth(request.m_chain.m_blocks));
        }
        m_metrics.note_prefill(request.m_arrival->m_prompt_tokens, cached,
                               static_cast<std::int64_t>(anywhere) *
                                   block_tokens);
    }

    instance& instance_of(open_request const& request)
    {
        return *m_instances[static_cast<std::size_t>(
            request.m_arrival->m_instance)];
    }

    void on_first_token(std::uint64_t id)
    {
        open_request& request = m_requests.at(id);
        request.m_has_first_token = true;
        instance_of(request).m_table.note_first_token(request.m_send,
                                                      m_time.now());
        m_metrics.note_first_token(
            *request.m_arrival,
            std::chrono::duration<double>(m_time.now() - request.m_arrived)
                .count());
    }

    /** A stream that breaks after its first token counts as served; its
     *  resumption is not replayed. */
    void on_end(std::uint64_t id, bool complete)
    {
        open_request const& request = m_requests.at(id);
        instance& item = instance_of(request);
        item.m_table.note_ended(request.m_send, complete);
        if (!complete)
        {
            item.m_table.note_failed(request.m_tried.back(), m_time.now());
        }
        if (complete || request.m_has_first_token)
        {
            m_requests.erase(id);
            return;
        }
        m_time.after(duration(), [this, id] { retry(id); });
    }

    trace const& m_trace;
    run_options m_options;
    std::mt19937_64 m_random;
    timeline m_time;
    metrics m_metrics;
    std::vector<config::upstream> m_upstreams;
    std::vector<std::unique_ptr<engine_fake>> m_engines;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::unordered_map<organisation_id, token_bucket> m_buckets;
    std::unordered_map<std::uint64_t, open_request> m_requests;
    std::uint64_t m_last_request = 0;
};

} // namespace

run_result run_trace(trace const& item, run_options const& options)
{
    return fleet(item, options).run();
}

} // namespace daisylead::replay
