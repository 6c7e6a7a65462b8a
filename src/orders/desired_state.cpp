/** @file Desired state of engines. */
#include <daisylead/orders/order_planner_base.hpp>

#include <algorithm>

namespace daisylead::orders
{

namespace
{

bool lists_model(config::upstream const& engine, model_id const& id)
{
    return std::find(engine.m_models.begin(), engine.m_models.end(), id) !=
           engine.m_models.end();
}

} // namespace

std::vector<order_item> desired_items(config::configuration const& rules,
                                      config::upstream const& engine)
{
    std::vector<order_item> items;
    for (config::model const& model : rules.m_models)
    {
        if (lists_model(engine, model.m_id))
        {
            items.push_back({order_kind::load_model, model.m_id.value(),
                             model.m_id.value(),
                             model.m_weights_version.value()});
        }
    }
    for (config::adapter const& adapter : rules.m_adapters)
    {
        bool const listed =
            lists_model(engine, model_id(adapter.m_id.value())) ||
            lists_model(engine, adapter.m_model);
        if (listed)
        {
            items.push_back({order_kind::load_adapter, adapter.m_id.value(),
                             adapter.m_model.value(),
                             adapter.m_weights_version.value()});
        }
    }
    return items;
}

order_item const* find_missing(std::vector<order_item> const& desired,
                               engine_state const& state)
{
    auto const found =
        std::find_if(desired.begin(), desired.end(),
                     [&](order_item const& item)
                     {
                         auto const present =
                             state.m_versions.find(item.m_name);
                         return present == state.m_versions.end() ||
                                present->second != item.m_version;
                     });
    return found == desired.end() ? nullptr : &*found;
}

} // namespace daisylead::orders
