/** @file Entries of a configuration as lists of named values. */
#include "entries.hpp"

#include <daisylead/config/diff_func.hpp>

#include <algorithm>

namespace daisylead::config
{

namespace
{

template <class Number>
std::string number(Number value)
{
    return std::to_string(value);
}

std::string flag(bool value)
{
    return value ? "true" : "false";
}

/** The order of identifiers in a list has no effect, so it is no change. */
template <class Id>
std::string list(std::vector<Id> ids)
{
    std::sort(ids.begin(), ids.end());
    std::string text = "[";
    for (Id const& id : ids)
    {
        text += (text.size() == 1 ? "" : ", ") + id.value();
    }
    return text + "]";
}

template <class Id>
std::string selector(std::optional<Id> const& id)
{
    return id ? id->value() : "*";
}

entry to_entry(organisation const& item)
{
    return {item.m_id.value(),
            item.m_id.value(),
            {{"rate", number(item.m_rate.value())},
             {"burst", number(item.m_burst.value())},
             {"weight", number(item.m_weight)},
             {"models", list(item.m_models)},
             {"routes", list(item.m_routes)}}};
}

entry to_entry(access_key const& item)
{
    return {access::to_string(item.m_digest),
            item.m_label + " (" + shortened(item.m_digest) + ")",
            {{"organisation", item.m_organisation.value()},
             {"label", item.m_label}}};
}

entry to_entry(model const& item)
{
    return {item.m_id.value(),
            item.m_id.value(),
            {{"weights_version", item.m_weights_version.value()}}};
}

entry to_entry(adapter const& item)
{
    return {item.m_id.value(),
            item.m_id.value(),
            {{"model", item.m_model.value()},
             {"weights_version", item.m_weights_version.value()},
             {"organisations", list(item.m_organisations)}}};
}

entry to_entry(upstream const& item)
{
    bool const engine = item.m_kind == upstream_kind::engine;
    bool const active = item.m_state == upstream_state::active;
    return {item.m_id.value(),
            item.m_id.value(),
            {{"kind", engine ? "engine" : "service"},
             {"address", item.m_address},
             {"zone", item.m_zone.value()},
             {"models", list(item.m_models)},
             {"fenced_orders", flag(item.m_fenced_orders)},
             {"state", active ? "active" : "leaving"}}};
}

entry to_entry(route const& item)
{
    bool const required =
        item.m_idempotency_key == idempotency_key_rule::required;
    return {item.m_id.value(),
            item.m_id.value(),
            {{"path", item.m_path},
             {"upstreams", list(item.m_upstreams)},
             {"open", flag(item.m_open)},
             {"repeatable", flag(item.m_repeatable)},
             {"idempotency_key", required ? "required" : "optional"},
             {"cost", number(item.m_cost.value())}}};
}

entry to_entry(priority_rule const& item)
{
    std::string const id = "organisation " + selector(item.m_organisation) +
                           ", model " + selector(item.m_model) + ", route " +
                           selector(item.m_route);
    return {id, id, {{"priority", number(item.m_priority)}}};
}

entry to_entry(rules const& item)
{
    return {
        "rules",
        "rules",
        {{"default_generated_tokens",
          number(item.m_default_generated_tokens.value())},
         {"max_generated_tokens", number(item.m_max_generated_tokens.value())},
         {"default_deadline_ms", number(item.m_default_deadline.count())},
         {"max_deadline_ms", number(item.m_max_deadline.count())},
         {"max_queued", number(item.m_max_queued)},
         {"max_in_flight_per_upstream",
          number(item.m_max_in_flight_per_upstream)},
         {"max_attempts", number(item.m_max_attempts)},
         {"retry_budget_percent", number(item.m_retry_budget_percent)},
         {"default_priority", number(item.m_default_priority)},
         {"static_share_percent", number(item.m_static_share_percent)},
         {"loads_at_once", number(item.m_loads_at_once)},
         {"limit_shards", number(item.m_limit_shards)},
         {"block_bytes", number(item.m_block_size.value())},
         {"bytes_per_token", number(item.m_bytes_per_token)},
         {"quarantine_ms", number(item.m_quarantine.count())},
         {"default_prefill_rate", number(item.m_default_prefill_rate)}}};
}

template <class Item>
entry_list make_list(std::string kind, std::vector<Item> const& items)
{
    entry_list result{std::move(kind), {}};
    result.m_entries.reserve(items.size());
    for (Item const& item : items)
    {
        result.m_entries.push_back(to_entry(item));
    }
    return result;
}

} // namespace

std::vector<entry_list> list_entries(configuration const& item)
{
    return {make_list("organisation", item.m_organisations),
            make_list("key", item.m_keys),
            make_list("model", item.m_models),
            make_list("adapter", item.m_adapters),
            make_list("upstream", item.m_upstreams),
            make_list("route", item.m_routes),
            make_list("rules", std::vector<rules>{item.m_rules}),
            make_list("priority", item.m_priorities)};
}

} // namespace daisylead::config
