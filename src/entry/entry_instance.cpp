/** @file An entry instance on a platform with its own store. */
#include <daisylead/entry/entry_instance_base.hpp>

#include "caller_server.hpp"
#include "keep_running_func.hpp"
#include "pause_func.hpp"
#include "rollout_controller.hpp"
#include "store_poller.hpp"
#include "tunnel_server.hpp"

#include <daisylead/telemetry/log_func.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;
using telemetry::severity;

/** Minimum drain time: callers are still sent here for a little over two
 *  seconds after a stop signal. */
constexpr duration min_drain_time = 3s;

/** Time after the stop signal at which idle connections are closed: no
 *  caller is sent here any more, and a later request would not have the time
 *  to finish. */
constexpr duration close_idle_after = 2400ms;

/** Part of the grace time that is reserved for ending the process. */
constexpr duration grace_margin = 400ms;

/** Interval of checks whether the drain is complete. */
constexpr std::chrono::milliseconds drain_poll_interval = 100ms;

/** Interval of checks for changed settings without a signal. */
constexpr std::chrono::milliseconds settings_poll_interval = 2s;

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

class entry_instance::impl
{
public:
    impl(asio::io_context& context, config::entry_settings& settings,
         adapter platform_adapter,
         peer::transport_factory const& make_transport,
         std::function<std::optional<config::entry_settings>()> reload)
        : m_context(context), m_settings(settings),
          m_adapter(std::move(platform_adapter)), m_reload(std::move(reload)),
          m_signals(context),
          m_state(settings, m_adapter, m_metrics, context.get_executor(),
                  unix_milliseconds()),
          m_connector(context.get_executor(), m_state),
          m_silence_detector(context.get_executor(), m_state, m_connector),
          m_crash_detector(context.get_executor(), m_state, m_connector),
          m_exchange(context.get_executor(), m_state, make_transport),
          m_store_poller(context.get_executor(), m_state, m_exchange),
          m_rollout(context.get_executor(), m_state, m_exchange),
          m_streams(context.get_executor(), m_state, m_exchange,
                    [this](time_point after)
                    { return m_store_poller.confirm_upstreams(after); }),
          m_caller_server(context.get_executor(), settings.m_caller_address,
                          m_state, m_connector, m_silence_detector,
                          m_crash_detector, m_streams, bounds_for(settings)),
          m_readiness_server(
              context.get_executor(), settings.m_readiness_address,
              [this](std::string const& path) { return readiness(path); }),
          m_metrics_server(context.get_executor(), settings.m_metrics_address,
                           [this](std::string const& path)
                           { return report(path); })
    {
        if (!settings.m_tunnel_address.empty())
        {
            m_tunnel_server.emplace(context.get_executor(),
                                    settings.m_tunnel_address, m_state);
        }
        m_signals.add(SIGTERM);
        m_signals.add(SIGINT);
        m_signals.add(SIGHUP);
    }

    void run()
    {
        telemetry::log(severity::info, "started",
                       {{"version", DAISYLEAD_VERSION},
                        {"zone", m_settings.m_zone.value()},
                        {"callers", m_settings.m_caller_address},
                        {"store", m_settings.m_store_address}});
        m_store_poller.start();
        m_exchange.start();
        m_rollout.start();
        m_silence_detector.start();
        m_readiness_server.start();
        m_metrics_server.start();
        m_caller_server.start();
        if (m_tunnel_server)
        {
            m_tunnel_server->start();
        }
        auto const executor = m_context.get_executor();
        keep_running(executor, "signals", [this] { return signal_loop(); });
        keep_running(executor, "settings", [this] { return settings_loop(); });
        run_context();
        telemetry::log(severity::info, "stopped",
                       {{"active_requests", *m_state.m_active_requests}});
    }

private:
    /** Runs the context, and continues after an exception from a handler
     *  that does not belong to a task. */
    void run_context()
    {
        while (!m_context.stopped())
        {
            try
            {
                m_context.run();
            }
            catch (std::exception const& failure)
            {
                telemetry::log(severity::error, "handler_failed",
                               {{"error", failure.what()}});
            }
        }
    }

