/** @file This instance as a member of the fleet. */
#include "fleet.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::core
{

namespace
{

using nlohmann::json;

/** The list lags by seconds anyway, so reading it more often gains nothing. */
constexpr std::chrono::seconds list_interval{2};
constexpr std::chrono::milliseconds ping_timeout{1000};
constexpr std::chrono::milliseconds fetch_timeout{1000};

/** How long a newer version may be known without being loaded before this
 *  instance stops admitting. The acceptance of that version waits for it. */
constexpr std::chrono::seconds load_limit{1};

membership::member_options make_member_options(control_options const& options)
{
    membership::member_options result;
    result.m_self = options.m_instance;
    result.m_incarnation = options.m_incarnation;
    result.m_address = options.m_peer_address;
    return result;
}

constexpr duration acceptance_silence = membership::default_fencing_time +
                                        membership::default_fencing_margin +
                                        load_limit;

std::chrono::milliseconds to_milliseconds(duration time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

std::string to_string(membership::member_status status)
{
    switch (status)
    {
    case membership::member_status::unknown:
        return "unknown";
    case membership::member_status::alive:
        return "alive";
    case membership::member_status::silent:
        return "silent";
    }
    return "unknown";
}

} // namespace

fleet::fleet(control_options const& options, control_hooks const& hooks,
             outbox& actions)
    : m_options(options), m_actions(actions),
      m_members(make_member_options(options)), m_fence(options.m_instance),
      m_follower(options.m_poll_interval),
      m_publisher([random = hooks.m_random, id = options.m_instance.value()]
                  { return id + "-" + std::to_string(random()); })
{
    m_members.set_peer_addresses(options.m_peers);
}

operation_id fleet::next_operation(component part)
{
    return {part, ++m_last_operation};
}

void fleet::send(std::string const& address, operation_id operation,
                 peer::message_body body, duration timeout)
{
    peer::message content;
    content.m_sender = m_options.m_instance;
    content.m_incarnation = m_options.m_incarnation;
    content.m_body = std::move(body);
    m_actions.push(send_to_peer{operation, address, std::move(content),
                                to_milliseconds(timeout)});
}

void fleet::on_timer(time_point now)
{
    run_follower(now);
    std::vector<std::string> outstanding;
    for (instance_id const& id : awaited(now))
    {
        outstanding.push_back(id.value());
    }
    run(m_publisher.on_timer(now, outstanding), now);
    if (now >= m_next_list)
    {
        m_next_list = now + list_interval;
        m_actions.push(list_instances{});
    }
    check_acceptance(now);
    send_pings(now);
    update_state(now);
}

time_point fleet::next_timer() const
{
    time_point next = std::min(
        {m_follower.next_timer(), m_members.next_timer(), m_next_list});
    if (auto const publisher = m_publisher.next_timer())
    {
        next = std::min(next, *publisher);
    }
    return next;
}

void fleet::send_pings(time_point now)
{
    for (membership::send_ping const& item : m_members.tick(now, awaited(now)))
    {
        operation_id const operation = next_operation(component::membership);
        m_pings.emplace(operation.m_number, item.m_ping.m_number);
        send(item.m_address, operation, item.m_ping, ping_timeout);
    }
}

std::set<instance_id> fleet::awaited(time_point now) const
{
    std::set<instance_id> result;
    for (auto const& [call, tracker] : m_trackers)
    {
        for (auto const& item : tracker.outstanding(now))
        {
            result.insert(item.m_instance);
        }
    }
    result.erase(m_options.m_instance);
    return result;
}

void fleet::run_follower(time_point now)
{
    for (follower_action const& item : m_follower.on_timer(now))
    {
        operation_id const operation =
            next_operation(component::config_follower);
        if (std::holds_alternative<read_config_head>(item))
        {
            m_head_reads.emplace(operation.m_number, now);
            m_actions.push(read_table{operation, {{config_head_row}, {}}});
        }
        else if (auto const* object = std::get_if<read_config_object>(&item))
        {
            m_actions.push(read_object{operation, object->m_name});
        }
        else
        {
            fetch_from(std::get<fetch_config_from_peer>(item).m_peer, now);
        }
    }
}

void fleet::fetch_from(instance_id const& peer, time_point now)
{
    membership::member const* const target = m_members.find(peer);
    if (target == nullptr)
    {
        m_follower.on_peer_config(config_version(0), std::nullopt, now);
        return;
    }
    send(target->m_address, next_operation(component::config_follower),
         peer::fetch_config{}, fetch_timeout);
}

void fleet::run(std::vector<publisher_action> const& actions, time_point now)
{
    for (publisher_action const& item : actions)
    {
        operation_id const operation =
            next_operation(component::config_publisher);
        if (auto const* head = std::get_if<publisher_read_head>(&item))
        {
            m_publishing.emplace(operation.m_number, head->m_token);
            m_actions.push(read_table{operation, {{config_head_row}, {}}});
        }
        else if (auto const* object = std::get_if<publisher_put_object>(&item))
        {
            m_publishing.emplace(operation.m_number, object->m_token);
            m_actions.push(
                write_object{operation, object->m_name, object->m_content});
        }
        else if (auto const* write = std::get_if<publisher_commit>(&item))
        {
            m_publishing.emplace(operation.m_number, write->m_token);
            m_actions.push(run_transaction{operation, write->m_transaction});
        }
        else if (auto const* done = std::get_if<publisher_committed>(&item))
        {
            take_committed(*done, now);
        }
        else
        {
            auto const& answer = std::get<publish_answer>(item);
            m_trackers.erase(answer.m_token);
            m_actions.push(answer_operator{answer});
        }
    }
}

void fleet::take_committed(publisher_committed const& item, time_point now)
{
    m_trackers.emplace(item.m_token,
                       membership::acceptance_tracker(
                           item.m_configuration->m_version, now,
                           m_members.instances(), acceptance_silence));
    m_follower.on_published(item.m_configuration);
    take_configuration(now);
    check_acceptance(now);
    send_pings(now);
}

void fleet::take_configuration(time_point now)
{
    auto const& current = m_follower.current();
    if (!current || current->m_version <= m_in_force)
    {
        return;
    }
    m_in_force = current->m_version;
    m_members.set_version(m_in_force);
    m_fence.set_in_force(m_in_force);
    for (auto& [call, tracker] : m_trackers)
    {
        if (tracker.version() <= m_in_force)
        {
            tracker.confirmed_locally(m_options.m_instance, now);
        }
    }
    m_actions.push(write_log{false,
                             "configuration_in_force",
                             "version " + std::to_string(m_in_force.value()) +
                                 ", hash " + current->m_hash,
                             {}});
    update_state(now);
}

void fleet::take_head(table::read_reply const& reply, time_point sent_at,
                      time_point now)
{
    m_table_reachable = reply.m_ok;
    if (!reply.m_ok)
    {
        return;
    }
    m_members.table_reached(sent_at);
    m_follower.on_head(reply, now);
    try
    {
        m_fence.table_reached(sent_at, parse_config_head(reply).m_version);
    }
    catch (error const&)
    {
        m_actions.push(
            write_log{true,
                      "config_head_invalid",
                      "row config/head cannot be read; the configuration stays",
                      {}});
    }
    run_follower(now);
    update_state(now);
}

void fleet::on(table_read_ended const& item, time_point now)
{
    if (item.m_operation.m_component == component::config_publisher)
    {
        auto const call = m_publishing.extract(item.m_operation.m_number);
        if (!call.empty())
        {
            run(m_publisher.on_head(call.mapped(), item.m_reply, now), now);
        }
        return;
    }
    auto const sent = m_head_reads.extract(item.m_operation.m_number);
    if (!sent.empty())
    {
        take_head(item.m_reply, sent.mapped(), now);
    }
}

void fleet::on(transaction_ended const& item, time_point now)
{
    auto const call = m_publishing.extract(item.m_operation.m_number);
    if (!call.empty())
    {
        run(m_publisher.on_commit(call.mapped(), item.m_reply, now), now);
    }
}

void fleet::on(object_read_ended const& item, time_point now)
{
    m_follower.on_object(item.m_content, now);
    take_configuration(now);
    run_follower(now);
}

void fleet::on(object_write_ended const& item, time_point now)
{
    auto const call = m_publishing.extract(item.m_operation.m_number);
    if (!call.empty())
    {
        run(m_publisher.on_object(call.mapped(), item.m_stored), now);
    }
}

void fleet::on(machines_listed const& item, time_point now)
{
    if (!item.m_machines)
    {
        return;
    }
    m_members.list_received(*item.m_machines, now);
    m_fence.set_members(m_members.instances());
    for (auto& [call, tracker] : m_trackers)
    {
        tracker.add_members(m_members.instances());
    }
}

void fleet::on(peer_replied const& item, time_point now)
{
    if (item.m_operation.m_component == component::config_follower)
    {
        auto const* text =
            item.m_reply ? std::get_if<peer::config_text>(&item.m_reply->m_body)
                         : nullptr;
        m_follower.on_peer_config(
            text ? text->m_version : config_version(0),
            text ? std::optional(text->m_text) : std::nullopt, now);
        take_configuration(now);
        run_follower(now);
        return;
    }
    auto const ping = m_pings.extract(item.m_operation.m_number);
    if (ping.empty())
    {
        return;
    }
    auto const* reply =
        item.m_reply
            ? std::get_if<membership::ping_reply>(&item.m_reply->m_body)
            : nullptr;
    if (reply == nullptr)
    {
        m_members.ping_failed(ping.mapped(), now);
        return;
    }
    if (auto const evidence = m_members.reply_received(*reply, now))
    {
        take_evidence(*evidence, now);
    }
}

void fleet::take_evidence(membership::peer_contact const& evidence,
                          time_point now)
{
    m_fence.set_members(m_members.instances());
    m_fence.peer_reached(evidence);
    m_follower.on_announced(evidence.m_peer, evidence.m_version, now);
    for (auto& [call, tracker] : m_trackers)
    {
        tracker.add_members(m_members.instances());
        tracker.reply_received(evidence, now);
    }
    run_follower(now);
    check_acceptance(now);
    update_state(now);
}

membership::ping_reply fleet::on_ping(membership::ping const& message,
                                      time_point now)
{
    membership::ping_reply reply = m_members.ping_received(message, now);
    m_fence.set_members(m_members.instances());
    m_follower.on_announced(message.m_sender, message.m_version, now);
    for (auto& [call, tracker] : m_trackers)
    {
        tracker.ping_received(message.m_sender, message.m_incarnation,
                              message.m_version, now);
    }
    run_follower(now);
    check_acceptance(now);
    return reply;
}

void fleet::check_acceptance(time_point now)
{
    std::vector<operator_token> accepted;
    for (auto const& [call, tracker] : m_trackers)
    {
        if (tracker.status(now) == membership::acceptance_status::accepted)
        {
            accepted.push_back(call);
        }
    }
    for (operator_token const call : accepted)
    {
        run(m_publisher.accept(call), now);
    }
}

void fleet::on(publish_requested const& item, time_point now)
{
    run(m_publisher.publish(item.m_token, item.m_expected, item.m_text, now),
        now);
}

peer::config_text fleet::config_for_peer() const
{
    auto const& current = m_follower.current();
    if (!current)
    {
        return {};
    }
    return {current->m_version, current->m_text};
}

void fleet::set_draining()
{
    m_draining = true;
    m_members.set_state(membership::instance_state::draining);
}

bool fleet::may_admit(time_point now) const
{
    auto const newer = m_follower.newer_known_since();
    bool const is_behind = newer && now - *newer > load_limit;
    return m_follower.current() != nullptr && !is_behind &&
           !m_members.is_self_superseded() && m_fence.may_admit(now);
}

void fleet::update_state(time_point now)
{
    using membership::instance_state;
    if (m_draining)
    {
        return;
    }
    if (!m_follower.current() || !m_fence.is_informed())
    {
        m_members.set_state(instance_state::starting);
        return;
    }
    m_members.set_state(may_admit(now) ? instance_state::serving
                                       : instance_state::fenced);
}

json fleet::dump(time_point now) const
{
    json members = json::array();
    for (auto const& [id, item] : m_members.members())
    {
        members.push_back({{"id", id.value()},
                           {"address", item.m_address},
                           {"status", to_string(item.m_status)},
                           {"config_version", item.m_version.value()},
                           {"leaving", item.m_leaving}});
    }
    json findings = json::array();
    for (finding const& item : m_follower.findings())
    {
        findings.push_back(daisylead::to_string(item));
    }
    return {{"members", members},
            {"config_version", m_in_force.value()},
            {"config_findings", findings},
            {"may_admit", may_admit(now)},
            {"table_reachable", m_table_reachable},
            {"quorum", m_fence.has_quorum(now)}};
}

} // namespace daisylead::core
