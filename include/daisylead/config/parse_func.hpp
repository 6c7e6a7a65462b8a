/** @file Reading of settings and configuration documents. */
#pragma once

#include <daisylead/base/error_type.hpp>
#include <daisylead/config/configuration_type.hpp>
#include <daisylead/config/entry_settings_type.hpp>
#include <daisylead/config/settings_type.hpp>

#include <string>
#include <string_view>

namespace daisylead::config
{

/** Reads the settings of a process.
 *  @param text a TOML document
 *  @param file_name name used in findings
 *  @throws findings_error with every problem of the document */
settings parse_settings(std::string_view text, std::string const& file_name);

/** Reads the settings of an entry instance.
 *  @throws findings_error with all problems */
entry_settings parse_entry_settings(std::string_view text,
                                    std::string const& file_name);

/** Reads inventory and rules; sets text and hash, and leaves the version 0.
 *  @param text a TOML document
 *  @param file_name name used in findings
 *  @throws findings_error with every problem of the document */
configuration parse_configuration(std::string_view text,
                                  std::string const& file_name);

} // namespace daisylead::config
