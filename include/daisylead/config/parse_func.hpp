/** @file Reading of settings and configuration documents. */
#pragma once

#include <daisylead/base/error_type.hpp>
#include <daisylead/config/configuration_type.hpp>
#include <daisylead/config/entry_settings_type.hpp>
#include <daisylead/config/settings_type.hpp>

#include <string>
#include <string_view>
#include <vector>

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

/** Reads settings of an entry instance that a platform filled in from a
 *  template. Numbers in another form are rounded or moved into their range, and
 *  unknown keys are ignored, so that a field of the platform that changes never
 *  ends a process that could serve.
 *  @param warnings one line for each value that was changed or dropped
 *  @throws findings_error if a name or an address is missing or wrong */
entry_settings
parse_rendered_entry_settings(std::string_view text,
                              std::string const& file_name,
                              std::vector<std::string>& warnings);

/** Reads inventory and rules; sets text and hash, and leaves the version 0.
 *  @param text a TOML document
 *  @param file_name name used in findings
 *  @throws findings_error with every problem of the document */
configuration parse_configuration(std::string_view text,
                                  std::string const& file_name);

} // namespace daisylead::config
