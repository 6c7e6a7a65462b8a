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

/** Timeout of a load, after which it counts as lost. */
constexpr duration max_load_time = 8s;

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

awaitable<bool> rollout_controller::acquire_or_renew_lease()
{
    if (m_state.m_store_restored_at)
    {
        m_lease.note_store_restored(*m_state.m_store_restored_at);
    }
    if (m_lease.wants_read(boot_time()))
    {
        std::optional<serving::lease_row_state> const row =
            co_await m_state.m_adapter.m_read_lease();
        if (!row)
        {
            co_return false;
        }
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
        if (action.m_step == serving::rollout_step::order)
        {
            run_once(m_executor, "weights_order",
                     [this, engine, model, version = action.m_version]
                     { return load(engine, model, version); });
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

awaitable<void> rollout_controller::load(serving::upstream_record engine,
                                         model_id model, std::int64_t version)
{
    serving::rollout_planner& planner = m_planners.at(model);
    time_point const began = boot_time();
    std::string outcome = "lost";
    bool ordered = false;
    while (boot_time() - began < max_load_time)
    {
        std::optional<engine_report> const report =
            co_await m_state.m_adapter.m_read_report(engine.m_id,
                                                     engine.m_address);
        auto const loaded =
            report ? report->m_weights.find(model)
                   : std::map<model_id, std::int64_t>::const_iterator{};
        if (!report)
        {
            outcome = "no_report";
            if (!ordered)
            {
                break;
            }
        }
        else if (loaded != report->m_weights.end() &&
                 loaded->second >= version && !report->m_busy)
        {
            outcome = "loaded";
            break;
        }
        else if (!report->m_busy && !ordered)
        {
            auto const token = m_lease.token(boot_time());
            if (!token)
            {
                outcome = "lease_lost";
                break;
            }
            // A named variable, since g++ 12 destroys a braced temporary in an
            // awaited call twice.
            load_order const order{engine.m_id, engine.m_address,
                                   model,       version,
                                   *token,      report->m_accepted_orders};
            ++m_pending_orders;
            order_outcome const sent =
                co_await m_state.m_adapter.m_send_order(order);
            --m_pending_orders;
            m_last_order_at = boot_time();
            m_state.m_metrics.count(
                "daisylead_orders_total",
                {{"outcome", sent == order_outcome::accepted  ? "accepted"
                             : sent == order_outcome::refused ? "refused"
                                                              : "unknown"}});
            telemetry::log(
                severity::info, "weights_order_sent",
                {{"upstream", engine.m_id.value()},
                 {"version", version},
                 {"expected_orders", order.m_expected_orders},
                 {"answer", sent == order_outcome::accepted  ? "accepted"
                            : sent == order_outcome::refused ? "refused"
                                                             : "none"}});
            if (sent == order_outcome::refused)
            {
                outcome = "refused";
                break;
            }
            // An order without an answer may still be executed; the reports
            // show whether it is.
            ordered = true;
            co_await pause(m_executor, min_load_time);
        }
        co_await pause(m_executor, report_interval);
    }
    bool const done = outcome == "loaded";
    telemetry::log(
        done ? severity::info : severity::warning, "weights_order",
        {{"upstream", engine.m_id.value()},
         {"model", model.value()},
         {"version", version},
         {"outcome", outcome},
         {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                    boot_time() - began)
                    .count()}});
    if (!done)
    {
        planner.note_failed(engine.m_id, boot_time());
    }
    publish({engine.m_id, engine.m_started, model,
             done ? version : engine.m_weights.at(model), false});
    m_exchange.send_now();
}

} // namespace daisylead::entry
