/** @file Differences between two configurations. */
#include "entries.hpp"

#include <daisylead/config/diff_func.hpp>

#include <nlohmann/json.hpp>

#include <string_view>
#include <unordered_map>

namespace daisylead::config
{

namespace
{

constexpr std::string_view digest_prefix = "sha256:";
constexpr std::size_t shown_digits = 8;
constexpr std::string_view priority_kind = "priority";

using entry_index = std::unordered_map<std::string, entry const*>;

entry_index index_of(entry_list const& list)
{
    entry_index index;
    index.reserve(list.m_entries.size());
    for (entry const& item : list.m_entries)
    {
        index.emplace(item.m_identity, &item);
    }
    return index;
}

std::vector<field_change> compare_fields(entry const& before,
                                         entry const& after)
{
    std::vector<field_change> changes;
    for (std::size_t i = 0; i < after.m_fields.size(); ++i)
    {
        auto const& [name, value] = after.m_fields[i];
        if (before.m_fields[i].second != value)
        {
            changes.push_back({name, before.m_fields[i].second, value});
        }
    }
    return changes;
}

/** The first matching priority rule wins, so their order has a meaning.
 *  @return whether the entries that are in both lists have the same order */
bool same_order(entry_list const& before, entry_list const& after)
{
    entry_index const old_entries = index_of(before);
    entry_index const new_entries = index_of(after);
    auto next = after.m_entries.begin();
    for (entry const& item : before.m_entries)
    {
        if (!new_entries.contains(item.m_identity))
        {
            continue;
        }
        while (!old_entries.contains(next->m_identity))
        {
            ++next;
        }
        if (next->m_identity != item.m_identity)
        {
            return false;
        }
        ++next;
    }
    return true;
}

void compare_lists(entry_list const& before, entry_list const& after,
                   std::vector<change>& changes)
{
    entry_index const old_entries = index_of(before);
    entry_index const new_entries = index_of(after);
    for (entry const& item : before.m_entries)
    {
        if (!new_entries.contains(item.m_identity))
        {
            changes.push_back(
                {change_kind::removed, before.m_kind, item.m_id, {}});
        }
    }
    for (entry const& item : after.m_entries)
    {
        auto const found = old_entries.find(item.m_identity);
        if (found == old_entries.end())
        {
            changes.push_back(
                {change_kind::added, after.m_kind, item.m_id, {}});
            continue;
        }
        auto fields = compare_fields(*found->second, item);
        if (!fields.empty())
        {
            changes.push_back({change_kind::changed, after.m_kind, item.m_id,
                               std::move(fields)});
        }
    }
}

std::string name_of(change_kind kind)
{
    switch (kind)
    {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        return "changed";
    }
    return "changed";
}

} // namespace

std::vector<change> diff(configuration const& before,
                         configuration const& after)
{
    std::vector<entry_list> const old_lists = list_entries(before);
    std::vector<entry_list> const new_lists = list_entries(after);
    std::vector<change> changes;
    for (std::size_t i = 0; i < new_lists.size(); ++i)
    {
        compare_lists(old_lists[i], new_lists[i], changes);
        if (new_lists[i].m_kind == priority_kind &&
            !same_order(old_lists[i], new_lists[i]))
        {
            changes.push_back({change_kind::changed,
                               std::string(priority_kind),
                               "order of the rules",
                               {}});
        }
    }
    return changes;
}

std::string to_text(std::vector<change> const& changes)
{
    std::string text;
    for (change const& item : changes)
    {
        text +=
            name_of(item.m_change) + " " + item.m_kind + " " + item.m_id + "\n";
        for (field_change const& field : item.m_fields)
        {
            text += "    " + field.m_name + ": " + field.m_before + " -> " +
                    field.m_after + "\n";
        }
    }
    return text;
}

nlohmann::json to_json(std::vector<change> const& changes)
{
    nlohmann::json result = nlohmann::json::array();
    for (change const& item : changes)
    {
        nlohmann::json fields = nlohmann::json::array();
        for (field_change const& field : item.m_fields)
        {
            fields.push_back({{"name", field.m_name},
                              {"before", field.m_before},
                              {"after", field.m_after}});
        }
        result.push_back({{"change", name_of(item.m_change)},
                          {"kind", item.m_kind},
                          {"id", item.m_id},
                          {"fields", std::move(fields)}});
    }
    return result;
}

std::string shortened(access::key_digest const& digest)
{
    return access::to_string(digest).substr(0, digest_prefix.size() +
                                                   shown_digits);
}

} // namespace daisylead::config
