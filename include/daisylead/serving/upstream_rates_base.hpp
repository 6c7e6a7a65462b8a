/** @file Request rate limits that upstreams set for the whole fleet. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace daisylead::serving
{

/** The request rate limit of an upstream, as of one of its answers. */
struct rate_statement
{
    upstream_id m_upstream; ///< upstream id
    /** Max. requests per second from all instances; nothing: no limit. */
    std::optional<double> m_per_second;
    time_point m_stated_at; ///< when the upstream stated it
};

/** Known request rate limits of the upstreams. */
class upstream_rates
{
public:
    /** Records a statement, unless a newer one is known.
     *  @return whether a limit appeared, ended or changed noticeably */
    bool note(rate_statement const& statement);

    /** Forgets an upstream that was removed or restarted. */
    void erase(upstream_id const& id);

    /** @return max. requests per second from all instances; nothing: no
     *          limit is known. */
    std::optional<double> limit(upstream_id const& id) const;

    /** @return limits in force, and those that ended recently. */
    std::vector<rate_statement> statements(time_point now);

private:
    std::unordered_map<upstream_id, rate_statement> m_statements;
};

} // namespace daisylead::serving
