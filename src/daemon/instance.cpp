/** @file Wiring of one instance. */
#include <daisylead/daemon/instance_base.hpp>

#include "engine_reports.hpp"
#include "exchange.hpp"
#include "operator_api.hpp"

#include <daisylead/core/control_base.hpp>
#include <daisylead/http/server_base.hpp>
#include <daisylead/table/table_client_base.hpp>
#include <daisylead/telemetry/log_func.hpp>
#include <daisylead/telemetry/metrics_base.hpp>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <random>
#include <thread>

namespace daisylead::daemon
{

namespace
{

using nlohmann::json;
using telemetry::severity;

/** Reports of engines are hints; a slow one must not hold a connection. */
constexpr std::chrono::milliseconds report_timeout{1000};
constexpr std::size_t max_report = 64U << 20U; ///< bytes

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

class instance::impl
{
public:
    impl(config::settings settings,
         peer::transport_factory const& make_transport)
        : m_settings(std::move(settings)), m_incarnation(wall_clock_ms()),
          m_platform(
              {m_settings.m_platform_address, m_settings.m_platform_timeout},
              m_table_client),
          m_control(control_options(), control_hooks()),
          m_operators(
              m_settings.m_operator_token, m_control, m_metrics,
              {[this](core::event const& event) { handle(event); }, &now}),
          m_work(asio::make_work_guard(m_context)), m_timer(m_context)
    {
        m_transport = make_transport(
            m_settings.m_peer_address,
            [this](peer::message content,
                   std::function<void(peer::message)> reply)
            {
                asio::post(m_context, [this, content = std::move(content),
                                       reply = std::move(reply)]
                           { take_peer_message(content, reply); });
            });
        asio::post(m_context, [this] { handle(core::timer_due{}); });
        m_control_thread = std::thread([this] { m_context.run(); });
        m_caller_server.emplace(caller_options(), caller_hooks());
        m_operator_server.emplace(operator_options(), operator_hooks());
        telemetry::log(severity::info, "started",
                       {{"caller", m_settings.m_caller_address},
                        {"operator", m_settings.m_operator_address},
                        {"peer", m_settings.m_peer_address}});
    }

    ~impl()
    {
        m_caller_server.reset();
        m_operator_server.reset();
        m_work.reset();
        m_context.stop();
        m_control_thread.join();
        m_transport->stop();
        m_upstream_client.stop();
        m_table_client.stop();
    }

    void drain()
    {
        telemetry::log(severity::info, "draining", json::object());
        asio::post(m_context, [this] { handle(core::drain_requested{}); });
    }

    bool is_drained() const
    {
        return m_drained && m_caller_server->open_responses() == 0;
    }

private:
    core::control_options control_options() const
    {
        core::control_options options;
        options.m_instance = m_settings.m_instance;
        options.m_incarnation = incarnation(m_incarnation);
        options.m_started_at = now();
        options.m_zone = m_settings.m_zone;
        options.m_region = m_settings.m_region;
        options.m_peer_address = m_settings.m_peer_address;
        options.m_peers = m_settings.m_peers;
        options.m_poll_interval = m_settings.m_poll_interval;
        options.m_drain_delay = m_settings.m_drain_delay;
        return options;
    }

    core::control_hooks control_hooks()
    {
        core::control_hooks hooks;
        hooks.m_random = [this]
        {
            return m_random();
        };
        hooks.m_wall_clock = &wall_clock_ms;
        hooks.m_count =
            [this](std::string const& name, std::string const& label)
        {
            m_metrics.count(name, {{"reason", label}});
        };
        hooks.m_observe = [this](std::string const& name, duration value)
        {
            m_metrics.observe(name, value);
        };
        return hooks;
    }

    http::server_options caller_options() const
    {
        http::server_options options;
        options.m_address = m_settings.m_caller_address;
        options.m_max_body =
            static_cast<std::size_t>(m_settings.m_max_body.value());
        options.m_max_header =
            static_cast<std::size_t>(m_settings.m_max_header.value());
        options.m_idle_timeout = m_settings.m_idle_timeout;
        options.m_write_timeout = m_settings.m_write_timeout;
        options.m_tls_certificate = m_settings.m_tls_certificate;
        options.m_tls_key = m_settings.m_tls_key;
        return options;
    }

