/** @file Rollout of new weights by orders to the engines. */
#include "rollout_controller.hpp"

#include "keep_running_func.hpp"
#include "pause_func.hpp"

#include <daisylead/telemetry/log_func.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::entry
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using telemetry::severity;

/** Interval of planning steps during a rollout. */
constexpr std::chrono::milliseconds plan_interval = 50ms;

/** Interval of checks while no engine has old weights. */
constexpr std::chrono::milliseconds idle_poll_interval = 100ms;

/** The same at instances that several others precede in rank. */
constexpr std::chrono::milliseconds low_rank_poll_interval = 500ms;

/** Delay per rank before an instance tries to take the lease. */
constexpr duration lease_rank_delay = 300ms;

/** If another holder sent news of weights within this time, this instance
 *  does not try to take the lease. */
constexpr duration holder_silent_after = 1200ms;

/** Delay between attempts to take the lease. */
constexpr std::chrono::milliseconds lease_retry_delay = 300ms;

/** Minimum duration of a load; an earlier report cannot show its end. */
constexpr std::chrono::milliseconds min_load_time = 520ms;

/** Interval of reading the state of a loading engine; a report is some
 *  hundred milliseconds old. */
constexpr std::chrono::milliseconds report_interval = 110ms;

/** An engine that has accepted an order is not loading after this many reports
 *  in a row without an order in progress; a report is some hundred milliseconds
 *  old. */
constexpr int max_idle_reports = 6;

/** Outcome of an engine that has the ordered weights, in the log. */
constexpr char const* loaded_outcome = "loaded";

/** Interval of renewing the marks of loading engines, which expire after
 *  about three intervals. */
constexpr duration mark_refresh_interval = 500ms;

serving::order_lease_options
lease_options(config::entry_settings const& settings)
{
    serving::order_lease_options options;
    options.m_handover =
        settings.m_order_handover + std::chrono::milliseconds(300);
    return options;
}

} // namespace

rollout_controller::rollout_controller(asio::any_io_executor const& executor,
                                       fleet_state& state,
                                       fleet_exchange& exchange)
    : m_executor(executor), m_state(state), m_exchange(exchange),
      m_lease(state.m_settings.m_instance, lease_options(state.m_settings))
{
}

void rollout_controller::start()
{
    keep_running(m_executor, "orders", [this] { return loop(); });
}

std::vector<serving::upstream_record>
rollout_controller::engines(model_id const& model) const
{
    std::vector<serving::upstream_record> found;
    for (serving::service const& service :
         m_state.m_catalog->content().m_services)
    {
        if (!service.m_engine)
        {
            continue;
        }
        for (serving::upstream_record& record :
             m_state.m_upstream_pool.usable(service.m_id))
        {
            if (record.m_weights.contains(model))
            {
                found.push_back(std::move(record));
            }
        }
    }
    return found;
}

bool rollout_controller::has_outdated_engines() const
{
    if (!m_state.m_catalog)
    {
        return false;
    }
    auto const& targets = m_state.m_catalog->content().m_weights;
    return std::any_of(targets.begin(), targets.end(),
                       [this](serving::weights_target const& target)
                       {
                           return m_state.m_upstream_pool.has_older_weights(
                               target.m_model, target.m_version);
                       });
}

awaitable<void> rollout_controller::loop()
{
    for (;;)
    {
        time_point const now = boot_time();
        bool const busy = std::any_of(m_planners.begin(), m_planners.end(),
                                      [](auto const& entry)
                                      { return entry.second.is_busy(); });
        if (m_released || (!has_outdated_engines() && !busy))
        {
            m_outdated_since.reset();
            co_await pause(m_executor, m_state.m_roster.rank(now) < 2
                                           ? idle_poll_interval
                                           : low_rank_poll_interval);
            continue;
        }
        if (!m_outdated_since)
        {
            m_outdated_since = now;
        }
        bool const holds = m_lease.token(now).has_value();
        bool const other_holder_active =
            m_state.m_last_weights_news_at &&
            now - *m_state.m_last_weights_news_at < holder_silent_after;
        duration const delay =
            m_lease.is_last_holder()
                ? duration::zero()
                : lease_rank_delay *
                      static_cast<int>(m_state.m_roster.rank(now));
        if (!holds && (m_state.m_draining || other_holder_active ||
                       now - *m_outdated_since < delay))
        {
            co_await pause(m_executor, plan_interval);
            continue;
        }
        bool const held = co_await acquire_or_renew_lease();
        if (!held)
        {
            co_await pause(m_executor, lease_retry_delay);
            continue;
        }
        if (m_state.m_catalog)
        {
            for (serving::weights_target const& target :
                 m_state.m_catalog->content().m_weights)
            {
                plan(target.m_model, target.m_version, boot_time());
            }
        }
        co_await pause(m_executor, plan_interval);
    }
}

