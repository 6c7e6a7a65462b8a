/** @file Order in which engines drain and load new weights. */
#pragma once

#include <daisylead/serving/catalog_type.hpp>

#include <functional>
#include <unordered_map>
#include <vector>

namespace daisylead::serving
{

/** Limits and timeouts of a rollout. */
struct rollout_options
{
    /** Max. share of all engines that load at once, rounded up. Engines load
     *  more slowly the more of them load at the same time. */
    double m_load_share = 0.16;
    /** Max. share of the reachable engines that are out of service at once,
     *  draining or loading: about as many drain as load. The others carry the
     *  whole traffic. */
    double m_out_of_service_share = 0.34;
    /** While requests need more than this fraction of the memory of the engines
     *  in service, only as many are taken out of service as may load: beyond
     *  about a half, requests wait for memory. */
    double m_busy_fraction = 0.7;
    /** An engine with at most this many requests in flight is ordered to load;
     *  it finishes them first. Not 0, as the counts of other instances lag. */
    std::int64_t m_max_in_flight_at_order = 2;
    /** Max. time to drain before the engine is ordered to load; few streams
     *  last longer. */
    duration m_max_drain_time = std::chrono::milliseconds(2500);
    /** Delay before the retry of a failed order. */
    duration m_retry_delay = std::chrono::milliseconds(300);
    /** An engine whose weights have been outdated for this long goes next, even
     *  beyond m_load_share, as the time limit for old weights is near. */
    duration m_urgent_after = std::chrono::milliseconds(5000);
    /** A load that takes longer counts as lost and is retried. */
    duration m_max_load_time = std::chrono::milliseconds(8500);
};

/** State of an engine as input of the planner. */
struct rollout_engine
{
    upstream_id m_id;             ///< unique id
    std::int64_t m_started = 0;   ///< start time, Unix ms
    std::int64_t m_version = 0;   ///< loaded version
    std::int64_t m_in_flight = 0; ///< requests in flight at it
    duration m_outdated_for{};    ///< since a newer version was published
    bool m_reachable = true;      ///< connections to it do not fail
    double m_memory_use = 0;      ///< fraction of its memory that requests need
};

enum class rollout_step
{
    drain, ///< send it no new requests
    order, ///< order it to load
    ready  ///< it is back in service
};

/** Next action for one engine. */
struct rollout_action
{
    upstream_id m_engine;                      ///< engine id
    rollout_step m_step = rollout_step::drain; ///< action
    std::int64_t m_version = 0;                ///< version to load
};

/** Rolls out the newest weights of one model to its engines, a few at a time.
 *  Engines are drained first, so that a load begins as soon as it is
 *  ordered. */
class rollout_planner
{
public:
    explicit rollout_planner(rollout_options options);

    /** @param target newest version */
    void set_target(std::int64_t target);

    /** @return target version; 0: none yet. */
    std::int64_t target() const
    {
        return m_target;
    }

    /** @param engines all engines of the model except leaving ones
     *  @return actions to take now */
    std::vector<rollout_action> plan(std::vector<rollout_engine> const& engines,
                                     time_point now);

    /** Records an order that was rejected, or whose load did not end in
     *  time. */
    void note_failed(upstream_id const& engine, time_point now);

    /** @return whether an engine is draining or loading. */
    bool is_busy() const
    {
        return !m_rollouts.empty();
    }

    /** Discards all rollouts in progress, e.g. after the loss of the order
     *  lease. */
    void reset();

private:
    struct engine_rollout
    {
        bool m_ordered = false;
        std::int64_t m_version = 0; ///< ordered version
        time_point m_since;
    };

    std::size_t max_out_of_service(std::vector<rollout_engine> const& engines,
                                   std::size_t at_once) const;

    rollout_options m_options;
    std::int64_t m_target = 0;
    std::unordered_map<upstream_id, engine_rollout> m_rollouts;
    std::unordered_map<upstream_id, time_point> m_paused_until;
};

} // namespace daisylead::serving
