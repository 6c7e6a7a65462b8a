/** @file A model engine at the upstream interface, for replay. */
#pragma once

#include <daisylead/prefix/cache_event_type.hpp>
#include <daisylead/routing/upstream_type.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace daisylead::replay
{

/** Costs of the engine. They are of the order of a mid-size model on one
 *  accelerator; replay compares policies and does not predict times. */
struct engine_costs
{
    double m_prefill_rate = 8000;   ///< tokens per second without decoding
    double m_prefill_fixed = 0.005; ///< seconds for each prompt
    /** Decoding requests take a part of each step from prefill. */
    double m_prefill_slowdown = 0.004;  ///< per running request
    double m_step_fixed = 0.020;        ///< seconds for each token
    double m_step_per_request = 0.0003; ///< seconds per running request
    std::size_t m_max_running = 64;     ///< requests decoded together
    std::size_t m_cache_blocks = 600;   ///< LRU, of 256 tokens each
    duration m_report_interval = std::chrono::milliseconds(100); ///< load
    duration m_event_delay = std::chrono::milliseconds(150); ///< cache events
    double m_event_loss = 0.002; ///< probability that an event gets lost
};

/** A request at the engine. */
struct engine_job
{
    std::uint64_t m_attempt = 0;              ///< unique
    int m_priority = 0;                       ///< 0 is the most urgent
    std::vector<prefix::block_hash> m_blocks; ///< chain of the prompt
    std::int64_t m_prompt_tokens = 0;         ///< whole prompt
    std::int64_t m_generated_tokens = 0;      ///< of the answer
};

/** What the engine needs from the driver of the replay. */
struct engine_hooks
{
    /** Calls the function after the delay. */
    std::function<void(duration, std::function<void()>)> m_after;
    std::function<time_point()> m_now; ///< time of the replay
    /** Prefill begins with this many cached tokens. */
    std::function<void(std::uint64_t, std::int64_t)> m_on_prefill;
    std::function<void(std::uint64_t)> m_on_first_token; ///< attempt
    std::function<void(std::uint64_t, bool)> m_on_end;   ///< attempt, complete
};

/** One prompt is prefilled at a time, by priority, then arrival. Decoding goes
 *  on beside it, with a step time that depends on the batch at its start. */
class engine_fake
{
public:
    engine_fake(engine_costs costs, engine_hooks hooks, std::uint64_t seed);

    /** @return false if the connection is refused. */
    bool submit(engine_job job);

    /** Withdraws a request that still waits.
     *  @return false if its prefill has begun; it then runs to its end */
    bool cancel(std::uint64_t attempt);

    /** Loses all requests and the cache; refuses connections for a time. */
    void crash(duration length);

    void leave();

    /** @return the last load report, at most one interval old. */
    routing::load_report load() const;

    /** @return the load at this moment. */
    routing::load_report true_load() const;

    /** @return events after seq that were published, with gaps. */
    std::vector<prefix::cache_event> events_after(std::int64_t seq) const;

    prefix::cache_snapshot snapshot() const;

    /** @return leading blocks that are cached now. */
    std::size_t
    cached_depth(std::vector<prefix::block_hash> const& blocks) const;

    incarnation current_incarnation() const
    {
        return m_incarnation;
    }

    bool is_up() const
    {
        return m_up;
    }

    /** Takes the sample that load() returns. */
    void sample_load();

private:
    struct logged_event
    {
        time_point m_at;
        prefix::cache_event m_event;
        bool m_lost = false;
    };

    void start_prefill();
    void end_prefill(engine_job const& job);
    void touch(std::vector<prefix::block_hash> const& blocks);
    void log(prefix::cache_event_kind kind,
             std::vector<prefix::block_hash> blocks);
    std::int64_t uncached(engine_job const& job) const;

    engine_costs m_costs;
    engine_hooks m_hooks;
    std::mt19937_64 m_random;
    bool m_up = true;
    bool m_leaving = false;
    incarnation m_incarnation{1};
    std::map<std::pair<int, std::uint64_t>, engine_job> m_waiting;
    std::uint64_t m_arrivals = 0;
    std::set<std::uint64_t> m_running;
    std::uint64_t m_prefilling = 0; ///< attempt; 0 is none
    time_point m_prefill_end;
    std::list<prefix::block_hash> m_lru; ///< most recently used first
    std::unordered_map<prefix::block_hash,
                       std::list<prefix::block_hash>::iterator>
        m_cached;
    std::vector<logged_event> m_log;
    routing::load_report m_sample;
    time_point m_sample_at;
};

} // namespace daisylead::replay