awaitable<void> rollout_controller::release()
{
    m_released = true;
    if (!m_lease.token(boot_time()))
    {
        co_return;
    }
    // No order is sent from here on, so the row can state the time since the
    // last order.
    m_lease.note_released();
    std::optional<serving::lease_row_state> const row =
        co_await m_state.m_adapter.m_read_lease();
    if (row && row->m_holder == m_state.m_settings.m_instance)
    {
        instance_id const no_holder;
        duration const since_last_order = m_pending_orders > 0
                                              ? duration::zero()
                                              : boot_time() - m_last_order_at;
        lease_write const written = co_await m_state.m_adapter.m_write_lease(
            row->m_version, no_holder, since_last_order);
        telemetry::log(
            severity::info, "order_lease_released",
            {{"written", written.m_status == lease_write::status::written},
             {"quiet_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              since_last_order)
                              .count()}});
    }
}

void rollout_controller::apply_store_era()
{
    if (m_state.m_store_restored_at)
    {
        m_lease.note_store_restored(*m_state.m_store_restored_at);
    }
    // A store without eras is never restored.
    if (m_state.m_store_era != 0)
    {
        m_lease.note_store_known_since(m_state.m_store_era_since);
    }
}

awaitable<bool> rollout_controller::acquire_or_renew_lease()
{
    apply_store_era();
    if (m_lease.wants_read(boot_time()))
    {
        std::optional<serving::lease_row_state> const row =
            co_await m_state.m_adapter.m_read_lease();
        if (!row)
        {
            co_return false;
        }
        // This answer may be the first one since the store was restored.
        m_state.note_store_era(row->m_era, "lease");
        apply_store_era();
        m_lease.note_row(*row, boot_time());
    }
    auto const version = m_lease.write_due(boot_time());
    if (version)
    {
        time_point const sent_at = boot_time();
        lease_write const written = co_await m_state.m_adapter.m_write_lease(
            *version, m_state.m_settings.m_instance, duration::zero());
        if (written.m_status == lease_write::status::written)
        {
            m_lease.note_written(written.m_version, sent_at);
        }
        else
        {
            m_lease.note_write_failed(boot_time());
        }
    }
    auto const token = m_lease.token(boot_time());
    if (token != m_last_token)
    {
        telemetry::log(severity::info,
                       token ? "order_lease_held" : "order_lease_lost",
                       {{"token", token.value_or(m_last_token.value_or(0))}});
        m_last_token = token;
        if (!token)
        {
            for (auto& [model, planner] : m_planners)
            {
                planner.reset();
            }
        }
    }
    co_return token.has_value();
}

void rollout_controller::plan(model_id const& model, std::int64_t version,
                              time_point now)
{
    serving::rollout_options options;
    options.m_load_share =
        static_cast<double>(m_state.m_settings.m_load_percent) / 100;
    duration const max_age = m_state.m_settings.m_weights_max_age;
    options.m_urgent_after = max_age * 5 / 8;
    options.m_max_load_time = max_age;
    options.m_load_slot_time = max_age / 2;
    serving::rollout_planner& planner =
        m_planners.try_emplace(model, options).first->second;
    if (planner.target() < version)
    {
        planner.set_target(version);
        telemetry::log(severity::info, "weights_rollout",
                       {{"model", model.value()}, {"version", version}});
    }
    std::map<upstream_id, serving::upstream_record> records;
    std::vector<serving::rollout_engine> list;
    for (serving::upstream_record& engine : engines(model))
    {
        serving::service const* const service =
            m_state.m_catalog->find_service(engine.m_service);
        list.push_back(
            {engine.m_id, engine.m_started, engine.m_weights.at(model),
             m_state.m_upstream_pool.in_flight(engine.m_id),
             m_state.m_upstream_pool.outdated_for(engine.m_id, model, now)
                 .value_or(duration::zero()),
             m_state.m_upstream_pool.is_reachable(engine.m_id, now),
             m_state.m_upstream_pool.memory_use(
                 engine.m_id,
                 service == nullptr ? token_count() : service->m_capacity)});
        upstream_id const id = engine.m_id;
        records.emplace(id, std::move(engine));
    }
    if (planner.is_busy())
    {
        if (now >= m_next_mark_refresh)
        {
            m_next_mark_refresh = now + mark_refresh_interval;
            m_state.refresh_loading_marks(now);
            m_exchange.send_now();
        }
    }
    bool changed = false;
    for (serving::rollout_action const& action : planner.plan(list, now))
    {
        auto const found = records.find(action.m_engine);
        if (found == records.end())
        {
            continue;
        }
        serving::upstream_record const& engine = found->second;
        if (action.m_step == serving::rollout_step::order ||
            action.m_step == serving::rollout_step::check)
        {
            engine_task const task{engine,
                                   model,
                                   action.m_version,
                                   action.m_step ==
                                       serving::rollout_step::order,
                                   engine.m_weights.at(model),
                                   now};
            run_once(m_executor, "weights_order",
                     [this, task] { return run_task(task); });
        }
        else
        {
            publish({engine.m_id, engine.m_started, model,
                     engine.m_weights.at(model),
                     action.m_step == serving::rollout_step::drain});
            changed = true;
        }
    }
    if (changed)
    {
        m_exchange.send_now();
    }
}

