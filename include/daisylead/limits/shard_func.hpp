/** @file Mapping of organisations to shards; division of a limit between its
 *  owner and the static shares. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/config/configuration_type.hpp>
#include <daisylead/limits/token_bucket_base.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace daisylead::limits
{

/** @param shards number of shards, at least 1
 *  @return shard of the organisation, below shards */
std::int64_t shard_of(organisation_id const& organisation, std::int64_t shards);

/** @return name of the table row of the shard's lease */
std::string shard_row(std::int64_t shard);

/** @param percent static share, 0 to 100
 *  @return part of the organisation's limit that its owner grants */
bucket_limit owner_limit(config::organisation const& organisation, int percent);

/** @param percent static share, 0 to 100
 *  @param instances number of entry instances last known
 *  @return part of the limit that each instance grants without its owner. The
 *  divisor allows for churn, by which the instance lists may differ. */
bucket_limit static_limit(config::organisation const& organisation, int percent,
                          std::size_t instances);

} // namespace daisylead::limits
