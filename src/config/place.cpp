/** @file Collecting findings with their places in a document. */
#include "place_type.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace daisylead::config
{

place place_of(toml::source_region const& region)
{
    // toml++ leaves both at 0 where a value has no position of its own.
    return {std::max(1, static_cast<int>(region.begin.line)),
            std::max(1, static_cast<int>(region.begin.column))};
}

finding_list::finding_list(std::string file_name)
    : m_file_name(std::move(file_name))
{
}

void finding_list::add(place at, std::string message)
{
    m_findings.push_back(
        {m_file_name, at.m_line, at.m_column, std::move(message)});
}

void finding_list::throw_if_any() const
{
    if (m_findings.empty())
    {
        return;
    }
    std::vector<finding> sorted = m_findings;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](finding const& a, finding const& b) {
                         return std::tie(a.m_line, a.m_column) <
                                std::tie(b.m_line, b.m_column);
                     });
    throw findings_error(std::move(sorted));
}

toml::table parse_document(std::string_view text, std::string const& file_name)
{
    try
    {
        return toml::parse(text, file_name);
    }
    catch (toml::parse_error const& failure)
    {
        finding_list findings(file_name);
        findings.add(place_of(failure.source()),
                     "syntax error: " + std::string(failure.description()));
        findings.throw_if_any();
        throw;
    }
}

} // namespace daisylead::config
