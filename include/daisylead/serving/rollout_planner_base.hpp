/** @file Order in which engines drain and load new weights. */
#pragma once

#include <daisylead/serving/catalog_type.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
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
    /** An accepted order counts as lost after this time. */
    duration m_max_load_time = std::chrono::milliseconds(8000);
    /** Time for which an engine that has accepted an order counts as loading.
     *  One that takes longer finishes its requests first, so another one may
     *  load meanwhile. */
    duration m_load_slot_time = std::chrono::milliseconds(4000);
    /** Without an order for this long, the next engine is ordered before it is
     *  drained: the order shows whether orders are answered. */
    duration m_probe_after = std::chrono::milliseconds(2000);
    /** Below this share of orders with an answer, the next one is not expected
     *  to take its engine out of service at once. */
    double m_negligible_share = 0.1;
    /** An order is usually answered within this time. While answers are
     *  missing, an engine counts as loading for no longer than that. */
    duration m_answer_time = std::chrono::milliseconds(200);
    /** Pause between orders to an engine that does not answer them. */
    duration m_repeat_interval = std::chrono::milliseconds(200);
    /** Interval of reading the state of such an engine while no further orders
     *  are sent. */
    duration m_check_interval = std::chrono::milliseconds(500);
    /** An order without any outcome counts as failed after this time. */
    duration m_max_answer_time = std::chrono::milliseconds(3000);
    /** Time within which an unanswered order may still be carried out, and in
     *  which the next ones are expected to stay unanswered, too. */
    duration m_max_order_delay = std::chrono::milliseconds(12000);
    /** Time for which an engine is out of service when that happens. */
    duration m_expected_load_time = std::chrono::milliseconds(1000);
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
    check, ///< read its state; it may be carrying out an unanswered order
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
 *  Engines are drained first, so that a load begins as soon as it is ordered.
 *
 *  An order without an answer may be carried out later or never. Its engine
 *  goes back into service and is ordered again: all orders expect the same
 *  number of accepted orders, so the engine carries out one of them. While
 *  orders stay unanswered, engines are not drained for them. */
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

    /** Records that the engine has accepted the order just sent.
     *  @param version ordered; older than the target if a newer one was
     *         published meanwhile */
    void note_accepted(upstream_id const& engine, std::int64_t version,
                       time_point now);

    /** Records that the engine loads, though no answer said so.
     *  @param version at which the load counts as ended */
    void note_late_load(upstream_id const& engine, std::int64_t version,
                        time_point now);

    /** Records an order without an answer. The engine is back in service.
     *  @param started start of the engine's run, Unix ms
     *  @param weights version that the engine had */
    void note_unanswered(upstream_id const& engine, std::int64_t started,
                         std::int64_t weights, time_point now);

    /** Records that the engine is not loading. */
    void note_checked(upstream_id const& engine, time_point now);

    /** Records an order that was rejected, or whose load did not end in
     *  time. */
    void note_failed(upstream_id const& engine, time_point now);

    /** @return limits and timeouts. */
    rollout_options const& options() const
    {
        return m_options;
    }

    /** @return whether an engine is draining or loading. */
    bool is_busy() const
    {
        return !m_rollouts.empty();
    }

    /** Discards all rollouts in progress, e.g. after the loss of the order
     *  lease. */
    void reset();

private:
    enum class phase
    {
        draining, ///< gets no new requests
        ordered,  ///< an order was sent
        loading   ///< an order was accepted
    };

    struct engine_rollout
    {
        phase m_phase = phase::draining;
        std::int64_t m_version = 0; ///< ordered version
        time_point m_since;         ///< begin of the phase
        bool m_drained = false;     ///< out of service before the order
        bool m_late = false; ///< loading by an order that was not answered
    };

    /** Orders that an engine did not answer and may still carry out. */
    struct unanswered_orders
    {
        std::int64_t m_started = 0; ///< run of the engine
        std::int64_t m_weights = 0; ///< its weights; others make them void
        std::vector<time_point> m_sent_at;
        time_point m_next_at; ///< time of the next order or check
    };

    /** Engines out of service, and their limits. */
    struct usage
    {
        double m_loading = 0;   ///< by answered orders, and awaiting answers
        std::size_t m_late = 0; ///< loading by unanswered orders
        std::size_t m_draining = 0; ///< not yet ordered
        double m_expected = 0;      ///< loads to come by unanswered orders
        std::size_t m_at_once = 0;  ///< max. loading
        std::size_t m_max_out = 0;  ///< max. out of service
        std::size_t m_max_out_urgent = 0; ///< the same for urgent engines
    };

    using engines_by_id =
        std::unordered_map<upstream_id, rollout_engine const*>;

    bool are_orders_unanswered(time_point now) const;
    bool is_urgent(rollout_engine const& engine) const;
    static double out_of_service(usage const& use);
    double answer_share(time_point now) const;
    double expected_share() const;
    void note_answer(bool answered, time_point now);
    void end_rollouts(engines_by_id const& engines, time_point now,
                      std::vector<rollout_action>& actions);
    void drop_void_orders(engines_by_id const& engines, time_point now);
    usage current_usage(std::vector<rollout_engine> const& engines,
                        time_point now) const;
    std::vector<rollout_engine const*>
    waiting_engines(std::vector<rollout_engine> const& engines,
                    time_point now) const;
    void order_drained(engines_by_id const& engines, usage& use, time_point now,
                       std::vector<rollout_action>& actions);
    void drain(std::vector<rollout_engine const*> const& waiting,
               engines_by_id const& engines, usage& use, time_point now,
               std::vector<rollout_action>& actions);
    void order_in_service(std::vector<rollout_engine const*> const& waiting,
                          usage& use, time_point now,
                          std::vector<rollout_action>& actions);
    bool is_order_bearable(usage const& use, rollout_engine const& engine,
                           time_point now) const;
    void begin_order(upstream_id const& engine, bool is_drained, usage& use,
                     time_point now, std::vector<rollout_action>& actions);
    std::size_t max_out_of_service(std::vector<rollout_engine> const& engines,
                                   std::size_t at_once) const;

    rollout_options m_options;
    std::int64_t m_target = 0;
    std::unordered_map<upstream_id, engine_rollout> m_rollouts;
    std::unordered_map<upstream_id, time_point> m_paused_until;
    std::unordered_map<upstream_id, unanswered_orders> m_unanswered;
    std::optional<time_point> m_last_unanswered_at;
    std::optional<time_point> m_last_order_at; ///< last one sent
    /** Recent orders, oldest first, and whether they were answered. */
    std::deque<std::pair<time_point, bool>> m_answers;
};

} // namespace daisylead::serving
