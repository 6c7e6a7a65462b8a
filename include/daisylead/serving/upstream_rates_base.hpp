/** @file Request rate limits that upstreams set for the whole fleet. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <functional>
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

/** @return the part of an upstream's limit that this instance may use now,
 *          requests per second; 0: none. */
using rate_share_hook = std::function<double(
    upstream_id const&, double per_second, time_point now)>;

/** Known request rate limits of the upstreams, and the pace of this instance at
 *  each of them. */
class upstream_rates
{
public:
    /** @param share empty: this instance uses the limits alone */
    explicit upstream_rates(rate_share_hook share);

    /** Records a statement, unless a newer one is known.
     *  @return whether a limit appeared, ended or changed noticeably */
    bool note(rate_statement statement);

    /** @return whether the statement has another limit than the known one. */
    bool is_change(rate_statement const& statement) const;

    /** Forgets an upstream that was removed or restarted. */
    void erase(upstream_id const& id);

    /** @return max. requests per second from all instances; nothing: no
     *          limit is known. */
    std::optional<double> limit(upstream_id const& id) const;

    /** @return when this instance may send the upstream a request;
     *          time_point::max(): it has no share in the limit. */
    time_point next_send(upstream_id const& id, time_point now) const;

    /** @return whether the limit was stated so long ago that it may have
     *          ended. */
    bool wants_answer(upstream_id const& id, time_point now) const;

    /** Records a request that this instance sends to the upstream. */
    void note_sent(upstream_id const& id, time_point now);

    /** Records the share that the relay of this instance granted it.
     *  @param until when the share lapses unless it is granted again */
    void note_grant(upstream_id const& id, double per_second, time_point until);

    /** @return share granted by a relay, requests per second; 0: none. */
    double granted(upstream_id const& id, time_point now) const;

    /** @return limits in force, and those that ended recently. */
    std::vector<rate_statement> statements(time_point now);

private:
    struct entry
    {
        rate_statement m_statement;
        time_point m_last_sent; ///< by this instance, or the limit's start
        double m_granted = 0;   ///< see note_grant()
        time_point m_granted_until;
    };

    rate_share_hook m_share;
    std::unordered_map<upstream_id, entry> m_entries;
};

} // namespace daisylead::serving