void rollout_controller::publish(serving::weights_news const& news)
{
    auto const token = m_lease.token(boot_time());
    if (!token)
    {
        m_state.m_upstream_pool.note_weights(news, boot_time());
        return;
    }
    m_state.publish_weights(*token, news, boot_time());
}

awaitable<void> rollout_controller::run_task(engine_task task)
{
    serving::rollout_planner& planner = m_planners.at(task.m_model);
    std::optional<engine_report> const report =
        co_await m_state.m_adapter.m_read_report(task.m_engine.m_id,
                                                 task.m_engine.m_address);
    if (!report)
    {
        end_task(task, "no_report");
        co_return;
    }
    note_report(task, *report);
    if (task.m_weights >= task.m_version && !report->m_busy)
    {
        end_task(task, loaded_outcome);
        co_return;
    }
    if (report->m_busy)
    {
        planner.note_late_load(task.m_engine.m_id, task.m_version, boot_time());
        publish_state(task, true);
        co_await wait_for_load(task);
        co_return;
    }
    if (!task.m_orders)
    {
        planner.note_checked(task.m_engine.m_id, boot_time());
        co_return;
    }
    auto const token = m_lease.token(boot_time());
    if (!token)
    {
        end_task(task, "lease_lost");
        co_return;
    }
    switch (co_await send_order(task, *token, report->m_accepted_orders))
    {
    case order_outcome::accepted:
        planner.note_accepted(task.m_engine.m_id, task.m_version, boot_time());
        publish_state(task, true);
        co_await pause(m_executor, min_load_time);
        co_await wait_for_load(task);
        break;
    case order_outcome::refused:
        end_task(task, "refused");
        break;
    case order_outcome::unknown:
        planner.note_unanswered(task.m_engine.m_id, task.m_engine.m_started,
                                task.m_engine.m_weights.at(task.m_model),
                                boot_time());
        publish_state(task, false);
        break;
    }
}

awaitable<order_outcome>
rollout_controller::send_order(engine_task const& task, std::uint64_t token,
                               std::uint64_t accepted_orders)
{
    // A named variable, since g++ 12 destroys a braced temporary in an awaited
    // call twice.
    load_order const order{task.m_engine.m_id,
                           task.m_engine.m_address,
                           task.m_model,
                           task.m_version,
                           token,
                           accepted_orders};
    ++m_pending_orders;
    order_outcome const sent = co_await m_state.m_adapter.m_send_order(order);
    --m_pending_orders;
    m_last_order_at = boot_time();
    std::string const answer = sent == order_outcome::accepted  ? "accepted"
                               : sent == order_outcome::refused ? "refused"
                                                                : "none";
    m_state.m_metrics.count(
        "daisylead_orders_total",
        {{"outcome", sent == order_outcome::unknown ? "unknown" : answer}});
    telemetry::log(severity::info, "weights_order_sent",
                   {{"upstream", task.m_engine.m_id.value()},
                    {"version", task.m_version},
                    {"expected_orders", accepted_orders},
                    {"answer", answer}});
    co_return sent;
}

/** Waits until an engine that has accepted an order has carried it out. */
awaitable<void> rollout_controller::wait_for_load(engine_task& task)
{
    duration const max_load_time =
        m_planners.at(task.m_model).options().m_max_load_time;
    int idle_reports = 0;
    while (boot_time() - task.m_began < max_load_time)
    {
        std::optional<engine_report> const report =
            co_await m_state.m_adapter.m_read_report(task.m_engine.m_id,
                                                     task.m_engine.m_address);
        if (report)
        {
            note_report(task, *report);
            if (!report->m_busy && task.m_weights >= task.m_version)
            {
                end_task(task, loaded_outcome);
                co_return;
            }
            idle_reports = report->m_busy ? 0 : idle_reports + 1;
            if (idle_reports >= max_idle_reports)
            {
                end_task(task, "not_loaded");
                co_return;
            }
        }
        co_await pause(m_executor, report_interval);
    }
    end_task(task, "lost");
}

void rollout_controller::note_report(engine_task& task,
                                     engine_report const& report)
{
    auto const loaded = report.m_weights.find(task.m_model);
    if (loaded != report.m_weights.end())
    {
        task.m_weights = std::max(task.m_weights, loaded->second);
    }
}

void rollout_controller::end_task(engine_task const& task,
                                  std::string const& outcome)
{
    bool const done = outcome == loaded_outcome;
    telemetry::log(
        done ? severity::info : severity::warning, "weights_order",
        {{"upstream", task.m_engine.m_id.value()},
         {"model", task.m_model.value()},
         {"version", task.m_version},
         {"outcome", outcome},
         {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                    boot_time() - task.m_began)
                    .count()}});
    if (!done)
    {
        m_planners.at(task.m_model)
            .note_failed(task.m_engine.m_id, boot_time());
    }
    publish_state(task, false);
}

void rollout_controller::publish_state(engine_task const& task,
                                       bool is_switching)
{
    publish({task.m_engine.m_id, task.m_engine.m_started, task.m_model,
             task.m_weights, is_switching});
    m_exchange.send_now();
}

} // namespace daisylead::entry
