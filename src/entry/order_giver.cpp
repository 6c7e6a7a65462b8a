/** @file Orders to engines to load the newest weights. */
#include "order_giver.hpp"

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

/** Step in which the rollout is looked at. */
constexpr std::chrono::milliseconds plan_step = 50ms;

/** Step while there is nothing to do. */
constexpr std::chrono::milliseconds idle_step = 100ms;

/** The same at an instance that others come before as holder of the lease. */
constexpr std::chrono::milliseconds idle_step_behind = 500ms;

/** Delay before the next instance by rank tries to take the lease. */
constexpr duration rank_delay = 300ms;

/** While another holder is heard this lately, the lease is not asked for. */
constexpr duration holder_silent_after = 1200ms;

/** Pause between attempts to take the lease. */
constexpr std::chrono::milliseconds lease_pause = 300ms;

/** Shortest time of a load; earlier reports cannot show its end. */
constexpr std::chrono::milliseconds least_load = 520ms;

/** Interval in which an engine that loads is asked for its state; its report
 *  is some hundred milliseconds old. */
constexpr std::chrono::milliseconds report_interval = 110ms;

/** Time for a load before it is taken as lost. */
constexpr duration most_load = 8s;

/** Interval in which the holder repeats the marks of engines that load; they
 *  lapse after about three of them. */
constexpr duration repeat_interval = 500ms;

serving::order_lease_options
lease_options(config::entry_settings const& settings)
{
    serving::order_lease_options options;
    options.m_handover =
        settings.m_order_handover + std::chrono::milliseconds(300);
    return options;
}

} // namespace

order_giver::order_giver(asio::any_io_executor const& executor,
                         fleet_state& state, fleet_exchange& exchange)
    : m_executor(executor), m_state(state), m_exchange(exchange),
      m_lease(state.m_settings.m_instance, lease_options(state.m_settings))
{
}

void order_giver::start()
{
    keep_running(m_executor, "orders", [this] { return loop(); });
}

std::vector<serving::upstream_record>
order_giver::engines(model_id const& model) const
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
             m_state.m_board.usable(service.m_id))
        {
            if (record.m_weights.contains(model))
            {
                found.push_back(std::move(record));
            }
        }
    }
    return found;
}

bool order_giver::is_pending() const
{
    if (!m_state.m_catalog)
    {
        return false;
    }
    auto const& targets = m_state.m_catalog->content().m_weights;
    return std::any_of(targets.begin(), targets.end(),
                       [this](serving::weights_target const& target)
                       {
                           return m_state.m_board.has_older_weights(
                               target.m_model, target.m_version);
                       });
}

awaitable<void> order_giver::loop()
{
    for (;;)
    {
        time_point const now = boot_time();
        bool const busy = std::any_of(m_planners.begin(), m_planners.end(),
                                      [](auto const& entry)
                                      { return entry.second.is_busy(); });
        if (m_released || (!is_pending() && !busy))
        {
            m_pending_since.reset();
            co_await pause(m_executor, m_state.m_roster.rank(now) < 2
                                           ? idle_step
                                           : idle_step_behind);
            continue;
        }
        if (!m_pending_since)
        {
            m_pending_since = now;
        }
        bool const holds = m_lease.token(now).has_value();
        bool const other_works =
            m_state.m_weights_heard &&
            now - *m_state.m_weights_heard < holder_silent_after;
        duration const delay =
            m_lease.is_last_holder()
                ? duration::zero()
                : rank_delay * static_cast<int>(m_state.m_roster.rank(now));
        if (!holds && (m_state.m_draining || other_works ||
                       now - *m_pending_since < delay))
        {
            co_await pause(m_executor, plan_step);
            continue;
        }
        bool const held = co_await hold_lease();
        if (!held)
        {
            co_await pause(m_executor, lease_pause);
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
        co_await pause(m_executor, plan_step);
    }
}

awaitable<void> order_giver::release()
{
    m_released = true;
    if (!m_lease.token(boot_time()))
    {
        co_return;
    }
    // From here on no order is sent, so the row can tell how long ago the last
    // one was.
    m_lease.note_released();
    std::optional<serving::lease_row_state> const row =
        co_await m_state.m_calls.m_read_lease();
    if (row && row->m_holder == m_state.m_settings.m_instance)
    {
        instance_id const nobody;
        duration const quiet =
            m_orders_open > 0 ? duration::zero() : boot_time() - m_last_order;
        lease_write const written = co_await m_state.m_calls.m_write_lease(
            row->m_version, nobody, quiet);
        telemetry::log(
            severity::info, "order_lease_released",
            {{"written", written.m_status == lease_write::status::written},
             {"quiet_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(quiet)
                  .count()}});
    }
}

awaitable<bool> order_giver::hold_lease()
{
    if (m_lease.wants_read(boot_time()))
    {
        std::optional<serving::lease_row_state> const row =
            co_await m_state.m_calls.m_read_lease();
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
        lease_write const written = co_await m_state.m_calls.m_write_lease(
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

void order_giver::plan(model_id const& model, std::int64_t version,
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
             m_state.m_board.in_flight(engine.m_id),
             m_state.m_board.outdated_for(engine.m_id, model, now)
                 .value_or(duration::zero()),
             m_state.m_board.is_reachable(engine.m_id, now),
             m_state.m_board.memory_use(
                 engine.m_id,
                 service == nullptr ? token_count() : service->m_capacity)});
        upstream_id const id = engine.m_id;
        records.emplace(id, std::move(engine));
    }
    if (planner.is_busy())
    {
        if (now >= m_next_repeat)
        {
            m_next_repeat = now + repeat_interval;
            m_state.repeat_weights(now);
            m_exchange.hurry();
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
        m_exchange.hurry();
    }
}

void order_giver::publish(serving::weights_news const& news)
{
    auto const token = m_lease.token(boot_time());
    if (!token)
    {
        m_state.m_board.note_weights(news, boot_time());
        return;
    }
    m_state.publish_weights(*token, news, boot_time());
}

awaitable<void> order_giver::load(serving::upstream_record engine,
                                  model_id model, std::int64_t version)
{
    serving::rollout_planner& planner = m_planners.at(model);
    time_point const began = boot_time();
    std::string outcome = "lost";
    bool ordered = false;
    while (boot_time() - began < most_load)
    {
        std::optional<engine_report> const report =
            co_await m_state.m_calls.m_read_report(engine.m_id,
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
            // A named object: g++ 12 destroys a braced temporary of an awaited
            // call twice.
            load_order const order{engine.m_id, engine.m_address,
                                   model,       version,
                                   *token,      report->m_orders};
            ++m_orders_open;
            order_outcome const sent =
                co_await m_state.m_calls.m_send_order(order);
            --m_orders_open;
            m_last_order = boot_time();
            m_state.m_metrics.count(
                "daisylead_orders_total",
                {{"outcome", sent == order_outcome::accepted  ? "accepted"
                             : sent == order_outcome::refused ? "refused"
                                                              : "unknown"}});
            if (sent == order_outcome::refused)
            {
                outcome = "refused";
                break;
            }
            // An order without an answer may still be carried out; the reports
            // show whether it is.
            ordered = true;
            co_await pause(m_executor, least_load);
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
    m_exchange.hurry();
}

} // namespace daisylead::entry
