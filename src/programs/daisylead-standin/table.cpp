/** @file Rows with versions and conditional transactions. */
#include "table_base.hpp"

#include <utility>
#include <vector>

namespace daisylead::standin
{

using nlohmann::json;

json table::row_json(std::string const& name) const
{
    auto const found = m_rows.find(name);
    if (found == m_rows.end())
    {
        return {{"row", name}, {"version", 0}};
    }
    return {{"row", name},
            {"version", found->second.m_version},
            {"value", found->second.m_value}};
}

bool table::holds(json const& condition) const
{
    auto const found = m_rows.find(condition.at("row").get<std::string>());
    if (condition.value("absent", false))
    {
        return found == m_rows.end();
    }
    auto const version = condition.at("version").get<std::int64_t>();
    return found != m_rows.end() && found->second.m_version == version;
}

json table::transact(json const& body)
{
    json failed = json::array();
    for (json const& condition : body.value("conditions", json::array()))
    {
        if (!holds(condition))
        {
            failed.push_back(row_json(condition.at("row")));
        }
    }
    std::vector<std::pair<std::string, json>> puts;
    for (json const& put : body.value("puts", json::array()))
    {
        puts.emplace_back(put.at("row").get<std::string>(), put.at("value"));
    }
    auto const deletes =
        body.value("deletes", json::array()).get<std::vector<std::string>>();
    if (!failed.empty())
    {
        return {{"committed", false}, {"rows", failed}};
    }
    json versions = json::object();
    for (auto& [name, value] : puts)
    {
        m_rows[name] = {++m_last_version, std::move(value)};
        versions[name] = m_last_version;
    }
    for (std::string const& name : deletes)
    {
        m_rows.erase(name);
    }
    return {{"committed", true}, {"versions", versions}};
}

json table::read(json const& body) const
{
    json rows = json::array();
    using names = std::vector<std::string>;
    for (auto const& name : body.value("rows", names()))
    {
        if (m_rows.contains(name))
        {
            rows.push_back(row_json(name));
        }
    }
    for (auto const& prefix : body.value("prefixes", names()))
    {
        for (auto row = m_rows.lower_bound(prefix);
             row != m_rows.end() && row->first.starts_with(prefix); ++row)
        {
            rows.push_back(row_json(row->first));
        }
    }
    return {{"rows", rows}};
}

} // namespace daisylead::standin