    http::server_hooks caller_hooks()
    {
        http::server_hooks hooks;
        hooks.m_on_request =
            [this](http::server_request received,
                   std::shared_ptr<http::response_writer> writer)
        {
            take_request(std::move(received), std::move(writer));
        };
        hooks.m_on_closed = [this](http::connection_id connection)
        {
            asio::post(m_context,
                       [this, connection] { close_connection(connection); });
        };
        return hooks;
    }

    http::server_options operator_options() const
    {
        http::server_options options;
        options.m_address = m_settings.m_operator_address;
        options.m_max_body = 64U << 20U;
        return options;
    }

    http::server_hooks operator_hooks()
    {
        http::server_hooks hooks;
        hooks.m_on_request =
            [this](http::server_request const& received,
                   std::shared_ptr<http::response_writer> const& writer)
        {
            asio::post(m_context, [this, received, writer]
                       { m_operators.answer(received, writer); });
        };
        return hooks;
    }

    /** Runs on the caller server's thread. */
    void take_request(http::server_request received,
                      std::shared_ptr<http::response_writer> writer)
    {
        request_id const id(m_settings.m_instance.value() + "-" +
                            std::to_string(m_incarnation) + "-" +
                            std::to_string(++m_last_request));
        http::connection_id const connection = received.m_connection;
        auto parsed = parse_request(received, id);
        if (auto const* answer = std::get_if<request::refusal>(&parsed))
        {
            parsed_request empty;
            empty.m_info.m_id = id;
            make_exchange(std::move(received), std::move(empty),
                          std::move(writer))
                ->refuse(*answer);
            return;
        }
        auto& request = std::get<parsed_request>(parsed);
        core::request_arrived arrived{request.m_info};
        auto item = make_exchange(std::move(received), std::move(request),
                                  std::move(writer));
        asio::post(m_context,
                   [this, item, connection, arrived = std::move(arrived)]
                   { admit(item, connection, arrived); });
    }

    void admit(std::shared_ptr<exchange> const& item,
               http::connection_id connection,
               core::request_arrived const& arrived)
    {
        request_id const& id = arrived.m_request.m_id;
        m_exchanges.emplace(id, open_exchange{item, connection});
        m_by_connection.emplace(connection, id);
        if (m_closing)
        {
            item->close_after_response();
        }
        handle(arrived);
    }

    std::shared_ptr<exchange>
    make_exchange(http::server_request received, parsed_request parsed,
                  std::shared_ptr<http::response_writer> writer)
    {
        exchange_options options;
        options.m_instance = m_settings.m_instance;
        options.m_stream_buffer =
            static_cast<std::size_t>(m_settings.m_stream_buffer.value());
        options.m_connect_timeout = m_settings.m_connect_timeout;
        options.m_upstream_idle_timeout = m_settings.m_upstream_idle_timeout;
        request_id const id = parsed.m_info.m_id;
        exchange_hooks hooks;
        hooks.m_on_first_token = [this, id](attempt_id const& attempt)
        {
            post(core::first_token_received{id, attempt});
        };
        hooks.m_on_attempt_end = [this, id](attempt_id const& attempt,
                                            request::attempt_result result)
        {
            post(core::attempt_ended{id, attempt, std::move(result)});
        };
        return std::make_shared<exchange>(
            options, m_upstream_client, std::move(received), std::move(parsed),
            std::move(writer), std::move(hooks));
    }

    /** Passes an event to the control thread. */
    void post(core::event event)
    {
        asio::post(m_context,
                   [this, event = std::move(event)] { handle(event); });
    }

    void close_connection(http::connection_id connection)
    {
        auto const range = m_by_connection.equal_range(connection);
        std::vector<request_id> requests;
        for (auto item = range.first; item != range.second; ++item)
        {
            requests.push_back(item->second);
        }
        for (request_id const& id : requests)
        {
            handle(core::caller_gone{id});
            forget(id);
        }
    }

    /** Runs on the control thread. */
    void handle(core::event const& event)
    {
        for (core::action const& action : m_control.handle(event, now()))
        {
            std::visit([this](auto const& specific) { execute(specific); },
                       action);
        }
        schedule_timer();
    }

    void schedule_timer()
    {
        time_point const next = m_control.next_timer();
        if (m_timer_at && *m_timer_at <= next)
        {
            return;
        }
        m_timer_at = next;
        m_timer.expires_at(next);
        m_timer.async_wait(
            [this](asio::error_code const& failure)
            {
                if (!failure)
                {
                    m_timer_at.reset();
                    handle(core::timer_due{});
                }
            });
    }

