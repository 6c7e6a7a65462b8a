/** @file Division of an upstream's request rate among the instances. */
#include <daisylead/serving/rate_division_func.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace daisylead::serving
{

namespace
{

/** Requests per second that an upstream gets in any case: without an answer,
 *  the end of its limit would remain unknown. */
constexpr double min_rate = 0.2;

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
    double const rate = std::max(per_second, min_rate);
    double const max_senders = 1 + std::floor(rate);
    auto const relays = static_cast<double>(group.m_relays.size() + 1);
    rate_division result;
    if (max_senders <= relays)
    {
        std::uint64_t const own = sender_weight(group.m_self, seed);
        auto const before =
            std::count_if(group.m_relays.begin(), group.m_relays.end(),
                          [&](instance_id const& id)
                          { return sender_weight(id, seed) > own; });
        result.m_own =
            static_cast<double>(before) < max_senders ? rate / max_senders : 0;
        return result;
    }
    auto const max_children =
        std::min(std::floor(max_senders / relays) - 1,
                 static_cast<double>(group.m_children.size()));
    double const share = rate / relays / (1 + max_children);
    result.m_own = share;
    std::vector<instance_id> children = group.m_children;
    std::sort(children.begin(), children.end(),
              [seed](instance_id const& a, instance_id const& b)
              { return sender_weight(a, seed) > sender_weight(b, seed); });
    children.resize(static_cast<std::size_t>(max_children));
    for (instance_id const& id : children)
    {
        result.m_children.emplace(id, share);
    }
    return result;
}

} // namespace daisylead::serving
