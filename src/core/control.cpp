/** @file Control state of one instance. */
#include <daisylead/core/control_base.hpp>

#include "explanation_log.hpp"
#include "fleet.hpp"
#include "limit_gate.hpp"
#include "order_gate.hpp"
#include "outbox.hpp"
#include "request_flow.hpp"
#include "upstream_watch.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::core
{

namespace
{

constexpr std::size_t explained_requests = 4096;

/** Open streams end when the fence was closed for this long while the process
 *  ran. An instance that was paused reopens its fence within it. */
constexpr std::chrono::seconds isolation_limit{2};

constexpr std::chrono::milliseconds housekeeping_interval{250};

constexpr std::chrono::seconds release_limit{2};

/** Steps of the graceful shutdown. */
enum class drain_phase
{
    none,    ///< serving
    delayed, ///< not ready, but still serving for the load balancer
    closing  ///< each response closes its connection
};

} // namespace

class control::impl
{
public:
    impl(control_options const& options, control_hooks const& hooks)
        : m_options(options), m_explanations(explained_requests),
          m_fleet(options, hooks, m_actions),
          m_upstreams(options, hooks, m_actions),
          m_limits(options, hooks, m_actions, m_fleet.members(),
                   options.m_started_at),
          m_orders(m_actions, m_limits),
          m_requests(options, hooks, m_actions, m_upstreams, m_limits,
                     m_explanations, m_fleet.members())
    {
    }

    void on(request_arrived const& item, time_point now)
    {
        m_requests.on(item, m_fleet.may_admit(now), now);
    }

    void on(caller_gone const& item, time_point now)
    {
        m_requests.on(item, now);
    }

    void on(first_token_received const& item, time_point now)
    {
        m_requests.on(item, now);
    }

    void on(attempt_ended const& item, time_point now)
    {
        m_requests.on(item, now);
    }

    /** Passes the answer of an operation to the part that asked. */
    template <class Event>
    void route_answer(Event const& item, time_point now)
    {
        if (item.m_operation.m_component == component::claims)
        {
            m_requests.on(item, now);
            return;
        }
        m_fleet.on(item, now);
    }

    void on(transaction_ended const& item, time_point now)
    {
        if (item.m_operation.m_component == component::leases)
        {
            m_limits.on(item, now);
            return;
        }
        route_answer(item, now);
    }

    void on(table_read_ended const& item, time_point now)
    {
        if (item.m_operation.m_component == component::leases)
        {
            m_limits.on(item, now);
            return;
        }
        route_answer(item, now);
    }

    void on(object_read_ended const& item, time_point now)
    {
        route_answer(item, now);
    }

    void on(object_write_ended const& item, time_point now)
    {
        route_answer(item, now);
    }

    void on(machines_listed const& item, time_point now)
    {
        m_fleet.on(item, now);
        m_upstreams.on(item);
    }

    void on(peer_replied const& item, time_point now)
    {
        component const part = item.m_operation.m_component;
        if (part == component::quarantine)
        {
            return;
        }
        if (part == component::limits || part == component::leases)
        {
            decide(m_limits.on(item, now), now);
            return;
        }
        m_fleet.on(item, now);
    }

    void decide(limit_gate::decisions const& decisions, time_point now)
    {
        for (limit_decision const& item : decisions)
        {
            m_requests.on(item, now);
        }
    }

    void on(peer_message_received const& item, time_point now)
    {
        peer::message const& content = item.m_message;
        if (auto const* ping = std::get_if<membership::ping>(&content.m_body))
        {
            reply(item.m_reply_token, m_fleet.on_ping(*ping, now));
            return;
        }
        if (m_fleet.is_superseded(content.m_sender, content.m_incarnation))
        {
            reply(item.m_reply_token, peer::none{});
            return;
        }
        std::visit([&](auto const& body)
                   { reply(item.m_reply_token, answer(body, now)); },
                   content.m_body);
    }

    peer::message_body answer(peer::fetch_config const&, time_point) const
    {
        return m_fleet.config_for_peer();
    }

    peer::message_body answer(peer::upstream_news const& news, time_point now)
    {
        if (news.m_leaving)
        {
            m_upstreams.table().note_peer_leaving(news.m_upstream, now);
        }
        return peer::none{};
    }

    peer::message_body answer(peer::quarantine_news const& news, time_point now)
    {
        m_requests.on_news(news, now);
        return peer::none{};
    }

    peer::message_body answer(limits::reserve_request const& message,
                              time_point now)
    {
        return m_limits.on_message(message, now);
    }

    peer::message_body answer(limits::settle const& message, time_point now)
    {
        m_limits.on_message(message, now);
        return peer::none{};
    }

    peer::message_body answer(lease::lease_confirm_request const& message,
                              time_point now)
    {
        return m_limits.on_message(message, now);
    }

    template <class Body>
    peer::message_body answer(Body const&, time_point) const
    {
        return peer::none{};
    }

    void on(load_read_ended const& item, time_point now)
    {
        request::upstream_incarnation const life{
            item.m_upstream, m_upstreams.incarnation_of(item.m_upstream)};
        bool const is_restart = m_upstreams.on(item, now);
        m_orders.on(item, now);
        if (is_restart || item.m_refused)
        {
            m_requests.on_upstream_crash(life, now);
        }
    }

    void on(cache_events_read const& item, time_point)
    {
        m_upstreams.on(item);
    }

    void on(cache_snapshot_read const& item, time_point)
    {
        m_upstreams.on(item);
    }

    void on(engine_state_read const& item, time_point now)
    {
        m_orders.on(item, now);
    }

    void on(order_ended const& item, time_point now)
    {
        m_orders.on(item, now);
    }

    void on(publish_requested const& item, time_point now)
    {
        m_fleet.on(item, now);
    }

    void on(drain_requested const&, time_point now)
    {
        if (m_drain == drain_phase::none)
        {
            m_drain = drain_phase::delayed;
            m_drain_begin = now;
            m_fleet.set_draining();
        }
    }

    void on(timer_due const&, time_point now)
    {
        m_fleet.on_timer(now);
        m_upstreams.on_timer(now);
        decide(m_limits.on_timer(now), now);
        m_orders.on_timer(now);
        m_requests.on_timer(now);
        watch_isolation(now);
        m_next_housekeeping = now + housekeeping_interval;
    }

    /** Called after each event. */
    void after_event(time_point now)
    {
        auto const& current = m_fleet.configuration();
        if (current && current != m_applied)
        {
            m_applied = current;
            m_upstreams.apply(*current);
            m_limits.apply(current, now);
            m_orders.apply(*current, now);
            m_requests.apply(current, now);
        }
        m_requests.set_table_reachable(m_fleet.is_table_reachable());
        continue_drain(now);
    }

    time_point next_timer() const
    {
        time_point next =
            std::min({m_fleet.next_timer(), m_upstreams.next_timer(),
                      m_next_housekeeping});
        if (auto const orders = m_orders.next_timer())
        {
            next = std::min(next, *orders);
        }
        if (auto const requests = m_requests.next_timer())
        {
            next = std::min(next, *requests);
        }
        return next;
    }

    control_options m_options;
    outbox m_actions;
    explanation_log m_explanations;
    fleet m_fleet;
    upstream_watch m_upstreams;
    limit_gate m_limits;
    order_gate m_orders;
    request_flow m_requests;
    drain_phase m_drain = drain_phase::none;

private:
    void reply(std::uint64_t token, peer::message_body body)
    {
        m_actions.push(reply_to_peer{
            token,
            {m_options.m_instance, m_options.m_incarnation, std::move(body)}});
    }

    void watch_isolation(time_point now)
    {
        if (m_fleet.may_admit(now) || !m_fleet.configuration())
        {
            m_isolated_since.reset();
            return;
        }
        if (!m_isolated_since)
        {
            m_isolated_since = now;
        }
        if (now - *m_isolated_since >= isolation_limit)
        {
            m_requests.end_keyed_requests(now);
        }
    }

    void continue_drain(time_point now)
    {
        if (m_drain == drain_phase::delayed &&
            now - m_drain_begin >= m_options.m_drain_delay)
        {
            m_drain = drain_phase::closing;
            m_limits.release(now);
            m_actions.push(close_connections{});
        }
        bool const is_idle =
            m_requests.open_requests() == 0 && m_requests.open_claims() == 0;
        // With the table down the leases end by themselves.
        bool const gave_back =
            m_limits.is_released() ||
            now - m_drain_begin >= m_options.m_drain_delay + release_limit;
        if (m_drain == drain_phase::closing && is_idle && gave_back &&
            !m_drained)
        {
            m_drained = true;
            m_actions.push(drained{});
        }
    }

    std::shared_ptr<config::configuration const> m_applied;
    std::optional<time_point> m_isolated_since;
    time_point m_drain_begin;
    time_point m_next_housekeeping;
    bool m_drained = false;
};

control::control(control_options const& options, control_hooks const& hooks)
    : m_impl(std::make_unique<impl>(options, hooks))
{
}

control::~control() = default;

std::vector<action> control::handle(event const& item, time_point now)
{
    std::visit([&](auto const& specific) { m_impl->on(specific, now); }, item);
    m_impl->after_event(now);
    return m_impl->m_actions.take();
}

time_point control::next_timer() const
{
    return m_impl->next_timer();
}

bool control::is_ready(time_point now) const
{
    return m_impl->m_drain == drain_phase::none &&
           m_impl->m_fleet.may_admit(now);
}

std::shared_ptr<config::configuration const> const&
control::configuration() const
{
    return m_impl->m_fleet.configuration();
}

std::optional<nlohmann::json> control::explain(request_id const& request) const
{
    return m_impl->m_explanations.find(request);
}

nlohmann::json control::dump(time_point now) const
{
    return {{"instance", m_impl->m_options.m_instance.value()},
            {"incarnation", m_impl->m_options.m_incarnation.value()},
            {"zone", m_impl->m_options.m_zone.value()},
            {"region", m_impl->m_options.m_region.value()},
            {"ready", is_ready(now)},
            {"draining", m_impl->m_drain != drain_phase::none},
            {"fleet", m_impl->m_fleet.dump(now)},
            {"limits", m_impl->m_limits.dump(now)},
            {"orders", m_impl->m_orders.dump()},
            {"requests", m_impl->m_requests.dump()},
            {"routing", m_impl->m_upstreams.dump(now)}};
}

} // namespace daisylead::core
