/** @file Choice among a sample of upstreams by late news of their load. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace daisylead::serving
{

/** An upstream in the sample. */
struct sampled_upstream
{
    duration m_cost{}; ///< of this upstream apart from its load
    double m_use = 0;  ///< used fraction of its slots or memory; may exceed 1
};

/** Takes the cheapest upstream whose use is usual. One that is used more is
 *  passed over with a probability that grows with its use: if all instances
 *  left it at once, all would go to the same other one until the next news.
 *
 *  Designed for bursts in a fleet that learns late what each instance sends.
 *  @param sample not empty
 *  @param usual_use mean of the upstreams that can take the request
 *  @param random uniform 64-bit numbers
 *  @return index in the sample */
std::size_t choose_from_sample(std::vector<sampled_upstream> const& sample,
                               double usual_use,
                               std::function<std::uint64_t()> const& random);

} // namespace daisylead::serving
