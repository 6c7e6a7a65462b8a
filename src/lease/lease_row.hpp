/** @file Content of the rows that hold leases. */
#pragma once

#include <daisylead/lease/lease_voter_base.hpp>
#include <daisylead/table/table_type.hpp>

#include <string>

namespace daisylead::lease
{

/** @return content of the row; a row that cannot be parsed counts as held by
 *  nobody known, so it can be taken over only after it lapsed. */
observed_lease parse_row(table::table_row const& row);

/** @return value to write. */
std::string serialise_row(lease_claim const& claim, std::int64_t sequence);

} // namespace daisylead::lease
