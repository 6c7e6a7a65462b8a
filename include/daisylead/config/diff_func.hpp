/** @file Differences between two configurations. */
#pragma once

#include <daisylead/config/configuration_type.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace daisylead::config
{

enum class change_kind
{
    added,   ///< only in the second configuration
    removed, ///< only in the first configuration
    changed  ///< in both, with different values
};

/** A value that differs. */
struct field_change
{
    std::string m_name;   ///< key in the document
    std::string m_before; ///< value in the first configuration
    std::string m_after;  ///< value in the second configuration
};

/** An entry that differs. */
struct change
{
    change_kind m_change = change_kind::changed; ///< what happened to it
    std::string m_kind;                          ///< for example "upstream"
    std::string m_id;                   ///< identifier, as shown to operators
    std::vector<field_change> m_fields; ///< only of a changed entry
};

/** Compares inventory and rules, but not the texts, versions and hashes.
 *  Digests appear with their first 8 hex digits only.
 *  @return the entries that differ, by kind and then in the order of @p after,
 *  with the removed ones of each kind first */
std::vector<change> diff(configuration const& before,
                         configuration const& after);

/** @return one line for each entry and each changed value; empty without
 *  differences. */
std::string to_text(std::vector<change> const& changes);

/** @return an array of objects with "change", "kind", "id" and "fields". */
nlohmann::json to_json(std::vector<change> const& changes);

/** @return "sha256:" and the first 8 hex digits, for messages. */
std::string shortened(access::key_digest const& digest);

} // namespace daisylead::config
