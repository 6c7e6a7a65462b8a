/** @file Controller that brings engines into their configured state. */
#pragma once

#include <daisylead/config/configuration_type.hpp>
#include <daisylead/orders/order_type.hpp>

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisylead::orders
{

/** Timeouts and limits of the planner. */
struct order_options
{
    /** Limit from the send of an order to its end at the engine. The next
     *  holder of the lease waits for it after the previous lease ended. */
    std::chrono::milliseconds m_order_timeout{10000};
    std::chrono::milliseconds m_check_interval{60000}; ///< between reads
    std::chrono::milliseconds m_poll_interval{500};    ///< during a load
    std::chrono::milliseconds m_initial_backoff{1000}; ///< after a failure
    std::chrono::milliseconds m_max_backoff{60000};    ///< after many
    /** An engine that does not check fencing numbers gets no order for this
     *  time before the end of the lease, because a short pause of the sender
     *  could delay the order past the end. */
    std::chrono::milliseconds m_unfenced_margin{1000};
    std::size_t m_max_checks = 16; ///< concurrent checks
};

/** @return models and adapters that the configuration assigns to an engine: its
 *  models, then the adapters that it lists or that belong to its models. */
std::vector<order_item> desired_items(config::configuration const& rules,
                                      config::upstream const& engine);

/** @return first item that the state lacks or has in another version, or
 *  null. */
order_item const* find_missing(std::vector<order_item> const& desired,
                               engine_state const& state);

/** Compares the state of engines with the configuration and sends orders while
 *  this instance holds the order lease. Orders are idempotent, since they name
 *  the desired state. The state is read before and after each order. Does no
 *  I/O and reads no clock: it returns actions and is passed the time. */
class order_planner
{
public:
    using actions = std::vector<order_action>;

    explicit order_planner(order_options options);

    /** Applies a configuration and schedules the engines whose desired state
     *  changed. */
    actions set_configuration(config::configuration const& rules,
                              time_point now);

    /** Starts or extends a term, after the lease was acquired or renewed. A
     *  term that ended by order_outcome::stale_fence is not started again. */
    actions set_term(order_term const& term, time_point now);

    /** Ends the term, after the lease was lost or released. */
    void clear_term();

    /** Handles the versions in a load report. The report may be stale, so a
     *  difference only leads to a read.
     *  @param versions by model or adapter */
    actions on_load_report(upstream_id const& engine,
                           std::map<std::string, std::string> const& versions,
                           time_point now);

    /** Handles the result of a read_state.
     *  @param state absent if the read failed */
    actions on_state(std::uint64_t read,
                     std::optional<engine_state> const& state, time_point now);

    /** Handles the outcome of a send_order. */
    actions on_order(std::uint64_t order, order_outcome outcome,
                     time_point now);

    /** Starts the reads and orders that are due. */
    actions on_timer(time_point now);

    /** @return when to call on_timer() next, if at all. */
    std::optional<time_point> next_timer() const;

    /** @return number of loads that count against the limit. */
    std::size_t loads_running() const;

    /** @return whether a term is active. */
    bool has_term() const
    {
        return m_term.has_value();
    }

private:
    enum class stage
    {
        idle,                 ///< waits for its next check
        checking,             ///< is read to find differences
        awaiting_slot,        ///< waits for a load slot
        reading_before_order, ///< is read right before an order
        sending_order,        ///< an order has no outcome yet
        polling,              ///< waits for the next read of its load
        reading_after_order   ///< is read to see the effect of an order
    };

    struct engine
    {
        config::upstream m_upstream;       ///< from the configuration
        std::vector<order_item> m_desired; ///< desired state
        stage m_stage = stage::idle;       ///< next event it waits for
        std::uint64_t m_call = 0;          ///< open call; 0: none
        bool m_has_slot = false;           ///< counts as a load
        order_item m_last_order;           ///< empty: none in this load
        bool m_is_outcome_unknown = false; ///< of the last order
        time_point m_load_deadline; ///< when to stop waiting for the load
        time_point m_due;           ///< next step if no call is open
        int m_failures = 0;         ///< consecutive
    };

    bool may_send(engine const& item, time_point now) const;
    void run(time_point now);
    void start_due_read(engine& item, time_point now);
    void start_queued_orders(time_point now);
    void start_read(engine& item, stage next);
    void handle_check(engine& item, engine_state const& state, time_point now);
    void handle_read_before_order(engine& item, engine_state const& state,
                                  time_point now);
    void handle_read_after_order(engine& item,
                                 std::optional<engine_state> const& state,
                                 time_point now);
    void finish_or_queue(engine& item, engine_state const& state,
                         time_point now);
    void start_order(engine& item, order_item const& wanted, time_point now);
    void queue_for_slot(engine& item);
    void release_slot(engine& item);
    void back_off(engine& item, time_point now);
    void poll(engine& item, time_point now);
    void schedule(engine& item, time_point due);
    void end_call(engine& item);
    void drop_engine(engine const& item);
    engine* find_call(std::uint64_t call);
    actions take_actions(time_point now);

    order_options m_options;
    std::size_t m_loads_at_once = 0;
    std::optional<order_term> m_term;
    time_point m_orders_allowed_at; ///< orders of the last holder ended
    fence_number m_stale_fence;     ///< greatest one known to be stale
    std::unordered_map<upstream_id, engine> m_engines;
    std::unordered_map<std::uint64_t, upstream_id> m_calls;
    /** Engines in stage awaiting_slot, in order of arrival. */
    std::deque<upstream_id> m_slot_queue;
    std::set<std::pair<time_point, upstream_id>> m_timers;
    /** Deadlines of the loads of removed engines. */
    std::set<std::pair<time_point, upstream_id>> m_orphaned_loads;
    std::size_t m_used_slots = 0; ///< engines with m_has_slot
    std::size_t m_checks = 0;     ///< engines in stage checking
    std::uint64_t m_next_call = 1;
    actions m_actions;
};

} // namespace daisylead::orders
