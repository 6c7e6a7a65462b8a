/** @file Which engine loads new weights next. */
#pragma once

#include <daisylead/serving/catalog_type.hpp>

#include <functional>
#include <unordered_map>
#include <vector>

namespace daisylead::serving
{

/** Limits of a rollout. */
struct rollout_options
{
    /** Engines that may load at once, as a share of all; more of them load
     *  more slowly. Rounded up. */
    double m_load_share = 0.16;
    /** Engines that may be out of service at once, emptying themselves or
     *  loading, as a share of those that can be reached: as many empty
     *  themselves as load. The others carry the whole traffic. */
    double m_out_of_service_share = 0.34;
    /** While the requests of the engines in service need more than this part
     *  of their memory, only as many are taken out as may load: beyond about a
     *  half requests wait for memory. */
    double m_busy_fraction = 0.7;
    /** An engine with so few requests left is ordered to load; it finishes
     *  these first. Counts of other instances lag. */
    std::int64_t m_max_in_flight_at_order = 2;
    /** Longest time in which an engine empties itself before it is ordered to
     *  load; few streams last longer. */
    duration m_max_drain_time = std::chrono::milliseconds(2500);
    /** Pause before an engine whose order failed is tried again. */
    duration m_retry_delay = std::chrono::milliseconds(300);
    /** An engine whose weights have been old for this long is taken next and
     *  beyond the share that may load at once: its deadline is near. */
    duration m_urgent_after = std::chrono::milliseconds(5000);
    /** A load that takes longer is taken as lost and asked for again. */
    duration m_max_load_time = std::chrono::milliseconds(8500);
};

/** An engine as the planner sees it. */
struct rollout_engine
{
    upstream_id m_id;             ///< the engine
    std::int64_t m_started = 0;   ///< its start
    std::int64_t m_version = 0;   ///< loaded version
    std::int64_t m_in_flight = 0; ///< requests at it
    duration m_outdated_for{};    ///< since a newer version was named
    bool m_reachable = true;      ///< connections to it succeed
    double m_memory_use = 0;      ///< part of its memory that requests need
};

enum class rollout_step
{
    drain, ///< send it no new work
    order, ///< order it to load
    ready  ///< it serves again; its turn is over
};

/** What has to be done with one engine. */
struct rollout_action
{
    upstream_id m_engine;                      ///< the engine
    rollout_step m_step = rollout_step::drain; ///< what to do
    std::int64_t m_version = 0;                ///< version to load
};

/** Takes engines to the newest weights of one model, a few at a time: they are
 *  emptied first, so that loads begin at once. */
class rollout_planner
{
public:
    explicit rollout_planner(rollout_options options);

    /** @param target newest version */
    void set_target(std::int64_t target);

    /** @return target version; 0 before the first. */
    std::int64_t target() const
    {
        return m_target;
    }

    /** @param engines all engines of the model that are not leaving
     *  @return what to do now */
    std::vector<rollout_action> plan(std::vector<rollout_engine> const& engines,
                                     time_point now);

    /** The order was not accepted, or its load did not end in time. */
    void note_failed(upstream_id const& engine, time_point now);

    /** @return whether an engine is emptied or loads. */
    bool is_busy() const
    {
        return !m_rollouts.empty();
    }

    /** Forgets all turns, for example because the lease was lost. */
    void reset();

private:
    struct engine_rollout
    {
        bool m_ordered = false;
        std::int64_t m_version = 0; ///< of the order
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
