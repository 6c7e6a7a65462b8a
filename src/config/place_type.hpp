/** @file Collecting findings with their places in a document. */
#pragma once

#include <daisylead/base/error_type.hpp>

#include <toml++/toml.h>

#include <string>
#include <vector>

namespace daisylead::config
{

/** A position in a document. */
struct place
{
    int m_line = 1;   ///< line, from 1
    int m_column = 1; ///< column, from 1
};

/** @return the first position of @p region. */
place place_of(toml::source_region const& region);

/** Findings of one document. */
class finding_list
{
public:
    explicit finding_list(std::string file_name);

    void add(place at, std::string message);

    /** @throws findings_error with everything added so far, in the order of
     *  the document, if there is anything */
    void throw_if_any() const;

private:
    std::string m_file_name;
    std::vector<finding> m_findings;
};

/** Parses TOML.
 *  @throws findings_error with the first syntax error */
toml::table parse_document(std::string_view text, std::string const& file_name);

} // namespace daisylead::config