    void execute(core::start_attempt const& action)
    {
        if (auto const item = find(action.m_request))
        {
            item->start_attempt(action);
        }
    }

    void execute(core::cancel_attempt const& action)
    {
        if (auto const item = find(action.m_request))
        {
            item->cancel_attempt(action.m_attempt);
        }
    }

    void execute(core::complete_request const& action)
    {
        if (auto const item = find(action.m_request))
        {
            item->complete();
            forget(action.m_request);
        }
    }

    void execute(core::replay_answer const& action)
    {
        if (auto const item = find(action.m_request))
        {
            item->replay(*action.m_response);
            forget(action.m_request);
        }
    }

    void execute(core::refuse_request const& action)
    {
        request::refusal const& refusal = action.m_refusal;
        telemetry::log(severity::info, "refused",
                       {{"request", action.m_request.value()},
                        {"code", request::to_string(refusal.m_code)},
                        {"outcome", request::to_string(refusal.m_outcome)}});
        if (auto const item = find(action.m_request))
        {
            item->refuse(refusal);
            forget(action.m_request);
        }
    }

    void execute(core::list_models const& action)
    {
        json models = json::array();
        for (std::string const& id : action.m_models)
        {
            models.push_back({{"id", id}, {"object", "model"}});
        }
        if (auto const item = find(action.m_request))
        {
            item->answer_json(200, {{"object", "list"}, {"data", models}});
            forget(action.m_request);
        }
    }

    void execute(core::run_transaction const& action)
    {
        m_platform.transact(
            action.m_transaction,
            [this, id = action.m_operation](table::transaction_reply reply) {
                post(core::transaction_ended{id, std::move(reply)});
            });
    }

    void execute(core::read_table const& action)
    {
        m_platform.read(action.m_query,
                        [this, id = action.m_operation](table::read_reply reply)
                        {
                            post(core::table_read_ended{id, std::move(reply)});
                        });
    }

    void execute(core::read_object const& action)
    {
        m_platform.get_object(
            action.m_name,
            [this, id = action.m_operation](std::optional<std::string> content)
            {
                post(core::object_read_ended{id, std::move(content)});
            });
    }

    void execute(core::write_object const& action)
    {
        m_platform.put_object(action.m_name, action.m_content,
                              [this, id = action.m_operation](bool stored) {
                                  post(core::object_write_ended{id, stored});
                              });
    }

    void execute(core::list_instances const&)
    {
        m_platform.list_instances(
            [this](std::optional<std::vector<table::listed_instance>> machines)
            { post(core::machines_listed{std::move(machines)}); });
    }

    void execute(core::send_to_peer const& action)
    {
        m_transport->send(action.m_address, action.m_message, action.m_timeout,
                          [this, id = action.m_operation](
                              std::optional<peer::message> reply) {
                              post(core::peer_replied{id, std::move(reply)});
                          });
    }

    void execute(core::reply_to_peer const& action)
    {
        auto const reply = m_peer_replies.extract(action.m_reply_token);
        if (!reply.empty())
        {
            reply.mapped()(action.m_message);
        }
    }

    void execute(core::read_load const& action)
    {
        read_report(action.m_address, "/engine/load",
                    [this, id = action.m_upstream](
                        http::client_response const& response)
                    { post(decode_load(id, response)); });
    }

    void execute(core::read_cache_events const& action)
    {
        read_report(
            action.m_address,
            "/engine/cache_events?after=" + std::to_string(action.m_after),
            [this,
             id = action.m_upstream](http::client_response const& response)
            { post(decode_cache_events(id, response)); });
    }

    void execute(core::read_cache_snapshot const& action)
    {
        read_report(action.m_address, "/engine/cache_snapshot",
                    [this, id = action.m_upstream](
                        http::client_response const& response)
                    { post(decode_cache_snapshot(id, response)); });
    }

    void execute(orders::read_state const& action)
    {
        read_report(
            action.m_address, "/engine/orders",
            [this, id = action.m_read](http::client_response const& response)
            { post(decode_engine_state(id, response)); });
    }

