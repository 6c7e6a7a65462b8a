/** @file Identifiers of a configuration and the references to them. */
#include "references.hpp"

#include <algorithm>

namespace daisylead::config
{

namespace
{

std::string name_of(entity kind)
{
    switch (kind)
    {
    case entity::organisation:
        return "organisation";
    case entity::model:
        return "model";
    case entity::adapter:
        return "adapter";
    case entity::engine:
        return "engine";
    case entity::service:
        return "service";
    case entity::route:
        return "route";
    }
    return "entry";
}

std::string join_names(std::vector<entity> const& kinds)
{
    std::string text;
    for (entity const kind : kinds)
    {
        text += (text.empty() ? "" : " or ") + name_of(kind);
    }
    return text;
}

} // namespace

int reference_table::name_space(entity kind)
{
    switch (kind)
    {
    case entity::adapter:
        return static_cast<int>(entity::model);
    case entity::service:
        return static_cast<int>(entity::engine);
    default:
        return static_cast<int>(kind);
    }
}

reference_table::declaration const*
reference_table::find(entity kind, std::string const& id) const
{
    auto const found = m_declarations.find({name_space(kind), id});
    return found == m_declarations.end() ? nullptr : &found->second;
}

void reference_table::declare(entity kind, placed_text const& id,
                              finding_list& findings)
{
    if (id.m_text.empty())
    {
        return; // reported as missing or empty by the reader
    }
    if (declaration const* first = find(kind, id.m_text))
    {
        findings.add(id.m_place,
                     "duplicate id " + quoted(id.m_text) + ": line " +
                         std::to_string(first->m_place.m_line) +
                         " has it for the " + name_of(first->m_kind));
        return;
    }
    m_declarations.emplace(std::pair(name_space(kind), id.m_text),
                           declaration{kind, id.m_place});
}

void reference_table::refer(std::vector<entity> accepted, placed_text const& id)
{
    if (!id.m_text.empty())
    {
        m_references.push_back({std::move(accepted), id});
    }
}

void reference_table::resolve(finding_list& findings) const
{
    for (auto const& [accepted, id] : m_references)
    {
        declaration const* target = find(accepted.front(), id.m_text);
        if (target == nullptr)
        {
            findings.add(id.m_place, "unknown " + join_names(accepted) + " " +
                                         quoted(id.m_text));
            continue;
        }
        if (std::find(accepted.begin(), accepted.end(), target->m_kind) ==
            accepted.end())
        {
            findings.add(id.m_place, quoted(id.m_text) + " must be of kind " +
                                         join_names(accepted) + ", not " +
                                         name_of(target->m_kind));
        }
    }
}

bool reference_table::is_declared(entity kind, std::string const& id) const
{
    declaration const* found = find(kind, id);
    return found != nullptr && found->m_kind == kind;
}

} // namespace daisylead::config
