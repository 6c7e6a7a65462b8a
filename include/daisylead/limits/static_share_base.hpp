/** @file Part of each limit that an instance hands out by itself. */
#pragma once

#include <daisylead/config/configuration_type.hpp>
#include <daisylead/limits/token_bucket_base.hpp>

#include <map>
#include <optional>
#include <vector>

namespace daisylead::limits
{

/** Buckets of the static share. They start empty, so a restart gives no second
 *  burst, and cost nothing while they are not used. */
class static_share
{
public:
    /** @param started_at when this process started */
    explicit static_share(time_point started_at);

    /** A configuration came into force or the number of instances changed.
     *  @param instances last known entry instances, the own one included */
    void set_limits(std::vector<config::organisation> const& organisations,
                    int percent, std::size_t instances, time_point now);

    /** Takes tokens if there are enough.
     *  @return sequence for refund(); none if refused */
    std::optional<bucket_sequence> take(organisation_id const& organisation,
                                        token_count amount, time_point now);

    /** @param unused tokens that were not used; negative for extra use */
    void refund(organisation_id const& organisation, token_count unused,
                bucket_sequence sequence, time_point now);

    /** @return time until that many tokens can be taken; none if the share
     *  never holds that many or the organisation is unknown. */
    std::optional<duration> time_until(organisation_id const& organisation,
                                       token_count amount, time_point now);

private:
    token_bucket* refresh_bucket(organisation_id const& organisation,
                                 time_point now);

    time_point m_started_at;
    std::map<organisation_id, bucket_limit> m_limits;
    std::map<organisation_id, token_bucket> m_buckets;
};

} // namespace daisylead::limits
