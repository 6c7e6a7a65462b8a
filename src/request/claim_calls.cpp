/** @file claim_flow: dispatch of replies, timers and the public class. */
#include "claim_flow_impl.hpp"

#include <algorithm>

namespace daisylead::request
{

namespace
{

using table::table_row;

table_row const* find_row(std::vector<table_row> const& rows,
                          std::string const& name)
{
    auto const found =
        std::find_if(rows.begin(), rows.end(),
                     [&](table_row const& row) { return row.m_row == name; });
    return found == rows.end() ? nullptr : &*found;
}

void keep_earliest(std::optional<time_point>& next,
                   std::optional<time_point> other)
{
    if (other && (!next || *other < *next))
    {
        next = other;
    }
}

} // namespace

claim_flow::impl::key_state* claim_flow::impl::find(std::string const& row)
{
    auto const found = m_keys.find(row);
    return found == m_keys.end() ? nullptr : &found->second;
}

claim_flow::impl::key_state*
claim_flow::impl::find_claim(std::string const& row, std::string const& token)
{
    key_state* const item = find(row);
    return item != nullptr && item->m_claim.m_token == token ? item : nullptr;
}

void claim_flow::impl::erase_key(key_state& item)
{
    for (waiter const& request : item.m_requests)
    {
        m_rows.erase(request.m_id);
    }
    m_stored_bytes -= item.m_stored_bytes;
    m_keys.erase(std::string(item.m_row));
}

void claim_flow::impl::schedule(key_state const& item, time_point due)
{
    m_timers.emplace(due, item.m_row);
}

void claim_flow::impl::run_key_timers(key_state& item, time_point now)
{
    if (item.m_stage == stage::waiting && !item.m_call_pending &&
        item.m_due <= now)
    {
        item.m_call_pending = true;
        queue_read(call_kind::poll, item.m_row, {});
    }
    bool const stores =
        item.m_stage == stage::storing_object || item.m_stage == stage::storing;
    if (stores && !item.m_call_pending && item.m_due <= now)
    {
        try_store(item, now);
    }
    expire_waiters(item, now);
}

void claim_flow::impl::on_timer(time_point now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now)
    {
        std::string const row = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        if (key_state* const item = find(row))
        {
            run_key_timers(*item, now);
        }
    }
}

std::optional<time_point> claim_flow::impl::next_timer() const
{
    std::optional<time_point> next = m_writer.next_timer();
    keep_earliest(next, m_releases.next_timer());
    if (!m_timers.empty())
    {
        keep_earliest(next, m_timers.begin()->first);
    }
    return next;
}

void claim_flow::impl::on_transaction(std::uint64_t call,
                                      table::transaction_reply const& reply,
                                      time_point now)
{
    for (write_result const& result : m_writer.on_reply(call, reply, m_actions))
    {
        switch (result.m_write.m_purpose)
        {
        case write_purpose::claim:
            on_claim_result(result, now);
            break;
        case write_purpose::store:
            on_store_result(result, now);
            break;
        case write_purpose::release:
            m_releases.on_deleted(result.m_write.m_token, result.m_status, now);
            break;
        }
    }
}

void claim_flow::impl::on_read(std::uint64_t call,
                               table::read_reply const& reply, time_point now)
{
    auto contexts = m_calls.extract(call);
    if (!contexts)
    {
        return;
    }
    for (call_context const& context : contexts.mapped())
    {
        on_row_read(context, find_row(reply.m_rows, context.m_row), reply.m_ok,
                    now);
    }
}

