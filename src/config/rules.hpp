/** @file Reading of fleet rules and priorities. */
#pragma once

#include "references.hpp"

#include <daisylead/config/configuration_type.hpp>

namespace daisylead::config
{

/** Reads [rules]. */
rules read_rules(table_reader& reader);

/** Reads one [[priority]] table.
 *  @param references receives what the rule refers to */
priority_rule read_priority(table_reader& reader, reference_table& references);

/** @return whether @p earlier matches everything that @p later matches, so
 *  that @p later never takes effect. */
bool covers(priority_rule const& earlier, priority_rule const& later);

} // namespace daisylead::config
