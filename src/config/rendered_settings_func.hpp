/** @file Repair of settings that a template filled in. */
#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

namespace daisylead::config
{

/** Brings a document with settings of an entry instance into the form that the
 *  strict reader takes: fractions are rounded to the side that keeps bounds,
 *  numbers outside their range are moved to its end, what is no number is left
 *  to its default, and what is not known is dropped.
 *  @param warnings one line for each value that was changed or dropped */
void repair_rendered_document(toml::table& document,
                              std::vector<std::string>& warnings);

} // namespace daisylead::config
