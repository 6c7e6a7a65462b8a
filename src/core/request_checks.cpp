/** @file Checks of a new request and what is derived from the configuration. */
#include "refusals.hpp"
#include "request_flow.hpp"

#include <algorithm>

namespace daisylead::core
{

namespace
{

using request::endpoint;
using request::refusal;
using request::refusal_code;

refusal reject(refusal_code code, std::string message)
{
    return not_run(code, std::move(message), std::nullopt);
}

config::route const* find_route(config::configuration const& configuration,
                                route_id const& id)
{
    for (config::route const& item : configuration.m_routes)
    {
        if (item.m_id == id)
        {
            return &item;
        }
    }
    return nullptr;
}

bool is_model_endpoint(endpoint value)
{
    return value == endpoint::chat_completions ||
           value == endpoint::completions;
}

bool matches(config::priority_rule const& rule, organisation_id const& owner,
             std::string const& model, config::route const* route)
{
    return (!rule.m_organisation || *rule.m_organisation == owner) &&
           (!rule.m_model || rule.m_model->value() == model) &&
           (!rule.m_route ||
            (route != nullptr && *rule.m_route == route->m_id));
}

} // namespace

std::optional<refusal> request_flow::check_route(state& item) const
{
    if (item.m_info.m_endpoint != endpoint::service)
    {
        return std::nullopt;
    }
    route_id const* const id = m_access.find_route(item.m_info.m_path);
    if (id == nullptr)
    {
        return reject(refusal_code::unknown_route, "no route covers this path");
    }
    item.m_route = find_route(*item.m_configuration, *id);
    return std::nullopt;
}

std::optional<refusal> request_flow::check_access(state& item) const
{
    bool const is_open = item.m_route != nullptr && item.m_route->m_open;
    organisation_id const* const owner =
        item.m_info.m_key ? m_access.find_organisation(*item.m_info.m_key)
                          : nullptr;
    if (owner != nullptr)
    {
        item.m_organisation = *owner;
    }
    if (is_open)
    {
        return std::nullopt;
    }
    if (!item.m_info.m_key)
    {
        return reject(refusal_code::no_key, "a key is required");
    }
    if (owner == nullptr)
    {
        return reject(refusal_code::unknown_key, "the key is not valid");
    }
    if (item.m_route != nullptr &&
        !m_access.may_use_route(*owner, item.m_route->m_id))
    {
        return reject(refusal_code::not_permitted,
                      "this organisation may not use this route");
    }
    return std::nullopt;
}

std::optional<refusal> request_flow::check_model(state& item) const
{
    if (!is_model_endpoint(item.m_info.m_endpoint))
    {
        if (item.m_route != nullptr && !item.m_route->m_repeatable &&
            item.m_route->m_idempotency_key ==
                config::idempotency_key_rule::required &&
            !item.m_info.m_idempotency_key)
        {
            return reject(refusal_code::idempotency_key_missing,
                          "this route requires an Idempotency-Key header");
        }
        return std::nullopt;
    }
    config::configuration const& configuration = *item.m_configuration;
    std::string const& name = item.m_info.m_model;
    for (config::adapter const& adapter : configuration.m_adapters)
    {
        if (adapter.m_id.value() == name)
        {
            item.m_adapter = adapter.m_id;
            item.m_adapter_weights = adapter.m_weights_version;
            item.m_model = adapter.m_model;
        }
    }
    if (item.m_adapter.empty())
    {
        item.m_model = model_id(name);
    }
    auto const model = std::find_if(
        configuration.m_models.begin(), configuration.m_models.end(),
        [&](config::model const& entry) { return entry.m_id == item.m_model; });
    if (model == configuration.m_models.end())
    {
        return reject(refusal_code::unknown_model, "no such model");
    }
    item.m_weights = model->m_weights_version;
    if (!m_access.may_use_model(item.m_organisation, model_id(name)))
    {
        return reject(refusal_code::not_permitted,
                      "this organisation may not use this model");
    }
    return std::nullopt;
}

void request_flow::prepare_model(state& item) const
{
    config::rules const& rules = item.m_configuration->m_rules;
    weights_version const version =
        item.m_adapter.empty()
            ? item.m_weights
            : weights_version(item.m_weights.value() + "+" +
                              item.m_adapter_weights.value());
    item.m_chain = prefix::make_block_chain(
        {item.m_organisation, item.m_model, item.m_adapter, version},
        *item.m_info.m_prompt, rules.m_block_size);
    item.m_prompt_tokens =
        token_count(static_cast<std::int64_t>(item.m_info.m_prompt->size()) /
                        std::max(1, rules.m_bytes_per_token) +
                    1);
    item.m_max_tokens = std::min(
        item.m_info.m_max_tokens.value_or(rules.m_default_generated_tokens),
        rules.m_max_generated_tokens);
    item.m_reserved = item.m_prompt_tokens + item.m_max_tokens;
}

void request_flow::prepare_service(state& item) const
{
    item.m_reserved = item.m_route->m_cost;
}

int request_flow::priority_of(state const& item) const
{
    for (config::priority_rule const& rule : item.m_configuration->m_priorities)
    {
        if (matches(rule, item.m_organisation, item.m_info.m_model,
                    item.m_route))
        {
            return rule.m_priority;
        }
    }
    return item.m_configuration->m_rules.m_default_priority;
}

void request_flow::list_permitted_models(state const& item)
{
    list_models answer;
    answer.m_request = item.m_info.m_id;
    for (config::model const& entry : item.m_configuration->m_models)
    {
        if (m_access.may_use_model(item.m_organisation, entry.m_id))
        {
            answer.m_models.push_back(entry.m_id.value());
        }
    }
    for (config::adapter const& entry : item.m_configuration->m_adapters)
    {
        if (m_access.may_use_model(item.m_organisation,
                                   model_id(entry.m_id.value())))
        {
            answer.m_models.push_back(entry.m_id.value());
        }
    }
    m_actions.push(std::move(answer));
}

bool request_flow::is_repeatable(state const& item) const
{
    return item.m_route == nullptr || item.m_route->m_repeatable;
}

bool request_flow::needs_claim(state const& item) const
{
    return !is_repeatable(item) && item.m_info.m_idempotency_key.has_value();
}

} // namespace daisylead::core
