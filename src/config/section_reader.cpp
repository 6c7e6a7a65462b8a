/** @file Reading the sections of a settings document with checks. */
#include "section_reader.hpp"

namespace daisylead::config
{

section_reader::section_reader(toml::table const& document,
                               std::string const& file_name)
    : m_findings(file_name), m_document(document)
{
}

table_reader section_reader::section(std::string const& name)
{
    m_sections.insert(name);
    toml::node const* node = m_document.get(name);
    if (node != nullptr && !node->is_table())
    {
        m_findings.add(place_of(node->source()),
                       quoted(name) + " must be a section");
    }
    return {node == nullptr ? nullptr : node->as_table(), "[" + name + "]",
            m_findings};
}

void section_reader::report_unknown_sections()
{
    for (auto const& [key, node] : m_document)
    {
        if (!m_sections.contains(key.str()))
        {
            m_findings.add(place_of(key.source()),
                           "unknown section " + quoted(key.str()));
        }
    }
}

} // namespace daisylead::config
