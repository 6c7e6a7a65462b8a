/** @file Rollout of new weights by orders to the engines. */
#pragma once

#include "fleet_exchange.hpp"

#include <daisylead/serving/rollout_planner_base.hpp>

namespace daisylead::entry
{

/** Holds the order lease while engines have old weights, and orders them to
 *  load the newest ones. */
class rollout_controller
{
public:
    rollout_controller(boost::asio::any_io_executor const& executor,
                       fleet_state& state, fleet_exchange& exchange);

    /** Starts checking for engines with old weights. */
    void start();

    /** Releases the order lease, so that a successor need not wait for it to
     *  expire. */
    awaitable<void> release();

private:
    awaitable<void> loop();
    /** Tells the lease what is known of restores of the store. */
    void apply_store_era();
    awaitable<bool> acquire_or_renew_lease();
    /** A step of the rollout for one engine. */
    struct engine_task
    {
        serving::upstream_record m_engine;
        model_id m_model;
        std::int64_t m_version = 0; ///< to load
        bool m_orders = false;      ///< send an order if it is not loading
        std::int64_t m_weights = 0; ///< last known version
        time_point m_began;
    };

    awaitable<void> run_task(engine_task task);
    awaitable<order_outcome> send_order(engine_task const& task,
                                        std::uint64_t token,
                                        std::uint64_t accepted_orders);
    awaitable<void> wait_for_load(engine_task& task);
    static void note_report(engine_task& task, engine_report const& report);
    void end_task(engine_task const& task, std::string const& outcome);
    void publish_state(engine_task const& task, bool is_switching);
    std::vector<serving::upstream_record> engines(model_id const& model) const;
    bool has_outdated_engines() const;
    void publish(serving::weights_news const& news);
    void plan(model_id const& model, std::int64_t version, time_point now);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_state;
    fleet_exchange& m_exchange;
    time_point m_next_mark_refresh; ///< of the marks of loading engines
    serving::order_lease m_lease;
    std::map<model_id, serving::rollout_planner> m_planners;
    std::optional<time_point> m_outdated_since;
    std::optional<std::uint64_t> m_last_token;
    int m_pending_orders = 0;     ///< orders without an answer yet
    time_point m_last_order_at{}; ///< last order answered or timed out
    bool m_released = false; ///< release() was called; the process shuts down
};

} // namespace daisylead::entry
