/** @file Reading of fleet rules and priorities. */
#include "rules.hpp"

namespace daisylead::config
{

namespace
{

constexpr value_range generated_range{1, 1000000}; ///< tokens
constexpr value_range deadline_range{1, 3600000};  ///< ms
constexpr value_range queued_range{0, 1000000};    ///< requests
constexpr value_range in_flight_range{1, 100000};  ///< requests
constexpr value_range attempts_range{1, 10};
constexpr value_range percent_range{0, 100};
constexpr value_range priority_range{0, 100};
constexpr value_range loads_range{1, 1000};
constexpr value_range shards_range{1, 4096};
constexpr value_range block_range{16, 1 << 20};         ///< bytes
constexpr value_range bytes_per_token_range{1, 64};     ///< bytes
constexpr value_range quarantine_range{0, 86400000};    ///< ms
constexpr value_range prefill_rate_range{1, 100000000}; ///< tokens per second

/** The static shares are taken from the owner's part of each limit; above one
 *  half, an outage would have more to spend than normal operation. */
constexpr value_range static_share_range{0, 50};

/** Reports a default that is above its maximum, at the default if it is
 *  written and else at the maximum. */
void check_order(table_reader& reader, std::string_view default_key,
                 std::int64_t default_value, std::string_view max_key,
                 std::int64_t max_value)
{
    if (default_value <= max_value)
    {
        return;
    }
    std::string_view const key =
        reader.has(default_key) ? default_key : max_key;
    reader.report(reader.place_of_value(key),
                  quoted(default_key) + " (" + std::to_string(default_value) +
                      ") must not be above " + quoted(max_key) + " (" +
                      std::to_string(max_value) + ")");
}

template <class Id>
std::optional<Id> read_selector(table_reader& reader, std::string_view key,
                                std::vector<entity> accepted,
                                reference_table& references)
{
    std::optional<placed_text> const value = reader.text(key);
    if (!value)
    {
        return std::nullopt;
    }
    if (value->m_text.empty())
    {
        reader.report(value->m_place, quoted(key) + " must not be empty");
    }
    references.refer(std::move(accepted), *value);
    return Id(value->m_text);
}

template <class Id>
bool selector_covers(std::optional<Id> const& earlier,
                     std::optional<Id> const& later)
{
    return !earlier || earlier == later;
}

void read_request_rules(table_reader& reader, rules& result)
{
    result.m_default_generated_tokens = token_count(reader.number(
        "default_generated_tokens", result.m_default_generated_tokens.value(),
        generated_range));
    result.m_max_generated_tokens = token_count(
        reader.number("max_generated_tokens",
                      result.m_max_generated_tokens.value(), generated_range));
    check_order(reader, "default_generated_tokens",
                result.m_default_generated_tokens.value(),
                "max_generated_tokens", result.m_max_generated_tokens.value());
    result.m_default_deadline = reader.duration_ms(
        "default_deadline_ms", result.m_default_deadline, deadline_range);
    result.m_max_deadline = reader.duration_ms(
        "max_deadline_ms", result.m_max_deadline, deadline_range);
    check_order(reader, "default_deadline_ms",
                result.m_default_deadline.count(), "max_deadline_ms",
                result.m_max_deadline.count());
}

void read_load_rules(table_reader& reader, rules& result)
{
    result.m_max_queued =
        reader.number("max_queued", result.m_max_queued, queued_range);
    result.m_max_in_flight_per_upstream =
        reader.number("max_in_flight_per_upstream",
                      result.m_max_in_flight_per_upstream, in_flight_range);
    result.m_max_attempts =
        reader.number("max_attempts", result.m_max_attempts, attempts_range);
    result.m_retry_budget_percent = static_cast<int>(reader.number(
        "retry_budget_percent", result.m_retry_budget_percent, percent_range));
    result.m_default_priority = static_cast<int>(reader.number(
        "default_priority", result.m_default_priority, priority_range));
}

void read_fleet_rules(table_reader& reader, rules& result)
{
    result.m_static_share_percent = static_cast<int>(
        reader.number("static_share_percent", result.m_static_share_percent,
                      static_share_range));
    result.m_loads_at_once =
        reader.number("loads_at_once", result.m_loads_at_once, loads_range);
    result.m_limit_shards =
        reader.number("limit_shards", result.m_limit_shards, shards_range);
    result.m_block_size = byte_count(
        reader.number("block_bytes", result.m_block_size.value(), block_range));
    result.m_bytes_per_token = static_cast<int>(reader.number(
        "bytes_per_token", result.m_bytes_per_token, bytes_per_token_range));
    result.m_quarantine = reader.duration_ms(
        "quarantine_ms", result.m_quarantine, quarantine_range);
    result.m_default_prefill_rate = static_cast<int>(
        reader.number("default_prefill_rate", result.m_default_prefill_rate,
                      prefill_rate_range));
}

} // namespace

rules read_rules(table_reader& reader)
{
    rules result;
    read_request_rules(reader, result);
    read_load_rules(reader, result);
    read_fleet_rules(reader, result);
    reader.finish();
    return result;
}

priority_rule read_priority(table_reader& reader, reference_table& references)
{
    priority_rule result;
    result.m_organisation = read_selector<organisation_id>(
        reader, "organisation", {entity::organisation}, references);
    result.m_model = read_selector<model_id>(
        reader, "model", {entity::model, entity::adapter}, references);
    result.m_route =
        read_selector<route_id>(reader, "route", {entity::route}, references);
    result.m_priority =
        static_cast<int>(reader.required_number("priority", priority_range));
    if (result.m_model && result.m_route)
    {
        reader.report(reader.begin(),
                      "a [[priority]] with a model and a route matches no "
                      "request, as a route has no model");
    }
    reader.finish();
    return result;
}

bool covers(priority_rule const& earlier, priority_rule const& later)
{
    return selector_covers(earlier.m_organisation, later.m_organisation) &&
           selector_covers(earlier.m_model, later.m_model) &&
           selector_covers(earlier.m_route, later.m_route);
}

} // namespace daisylead::config