    std::pair<int, std::string> readiness(std::string const& path)
    {
        if (path != m_adapter.m_ready_path)
        {
            return {404, "not found\n"};
        }
        bool const ready = m_state.is_ready(boot_time());
        if (ready != m_was_ready)
        {
            m_was_ready = ready;
            telemetry::log(severity::info, ready ? "ready" : "not_ready",
                           {{"draining", m_state.m_draining}});
        }
        return ready ? std::pair{200, std::string("ready\n")}
                     : std::pair{503, std::string("not ready\n")};
    }

    std::pair<int, std::string> report(std::string const& path)
    {
        if (path == "/metrics")
        {
            m_state.update_gauges(boot_time());
            return {200, m_metrics.render()};
        }
        if (path == "/state")
        {
            return {200, m_state.dump(boot_time()).dump(2) + "\n"};
        }
        return {404, "not found\n"};
    }

    awaitable<void> signal_loop()
    {
        for (;;)
        {
            boost::system::error_code failure;
            int const signal = co_await m_signals.async_wait(
                asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
            {
                co_return;
            }
            if (signal == SIGHUP)
            {
                reload("signal");
                continue;
            }
            if (m_state.m_draining)
            {
                continue;
            }
            m_state.m_draining = true;
            m_state.m_drain_ends_at =
                boot_time() + m_settings.m_grace - grace_margin;
            telemetry::log(severity::info, "draining",
                           {{"signal", signal},
                            {"active_requests", *m_state.m_active_requests}});
            m_exchange.send_now();
            keep_running(m_context.get_executor(), "drain",
                         [this] { return drain(); });
        }
    }

    awaitable<void> drain()
    {
        time_point const began = boot_time();
        bool closed = false;
        for (;;)
        {
            duration const since = boot_time() - began;
            bool const idle =
                *m_state.m_active_requests == 0 &&
                (!m_tunnel_server || m_tunnel_server->open_tunnels() == 0);
            if (since > close_idle_after && !closed)
            {
                closed = true;
                m_caller_server.close_idle();
            }
            if ((since > min_drain_time && idle) ||
                since > m_settings.m_grace - grace_margin)
            {
                co_await m_rollout.release();
                m_context.stop();
                co_return;
            }
            co_await pause(m_context.get_executor(), drain_poll_interval);
        }
    }

    awaitable<void> settings_loop()
    {
        for (;;)
        {
            co_await pause(m_context.get_executor(), settings_poll_interval);
            reload("change");
        }
    }

    void reload(std::string const& cause)
    {
        try
        {
            std::optional<config::entry_settings> const settings = m_reload();
            if (!settings)
            {
                return;
            }
            bool const addresses_changed =
                settings->m_caller_address != m_settings.m_caller_address ||
                settings->m_readiness_address !=
                    m_settings.m_readiness_address ||
                settings->m_peer_address != m_settings.m_peer_address ||
                settings->m_metrics_address != m_settings.m_metrics_address;
            m_settings = *settings;
            telemetry::log(severity::info, "settings_reloaded",
                           {{"cause", cause},
                            {"addresses_need_restart", addresses_changed}});
        }
        catch (std::exception const& failure)
        {
            telemetry::log(severity::warning, "settings_rejected",
                           {{"cause", cause}, {"error", failure.what()}});
        }
    }

    asio::io_context& m_context;
    config::entry_settings& m_settings;
    adapter m_adapter;
    std::function<std::optional<config::entry_settings>()> m_reload;
    asio::signal_set m_signals;
    telemetry::metrics m_metrics;
    fleet_state m_state;
    upstream_connector m_connector;
    silence_detector m_silence_detector;
    crash_detector m_crash_detector;
    fleet_exchange m_exchange;
    store_poller m_store_poller;
    rollout_controller m_rollout;
    stream_directory m_streams;
    caller_server m_caller_server;
    text_server m_readiness_server;
    text_server m_metrics_server;
    std::optional<tunnel_server> m_tunnel_server;
    bool m_was_ready = false;
};

entry_instance::entry_instance(
    asio::io_context& context, config::entry_settings& settings,
    adapter platform_adapter, peer::transport_factory const& make_transport,
    std::function<std::optional<config::entry_settings>()> reload)
    : m_impl(std::make_unique<impl>(context, settings,
                                    std::move(platform_adapter), make_transport,
                                    std::move(reload)))
{
}

entry_instance::~entry_instance() = default;

void entry_instance::run()
{
    m_impl->run();
}

} // namespace daisylead::entry
