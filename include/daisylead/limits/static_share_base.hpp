/** @file Part of each limit that an instance grants without its owner. */
#pragma once

#include <daisylead/config/configuration_type.hpp>
#include <daisylead/limits/token_bucket_base.hpp>

#include <map>
#include <optional>
#include <vector>

namespace daisylead::limits
{

/** Buckets of the static share. They start empty, so a restart does not allow a
 *  second burst, and are created on first use. */
class static_share
{
public:
    /** @param started_at start time of this process */
    explicit static_share(time_point started_at);

    /** Applies a new configuration or a new number of instances.
     *  @param percent static share, 0 to 100
     *  @param instances number of entry instances last known, including this */
    void set_limits(std::vector<config::organisation> const& organisations,
                    int percent, std::size_t instances, time_point now);

    /** Takes tokens if there are enough.
     *  @return sequence number for refund(); none if refused */
    std::optional<bucket_sequence> take(organisation_id const& organisation,
                                        token_count amount, time_point now);

    /** @param unused tokens that were not used; negative for use beyond the
     * amount */
    void refund(organisation_id const& organisation, token_count unused,
                bucket_sequence sequence, time_point now);

    /** @return time until that many tokens can be taken; none if the amount
     *  exceeds the burst of the share or the organisation is unknown */
    std::optional<duration> time_until(organisation_id const& organisation,
                                       token_count amount, time_point now);

private:
    /** @return bucket of the organisation, created if needed and advanced to
     * now; nullptr if the organisation is unknown */
    token_bucket* refresh_bucket(organisation_id const& organisation,
                                 time_point now);

    time_point m_started_at;
    std::map<organisation_id, bucket_limit> m_limits;
    std::map<organisation_id, token_bucket> m_buckets;
};

} // namespace daisylead::limits
