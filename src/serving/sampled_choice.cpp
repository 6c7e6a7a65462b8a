/** @file Choice among a sample of upstreams by late news of their load. */
#include "random_fraction.hpp"

#include <daisylead/serving/sampled_choice_func.hpp>

#include <algorithm>
#include <numeric>

namespace daisylead::serving
{

namespace
{

/** Use up to which requests hardly slow each other down. */
constexpr double light_use = 0.6;

/** An upstream at this multiple of the usual use gets no further requests. */
constexpr double max_use_ratio = 2;

} // namespace

std::size_t choose_from_sample(std::vector<sampled_upstream> const& sample,
                               double usual_use,
                               std::function<std::uint64_t()> const& random)
{
    std::vector<std::size_t> order(sample.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&sample](std::size_t a, std::size_t b)
                     { return sample[a].m_cost < sample[b].m_cost; });
    double const low = std::max(light_use, usual_use);
    double const high = low * max_use_ratio;
    for (std::size_t const index : order)
    {
        double const accepted = (high - sample[index].m_use) / (high - low);
        if (accepted >= 1 || fraction_of(random()) < accepted)
        {
            return index;
        }
    }
    auto const least = std::min_element(
        sample.begin(), sample.end(),
        [](sampled_upstream const& a, sampled_upstream const& b)
        { return a.m_use < b.m_use; });
    return static_cast<std::size_t>(std::distance(sample.begin(), least));
}

} // namespace daisylead::serving