    void execute(orders::send_order const& action)
    {
        // The lease may have ended while this thread was paused.
        if (now() >= action.m_send_before)
        {
            post(core::order_ended{action.m_order,
                                   orders::order_outcome::not_sent});
            return;
        }
        http::client_request request;
        request.m_method = "POST";
        request.m_url = "http://" + action.m_address + "/engine/orders";
        request.m_headers = {{"Content-Type", "application/json"}};
        request.m_body =
            std::make_shared<std::string const>(encode_order(action));
        // A resend by libcurl could deliver the order after the lease.
        request.m_fresh_connection = true;
        request.m_connect_timeout = report_timeout;
        request.m_total_timeout = action.m_timeout;
        start_whole(
            m_table_client, std::move(request), max_report,
            [this, id = action.m_order](http::client_response const& response)
            { post(decode_order(id, response)); });
    }

    void read_report(std::string const& address, std::string const& path,
                     std::function<void(http::client_response)> on_end)
    {
        http::client_request request;
        request.m_url = "http://" + address + path;
        request.m_connect_timeout = report_timeout;
        request.m_total_timeout = report_timeout;
        start_whole(m_table_client, std::move(request), max_report,
                    std::move(on_end));
    }

    void execute(core::answer_operator const& action)
    {
        telemetry::log(severity::info, "configuration_published",
                       {{"status", core::to_string(action.m_answer.m_status)},
                        {"version", action.m_answer.m_version.value()}});
        m_operators.answer(action.m_answer);
    }

    void execute(core::close_connections const&)
    {
        m_closing = true;
        for (auto const& [id, item] : m_exchanges)
        {
            item.m_exchange->close_after_response();
        }
    }

    void execute(core::drained const&)
    {
        telemetry::log(severity::info, "drained", json::object());
        m_drained = true;
    }

    void execute(core::write_log const& action)
    {
        json fields = {{"detail", action.m_detail}};
        if (!action.m_request.empty())
        {
            fields["request"] = action.m_request.value();
        }
        telemetry::log(action.m_warning ? severity::warning : severity::info,
                       action.m_event, fields);
    }

    void take_peer_message(peer::message const& content,
                           std::function<void(peer::message)> const& reply)
    {
        std::uint64_t const token = ++m_last_peer_message;
        m_peer_replies.emplace(token, reply);
        handle(core::peer_message_received{token, content});
    }

    std::shared_ptr<exchange> find(request_id const& id) const
    {
        auto const found = m_exchanges.find(id);
        return found == m_exchanges.end() ? nullptr : found->second.m_exchange;
    }

    void forget(request_id const& id)
    {
        auto const found = m_exchanges.find(id);
        if (found == m_exchanges.end())
        {
            return;
        }
        auto const range =
            m_by_connection.equal_range(found->second.m_connection);
        for (auto item = range.first; item != range.second; ++item)
        {
            if (item->second == id)
            {
                m_by_connection.erase(item);
                break;
            }
        }
        m_exchanges.erase(found);
    }

    struct open_exchange
    {
        std::shared_ptr<exchange> m_exchange;
        http::connection_id m_connection;
    };

    config::settings m_settings;
    std::int64_t m_incarnation; ///< wall clock, so that it grows at a restart
    std::atomic<std::uint64_t> m_last_request{0};
    std::mt19937_64 m_random{std::random_device{}()};
    telemetry::metrics m_metrics;
    http::client m_upstream_client; ///< requests of callers
    http::client m_table_client;    ///< platform and reports of engines
    table::table_client m_platform;

    // Used by the control thread only.
    core::control m_control;
    operator_api m_operators;
    std::unordered_map<request_id, open_exchange> m_exchanges;
    std::unordered_multimap<http::connection_id, request_id> m_by_connection;
    std::unordered_map<std::uint64_t, std::function<void(peer::message)>>
        m_peer_replies;
    std::uint64_t m_last_peer_message = 0;
    std::optional<time_point> m_timer_at; ///< when the timer is set to
    bool m_closing = false;

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    asio::steady_timer m_timer;
    std::thread m_control_thread;
    std::unique_ptr<peer::transport> m_transport;
    std::optional<http::server> m_caller_server;
    std::optional<http::server> m_operator_server;
    std::atomic<bool> m_drained{false};
};

instance::instance(config::settings settings,
                   peer::transport_factory const& make_transport)
    : m_impl(std::make_unique<impl>(std::move(settings), make_transport))
{
}

instance::~instance() = default;

void instance::drain()
{
    m_impl->drain();
}

bool instance::is_drained() const
{
    return m_impl->is_drained();
}

} // namespace daisylead::daemon
