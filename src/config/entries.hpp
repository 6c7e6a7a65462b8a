/** @file Entries of a configuration as lists of named values. */
#pragma once

#include <daisylead/config/configuration_type.hpp>

#include <string>
#include <utility>
#include <vector>

namespace daisylead::config
{

/** One entry, in the form in which diff() compares it. */
struct entry
{
    std::string m_identity; ///< equal for the same entry; never shown
    std::string m_id;       ///< identifier as shown
    std::vector<std::pair<std::string, std::string>> m_fields; ///< key, value
};

/** All entries of one kind. */
struct entry_list
{
    std::string m_kind;           ///< name of the section
    std::vector<entry> m_entries; ///< in the order of the document
};

/** @return the entries of @p item, always with the same kinds in the same
 *  order. */
std::vector<entry_list> list_entries(configuration const& item);

} // namespace daisylead::config
