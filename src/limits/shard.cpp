/** @file Mapping of organisations to shards; division of a limit between its
 *  owner and the static shares. */
#include <daisylead/limits/shard_func.hpp>

#include <daisylead/membership/quorum_func.hpp>

#include <xxhash.h>

#include <algorithm>

namespace daisylead::limits
{

namespace
{

bucket_limit scaled_limit(config::organisation const& organisation,
                          double fraction)
{
    return {static_cast<double>(organisation.m_rate.value()) * fraction,
            static_cast<double>(organisation.m_burst.value()) * fraction};
}

double static_fraction(int percent)
{
    return std::clamp(percent, 0, 100) / 100.0;
}

} // namespace

std::int64_t shard_of(organisation_id const& organisation, std::int64_t shards)
{
    std::string const& name = organisation.value();
    std::uint64_t const hash = XXH3_64bits(name.data(), name.size());
    return static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(shards));
}

std::string shard_row(std::int64_t shard)
{
    return "limit/" + std::to_string(shard);
}

bucket_limit owner_limit(config::organisation const& organisation, int percent)
{
    return scaled_limit(organisation, 1 - static_fraction(percent));
}

bucket_limit static_limit(config::organisation const& organisation, int percent,
                          std::size_t instances)
{
    std::size_t const divisor =
        instances + (instances / membership::churn_divisor) + 1;
    return scaled_limit(organisation, static_fraction(percent) /
                                          static_cast<double>(divisor));
}

} // namespace daisylead::limits
