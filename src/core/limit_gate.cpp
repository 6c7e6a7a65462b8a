/** @file Fleet token limits as the request flow uses them. */
#include "limit_gate.hpp"

#include <daisylead/limits/shard_func.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace daisylead::core
{

namespace
{

constexpr std::chrono::seconds lease_read_interval{1};

/** Longer than the client waits for a reply, since a late reply still brings
 *  tokens that were granted. */
constexpr std::chrono::milliseconds reserve_timeout{500};
constexpr std::chrono::milliseconds confirm_timeout{1000};
/** A request whose owner is not reached waits this long before it is refused:
 *  leases of a new fleet are taken within it, and a refusal would be wrong as
 *  long as the organisation may be inside its rate. */
constexpr std::chrono::seconds park_limit{2};
constexpr std::chrono::milliseconds park_interval{50};
constexpr std::size_t max_parked = 1024;

constexpr char const* lease_row_prefix = "limit/";
constexpr char const* order_row = "orders/lease";

lease::lease_options make_lease_options(control_options const& options)
{
    lease::lease_options result;
    result.m_self = options.m_instance;
    result.m_incarnation = options.m_incarnation;
    return result;
}

limits::client_options make_client_options(control_options const& options)
{
    limits::client_options result;
    result.m_self = options.m_instance;
    result.m_incarnation = options.m_incarnation;
    return result;
}

} // namespace

limit_gate::limit_gate(control_options const& options,
                       control_hooks const& hooks, outbox& actions,
                       membership::member_table const& members,
                       time_point started_at)
    : m_options(options), m_actions(actions), m_members(members),
      m_leases(make_lease_options(options),
               {[random = hooks.m_random, id = options.m_instance.value()]
                {
                    return id + "-" + std::to_string(random());
                }},
               started_at),
      m_share(started_at),
      m_owner(
          {[this](organisation_id const& organisation,
                  time_point now) -> std::optional<limits::held_lease>
           {
               auto const held = m_leases.held(row_of(organisation), now);
               if (!held)
               {
                   return std::nullopt;
               }
               return limits::held_lease{held->m_fence, held->m_acquired_at};
           }}),
      m_client(make_client_options(options),
               {[this](organisation_id const& organisation)
                {
                    return m_leases.holder(row_of(organisation));
                }},
               m_share)
{
}

std::string limit_gate::row_of(organisation_id const& organisation) const
{
    std::int64_t const shards =
        m_configuration ? m_configuration->m_rules.m_limit_shards : 1;
    return limits::shard_row(limits::shard_of(organisation, shards));
}

void limit_gate::apply(std::shared_ptr<config::configuration const> const& next,
                       time_point now)
{
    m_configuration = next;
    std::set<std::string> rows = {order_row};
    for (std::int64_t i = 0; i < next->m_rules.m_limit_shards; ++i)
    {
        rows.insert(limits::shard_row(i));
    }
    m_leases.set_rows(rows);
    m_owner.set_limits(next->m_organisations,
                       next->m_rules.m_static_share_percent, now);
    m_instances = 0;
    update_members(now);
}

void limit_gate::update_members(time_point now)
{
    std::set<instance_id> const known = m_members.instances();
    m_leases.set_members(known, m_members.live_instances());
    if (m_configuration && known.size() != m_instances)
    {
        m_instances = known.size();
        m_share.set_limits(m_configuration->m_organisations,
                           m_configuration->m_rules.m_static_share_percent,
                           m_instances, now);
    }
}

limit_gate::decisions limit_gate::reserve(request_id const& request,
                                          organisation_id const& organisation,
                                          token_count tokens, time_point now)
{
    m_undecided.emplace(request,
                        parked_request{organisation, tokens, now, false});
    return run(m_client.request(request, organisation, tokens, now), now);
}

bool limit_gate::park(limits::call_refused const& refused, time_point now)
{
    auto const found = m_undecided.find(refused.m_request);
    if (found == m_undecided.end() || m_parked.size() >= max_parked)
    {
        return false;
    }
    parked_request& item = found->second;
    duration const left = item.m_since + park_limit - now;
    // The bucket of a new owner starts empty, so a request that waited for the
    // owner may need a moment more.
    bool const is_worth_waiting =
        !refused.m_by_owner || (item.m_waited && refused.m_retry_after < left);
    if (left <= duration::zero() || !is_worth_waiting)
    {
        return false;
    }
    item.m_waited = true;
    m_parked.insert(refused.m_request);
    m_next_retry = std::max(m_next_retry, now + park_interval);
    return true;
}

limit_gate::decisions limit_gate::retry_parked(time_point now)
{
    decisions result;
    if (m_parked.empty() || now < m_next_retry)
    {
        return result;
    }
    m_next_retry = now + park_interval;
    for (request_id const& id : std::exchange(m_parked, {}))
    {
        auto const found = m_undecided.find(id);
        if (found == m_undecided.end())
        {
            continue;
        }
        parked_request const item = found->second;
        decisions const more = run(
            m_client.request(id, item.m_organisation, item.m_tokens, now), now);
        result.insert(result.end(), more.begin(), more.end());
    }
    return result;
}

void limit_gate::settle(request_id const& request, token_count used,
                        time_point now)
{
    m_undecided.erase(request);
    m_parked.erase(request);
    m_client.finished(request, used, now);
}

limit_gate::decisions limit_gate::on_timer(time_point now)
{
    update_members(now);
    if (now >= m_next_read && m_configuration)
    {
        m_next_read = now + lease_read_interval;
        std::uint64_t const number = ++m_last_operation;
        m_reads.emplace(number, now);
        m_actions.push(read_table{{component::leases, number},
                                  {{order_row}, {lease_row_prefix}}});
    }
    run(m_leases.tick(now));
    decisions result = run(m_client.tick(now), now);
    decisions const more = retry_parked(now);
    result.insert(result.end(), more.begin(), more.end());
    return result;
}

time_point limit_gate::next_timer() const
{
    time_point next = std::min(m_next_read, m_leases.next_timer());
    if (!m_parked.empty())
    {
        next = std::min(next, m_next_retry);
    }
    if (auto const client = m_client.next_timer())
    {
        next = std::min(next, *client);
    }
    return next;
}

void limit_gate::run(lease::lease_actions const& actions)
{
    for (lease::lease_action const& item : actions)
    {
        if (auto const* write = std::get_if<lease::lease_transaction>(&item))
        {
            m_actions.push(run_transaction{{component::leases, write->m_number},
                                           write->m_transaction});
        }
        else
        {
            auto const& confirm = std::get<lease::send_lease_confirm>(item);
            send(confirm.m_to, component::leases, confirm.m_message,
                 ++m_last_operation);
        }
    }
}

limit_gate::decisions limit_gate::run(limits::client_actions const& actions,
                                      time_point now)
{
    decisions result;
    auto const add = [&](decisions const& more)
    {
        result.insert(result.end(), more.begin(), more.end());
    };
    for (limits::client_action const& item : actions)
    {
        if (auto const* granted = std::get_if<limits::call_granted>(&item))
        {
            m_undecided.erase(granted->m_request);
            result.push_back({granted->m_request, true, {}, true});
        }
        else if (auto const* refused = std::get_if<limits::call_refused>(&item))
        {
            if (park(*refused, now))
            {
                continue;
            }
            m_undecided.erase(refused->m_request);
            result.push_back({refused->m_request, false, refused->m_retry_after,
                              refused->m_by_owner});
        }
        else if (auto const* settled = std::get_if<limits::send_settle>(&item))
        {
            if (settled->m_owner == m_options.m_instance)
            {
                m_owner.handle(settled->m_message, now);
                continue;
            }
            send(settled->m_owner, component::limits, settled->m_message,
                 ++m_last_operation);
        }
        else
        {
            auto const& reserve = std::get<limits::send_reserve>(item);
            if (reserve.m_owner == m_options.m_instance)
            {
                add(run(m_client.reply_received(
                            m_owner.handle(reserve.m_message, now), now),
                        now));
                continue;
            }
            std::uint64_t const number = ++m_last_operation;
            m_reserves.emplace(number,
                               open_reserve{reserve.m_message.m_organisation,
                                            reserve.m_message.m_reservation});
            if (!send(reserve.m_owner, component::limits, reserve.m_message,
                      number))
            {
                m_reserves.erase(number);
                add(run(m_client.delivery_failed(
                            reserve.m_message.m_organisation,
                            reserve.m_message.m_reservation, now),
                        now));
            }
        }
    }
    return result;
}

bool limit_gate::send(instance_id const& to, component part,
                      peer::message_body body, std::uint64_t number)
{
    membership::member const* const target = m_members.find(to);
    if (target == nullptr || target->m_address.empty())
    {
        return false;
    }
    peer::message content{m_options.m_instance, m_options.m_incarnation,
                          std::move(body)};
    m_actions.push(send_to_peer{{part, number},
                                target->m_address,
                                std::move(content),
                                part == component::limits ? reserve_timeout
                                                          : confirm_timeout});
    return true;
}

limit_gate::decisions limit_gate::on(peer_replied const& item, time_point now)
{
    if (item.m_operation.m_component == component::leases)
    {
        auto const* reply =
            item.m_reply
                ? std::get_if<lease::lease_confirm_reply>(&item.m_reply->m_body)
                : nullptr;
        if (reply != nullptr)
        {
            m_leases.reply_received(*reply, now);
        }
        return {};
    }
    auto const open = m_reserves.extract(item.m_operation.m_number);
    if (open.empty())
    {
        return {};
    }
    auto const* reply =
        item.m_reply ? std::get_if<limits::reserve_reply>(&item.m_reply->m_body)
                     : nullptr;
    if (reply == nullptr)
    {
        return run(m_client.delivery_failed(open.mapped().m_organisation,
                                            open.mapped().m_number, now),
                   now);
    }
    return run(m_client.reply_received(*reply, now), now);
}

void limit_gate::on(table_read_ended const& item, time_point now)
{
    auto const sent = m_reads.extract(item.m_operation.m_number);
    if (!sent.empty() && item.m_reply.m_ok)
    {
        m_leases.table_read(item.m_reply.m_rows, sent.mapped(), now);
        run(m_leases.tick(now));
    }
}

void limit_gate::on(transaction_ended const& item, time_point now)
{
    m_leases.transaction_done(item.m_operation.m_number, item.m_reply, now);
    run(m_leases.tick(now));
}

limits::reserve_reply
limit_gate::on_message(limits::reserve_request const& message, time_point now)
{
    return m_owner.handle(message, now);
}

void limit_gate::on_message(limits::settle const& message, time_point now)
{
    m_owner.handle(message, now);
}

lease::lease_confirm_reply
limit_gate::on_message(lease::lease_confirm_request const& message,
                       time_point now)
{
    return m_leases.confirm_requested(message, now);
}

std::optional<lease::lease_grant> limit_gate::order_lease(time_point now) const
{
    return m_leases.held(order_row, now);
}

void limit_gate::release(time_point now)
{
    m_leases.release_all(now);
    run(m_leases.tick(now));
}

nlohmann::json limit_gate::dump(time_point now) const
{
    nlohmann::json shards = nlohmann::json::array();
    std::int64_t const count =
        m_configuration ? m_configuration->m_rules.m_limit_shards : 0;
    for (std::int64_t i = 0; i < count; ++i)
    {
        std::string const row = limits::shard_row(i);
        auto const held = m_leases.held(row, now);
        nlohmann::json entry = {{"row", row}, {"held", held.has_value()}};
        if (held)
        {
            entry["fence"] = held->m_fence.value();
        }
        if (auto const holder = m_leases.holder(row))
        {
            entry["holder"] = holder->value();
        }
        shards.push_back(std::move(entry));
    }
    return {{"shards", shards}, {"static_share_instances", m_instances}};
}

} // namespace daisylead::core
