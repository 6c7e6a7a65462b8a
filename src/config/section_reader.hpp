/** @file Reading the sections of a settings document with checks. */
#pragma once

#include "table_reader.hpp"

#include <set>
#include <string>

namespace daisylead::config
{

/** Hands out the sections of a document and reports those that nobody asked
 *  for. */
class section_reader
{
public:
    section_reader(toml::table const& document, std::string const& file_name);

protected:
    /** @return reader of a section; of an empty one if it is absent. */
    table_reader section(std::string const& name);

    /** Reports every section that was never asked for. */
    void report_unknown_sections();

    finding_list m_findings; ///< of the whole document

private:
    toml::table const& m_document;
    std::set<std::string, std::less<>> m_sections;
};

} // namespace daisylead::config
