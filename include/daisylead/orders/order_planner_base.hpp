/** @file Brings engines into the state that the configuration wants. */
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

/** Times and limits of the planner. */
struct order_options
{
    /** Longest time from the send of an order to its end at the engine. A
     *  successor waits for it after the old lease. */
    std::chrono::milliseconds m_order_timeout{10000};
    std::chrono::milliseconds m_check_interval{60000}; ///< between reads
    std::chrono::milliseconds m_poll_interval{500};    ///< while it loads
    std::chrono::milliseconds m_initial_backoff{1000}; ///< after a failure
    std::chrono::milliseconds m_max_backoff{60000};    ///< after many
    /** An engine that ignores fence numbers gets no order this close to the
     *  end of the lease, because a short pause could carry it past the end. */
    std::chrono::milliseconds m_unfenced_margin{1000};
    std::size_t m_max_checks = 16; ///< reads at the same time
};

/** @return what an engine shall have loaded: its models, then the adapters that
 *  it lists or that belong to its models. */
std::vector<order_item> desired_items(config::configuration const& rules,
                                      config::upstream const& engine);

/** @return the first item that the state lacks, or null. */
order_item const* find_missing(std::vector<order_item> const& desired,
                               engine_state const& state);

/** Compares the state of engines with the configuration and gives orders while
 *  the instance holds the order lease. Orders name the wanted state, so one
 *  that is carried out twice does no harm. The state is read before and after
 *  each order. Pure logic: no I/O and no clock. */
class order_planner
{
public:
    using actions = std::vector<order_action>;

    explicit order_planner(order_options options);

    /** Takes a configuration. */
    actions set_configuration(config::configuration const& rules,
                              time_point now);

    /** The lease was taken or renewed. A term that was ended by stale_fence is
     *  not taken up again. */
    actions set_term(order_term const& term, time_point now);

    /** The lease was lost or released. */
    void clear_term();

    /** Takes the versions of a load report, which may be old: a difference
     *  leads to a read.
     *  @param versions by model or adapter */
    actions on_load_report(upstream_id const& engine,
                           std::map<std::string, std::string> const& versions,
                           time_point now);

    /** Takes the answer to a read_state; nothing if it failed. */
    actions on_state(std::uint64_t read,
                     std::optional<engine_state> const& state, time_point now);

    /** Takes the answer to a send_order. */
    actions on_order(std::uint64_t order, order_outcome outcome,
                     time_point now);

    /** Does what is due. */
    actions on_timer(time_point now);

    /** @return when on_timer is needed next, if at all. */
    std::optional<time_point> next_timer() const;

    /** @return loads that are counted as running, for metrics. */
    std::size_t loads_running() const;

    /** @return whether a term is held. */
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
        sending_order,        ///< an order is on its way
        polling,              ///< waits for the next read of its load
        reading_after_order   ///< is read after an order
    };

    struct engine
    {
        config::upstream m_upstream;       ///< from the configuration
        std::vector<order_item> m_desired; ///< wanted state
        stage m_stage = stage::idle;       ///< what is awaited
        std::uint64_t m_call = 0;          ///< running call; 0: none
        bool m_has_slot = false;           ///< counts as a load
        order_item m_last_order;           ///< last order
        bool m_is_outcome_unknown = false; ///< its answer was lost
        time_point m_load_deadline;        ///< end of the wait for its load
        time_point m_due;                  ///< next step when not in a call
        int m_failures = 0;                ///< in a row
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
    time_point m_orders_allowed_at; ///< end of the wait for the predecessor
    fence_number m_stale_fence;     ///< highest fence that is known to be stale
    std::unordered_map<upstream_id, engine> m_engines;
    std::unordered_map<std::uint64_t, upstream_id> m_calls;
    std::deque<upstream_id>
        m_slot_queue; ///< engines in stage wanting, in order
    std::set<std::pair<time_point, upstream_id>> m_timers;
    std::set<std::pair<time_point, upstream_id>>
        m_orphaned_loads;         ///< of engines
                                  ///< that were removed while loading
    std::size_t m_used_slots = 0; ///< engines with m_has_slot
    std::size_t m_checks = 0;     ///< engines in stage checking
    std::uint64_t m_next_call = 1;
    actions m_actions;
};

} // namespace daisylead::orders
