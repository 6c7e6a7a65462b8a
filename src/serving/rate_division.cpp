/** @file Division of an upstream's request rate among the instances. */
#include <daisylead/serving/rate_division_func.hpp>

#include <xxhash.h>

#include <algorithm>

namespace daisylead::serving
{

namespace
{

/** Requests per second that an upstream gets in any case: without an answer,
 *  the end of its limit would remain unknown. */
constexpr double min_rate = 0.2;

/** Senders for each request per second: enough for the load of one instance to
 *  use its share, and few enough for the burst of all of them to stay small. */
constexpr double senders_per_request = 1.5;

/** Weight of an instance in rendezvous hashing for an upstream. */
std::uint64_t sender_weight(instance_id const& id, std::uint64_t seed)
{
    return XXH64(id.value().data(), id.value().size(), seed);
}

} // namespace

rate_division divide_rate(upstream_id const& upstream, double per_second,
                          rate_group const& group)
{
    std::uint64_t const seed =
        XXH64(upstream.value().data(), upstream.value().size(), 0);
    auto const has_more_weight =
        [seed](instance_id const& a, instance_id const& b)
    {
        return sender_weight(a, seed) > sender_weight(b, seed);
    };
    double const rate = std::max(per_second, min_rate);
    auto const max_senders =
        static_cast<std::size_t>(1 + senders_per_request * rate);
    std::size_t const relays = group.m_relays.size() + 1;
    auto const rank = static_cast<std::size_t>(
        std::count_if(group.m_relays.begin(), group.m_relays.end(),
                      [&](instance_id const& id)
                      { return has_more_weight(id, group.m_self); }));
    rate_division result;
    if (rank >= max_senders)
    {
        return result;
    }
    double const group_rate =
        rate / static_cast<double>(std::min(max_senders, relays));
    std::vector<instance_id> senders = group.m_children;
    senders.push_back(group.m_self);
    std::sort(senders.begin(), senders.end(), has_more_weight);
    senders.resize(std::min(senders.size(),
                            std::max<std::size_t>(1, max_senders / relays)));
    double const share = group_rate / static_cast<double>(senders.size());
    for (instance_id const& id : senders)
    {
        if (id == group.m_self)
        {
            result.m_own = share;
        }
        else
        {
            result.m_children.emplace(id, share);
        }
    }
    return result;
}

} // namespace daisylead::serving
