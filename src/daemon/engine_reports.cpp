/** @file Decoding of what engines report. */
#include "engine_reports.hpp"

#include <daisylead/prefix/block_chain_type.hpp>

#include <nlohmann/json.hpp>

namespace daisylead::daemon
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;

bool is_ok(http::client_response const& response)
{
    return response.m_result.m_status == http::transfer_status::complete &&
           response.m_result.m_http_status == status_ok;
}

routing::engine_state parse_state(std::string const& state)
{
    if (state == "leaving")
    {
        return routing::engine_state::leaving;
    }
    return state == "loading" ? routing::engine_state::loading
                              : routing::engine_state::serving;
}

std::vector<prefix::block_hash> parse_blocks(json const& blocks)
{
    std::vector<prefix::block_hash> result;
    for (json const& block : blocks)
    {
        result.push_back(
            prefix::parse_block_hash(block.get_ref<std::string const&>()));
    }
    return result;
}

/** Engines name their incarnation by a number or by a text. */
incarnation parse_incarnation(json const& value)
{
    if (value.is_number_integer())
    {
        return incarnation(value.get<std::int64_t>());
    }
    // Only equality matters, and 0 stands for an unknown incarnation.
    auto const hash = std::hash<std::string>{}(value.get<std::string>());
    return incarnation(static_cast<std::int64_t>(hash | 1U));
}

routing::load_report parse_load(json const& body)
{
    routing::load_report report;
    report.m_incarnation = parse_incarnation(body.at("incarnation"));
    report.m_state = parse_state(body.value("state", "serving"));
    report.m_running = body.value("running", std::int64_t{0});
    report.m_waiting = body.value("waiting", std::int64_t{0});
    report.m_waiting_tokens =
        token_count(body.value("waiting_tokens", std::int64_t{0}));
    report.m_age =
        std::chrono::milliseconds(body.value("age_ms", std::int64_t{0}));
    json const models = body.value("models", json::object());
    for (auto const& [id, version] : models.items())
    {
        report.m_models.emplace_back(
            model_id(id), weights_version(version.get<std::string>()));
    }
    return report;
}

prefix::cache_event parse_event(json const& item)
{
    prefix::cache_event event;
    event.m_seq = item.at("seq");
    event.m_kind = item.at("type") == "evicted"
                       ? prefix::cache_event_kind::evicted
                       : prefix::cache_event_kind::stored;
    event.m_blocks = parse_blocks(item.at("blocks"));
    return event;
}

} // namespace

core::load_read_ended decode_load(upstream_id const& upstream,
                                  http::client_response const& response)
{
    core::load_read_ended event;
    event.m_upstream = upstream;
    event.m_refused =
        response.m_result.m_status == http::transfer_status::connect_failed;
    if (!is_ok(response))
    {
        return event;
    }
    try
    {
        event.m_report = parse_load(json::parse(response.m_body));
    }
    catch (json::exception const&)
    {
        event.m_report.reset();
    }
    return event;
}

core::cache_events_read
decode_cache_events(upstream_id const& upstream,
                    http::client_response const& response)
{
    core::cache_events_read event;
    event.m_upstream = upstream;
    if (!is_ok(response))
    {
        return event;
    }
    try
    {
        json const body = json::parse(response.m_body);
        for (json const& item : body.at("events"))
        {
            event.m_events.push_back(parse_event(item));
        }
        event.m_incarnation = parse_incarnation(body.at("incarnation"));
    }
    catch (std::exception const&)
    {
        event.m_incarnation = incarnation(0);
        event.m_events.clear();
    }
    return event;
}

core::cache_snapshot_read
decode_cache_snapshot(upstream_id const& upstream,
                      http::client_response const& response)
{
    core::cache_snapshot_read event;
    event.m_upstream = upstream;
    if (!is_ok(response))
    {
        return event;
    }
    try
    {
        json const body = json::parse(response.m_body);
        prefix::cache_snapshot snapshot;
        snapshot.m_incarnation = parse_incarnation(body.at("incarnation"));
        snapshot.m_seq = body.at("seq");
        snapshot.m_blocks = parse_blocks(body.at("blocks"));
        event.m_snapshot = std::move(snapshot);
    }
    catch (std::exception const&)
    {
        event.m_snapshot.reset();
    }
    return event;
}

core::engine_state_read
decode_engine_state(std::uint64_t read, http::client_response const& response)
{
    core::engine_state_read event;
    event.m_read = read;
    if (!is_ok(response))
    {
        return event;
    }
    try
    {
        json const body = json::parse(response.m_body);
        orders::engine_state state;
        state.m_loading = body.value("loading", false);
        state.m_versions = body.at("versions");
        event.m_state = std::move(state);
    }
    catch (json::exception const&)
    {
        event.m_state.reset();
    }
    return event;
}

core::order_ended decode_order(std::uint64_t order,
                               http::client_response const& response)
{
    using orders::order_outcome;
    http::transfer_result const& result = response.m_result;
    if (!result.m_may_have_sent)
    {
        return {order, order_outcome::not_sent};
    }
    if (result.m_status != http::transfer_status::complete)
    {
        return {order, order_outcome::unknown};
    }
    if (is_ok(response))
    {
        return {order, order_outcome::accepted};
    }
    bool const is_stale =
        response.m_body.find("stale_fence") != std::string::npos;
    return {order,
            is_stale ? order_outcome::stale_fence : order_outcome::refused};
}

std::string encode_order(orders::send_order const& order)
{
    bool const is_model = order.m_item.m_kind == orders::order_kind::load_model;
    json body = {{"fence", order.m_fence.value()},
                 {"order", is_model ? "load_model" : "load_adapter"},
                 {"model", order.m_item.m_model},
                 {"weights_version", order.m_item.m_version}};
    if (!is_model)
    {
        body["adapter"] = order.m_item.m_name;
    }
    return body.dump();
}

} // namespace daisylead::daemon