void claim_flow::impl::on_row_read(call_context const& context,
                                   table_row const* row, bool ok,
                                   time_point now)
{
    if (context.m_kind == call_kind::release_read)
    {
        bool const held =
            row != nullptr &&
            parse_claim_row(row->m_value).value_or(claim_row{}).m_token ==
                context.m_token;
        m_releases.on_read(context.m_token, ok, held ? row->m_version : 0, now);
        return;
    }
    key_state* const item = context.m_kind == call_kind::read_back
                                ? find_claim(context.m_row, context.m_token)
                                : find(context.m_row);
    if (item == nullptr)
    {
        return;
    }
    if (context.m_kind == call_kind::read_back &&
        item->m_stage == stage::reading_back)
    {
        on_read_back(*item, row, ok, now);
    }
    if (context.m_kind == call_kind::poll && item->m_stage == stage::waiting &&
        item->m_call_pending)
    {
        on_poll_reply(*item, row, ok, now);
    }
}

void claim_flow::impl::submit_releases(time_point now)
{
    for (release_item const& item : m_releases.take_due(now))
    {
        if (item.m_version == 0)
        {
            queue_read(call_kind::release_read, item.m_row, item.m_token);
            continue;
        }
        m_writer.submit({write_purpose::release, item.m_row, item.m_token,
                         item.m_version, std::nullopt},
                        now, m_actions);
    }
}

void claim_flow::impl::queue_read(call_kind kind, std::string const& row,
                                  std::string const& token)
{
    m_queued_reads.push_back({kind, row, token});
}

void claim_flow::impl::submit_reads()
{
    if (m_queued_reads.empty())
    {
        return;
    }
    std::set<std::string> rows;
    for (call_context const& context : m_queued_reads)
    {
        rows.insert(context.m_row);
    }
    std::uint64_t const call = m_next_call++;
    m_actions.emplace_back(claim_read{call, {{rows.begin(), rows.end()}, {}}});
    m_calls[call] = std::exchange(m_queued_reads, {});
}

claim_flow::actions claim_flow::impl::take_actions(time_point now)
{
    submit_releases(now);
    m_writer.flush_due(now, m_actions);
    submit_reads();
    return std::exchange(m_actions, {});
}

claim_flow::claim_flow(claim_options options, claim_hooks hooks)
    : m_impl(std::make_unique<impl>(std::move(options), std::move(hooks)))
{
}

claim_flow::~claim_flow() = default;

claim_flow::actions claim_flow::begin(claim_request const& request,
                                      time_point now)
{
    m_impl->begin(request, now);
    return m_impl->take_actions(now);
}

claim_flow::actions claim_flow::on_transaction(
    std::uint64_t call, table::transaction_reply const& reply, time_point now)
{
    m_impl->on_transaction(call, reply, now);
    return m_impl->take_actions(now);
}

claim_flow::actions claim_flow::on_read(std::uint64_t call,
                                        table::read_reply const& reply,
                                        time_point now)
{
    m_impl->on_read(call, reply, now);
    return m_impl->take_actions(now);
}

claim_flow::actions
claim_flow::on_object_read(std::uint64_t call,
                           std::optional<std::string> const& content,
                           time_point now)
{
    m_impl->on_object_read(call, content, now);
    return m_impl->take_actions(now);
}

claim_flow::actions claim_flow::on_object_written(std::uint64_t call,
                                                  bool stored, time_point now)
{
    m_impl->on_object_written(call, stored, now);
    return m_impl->take_actions(now);
}

claim_flow::actions claim_flow::on_attempt(request_id const& request,
                                           attempt_result const& result,
                                           time_point now)
{
    m_impl->on_attempt(request, result, now);
    return m_impl->take_actions(now);
}

claim_flow::actions claim_flow::caller_gone(request_id const& request,
                                            time_point now)
{
    m_impl->caller_gone(request, now);
    return m_impl->take_actions(now);
}

claim_flow::actions claim_flow::on_timer(time_point now)
{
    m_impl->on_timer(now);
    return m_impl->take_actions(now);
}

std::optional<time_point> claim_flow::next_timer() const
{
    return m_impl->next_timer();
}

std::size_t claim_flow::keys_in_progress() const
{
    return m_impl->keys_in_progress();
}

std::size_t claim_flow::releases_pending() const
{
    return m_impl->releases_pending();
}

} // namespace daisylead::request
