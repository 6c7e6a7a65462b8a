/** @file Parser and serialiser of lease rows. */
#pragma once

#include <daisylead/lease/lease_voter_base.hpp>
#include <daisylead/table/table_type.hpp>

#include <string>

namespace daisylead::lease
{

/** @return lease in the row; a row that cannot be parsed counts as held by an
 *  unknown instance, so it can be acquired only after it expired. */
observed_lease parse_row(table::table_row const& row);

/** @return value of the row as JSON. */
std::string serialise_row(lease_claim const& claim, std::int64_t sequence);

} // namespace daisylead::lease
