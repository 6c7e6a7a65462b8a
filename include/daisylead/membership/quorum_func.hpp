/** @file Sizes of quorums. */
#pragma once

#include <cstddef>

namespace daisylead::membership
{

/** The instance lists of two instances may differ by one instance in this
 *  number without loss of the quorum intersection. */
constexpr std::size_t churn_divisor = 16;

/** @param known number of last known entry instances, including this one
 *  @return size of a quorum. The excess over a majority makes any two quorums
 *  intersect even if their lists differ by the churn of churn_divisor. */
constexpr std::size_t quorum_size(std::size_t known)
{
    return known / 2 + 1 + known / churn_divisor;
}

/** An instance that restarted has lost what it confirmed. It must not count
 *  itself, and the others that it asks must intersect every quorum that it may
 *  have been part of.
 *  @param known number of last known entry instances, including this one
 *  @return number of other instances that it has to ask. */
constexpr std::size_t restart_quorum_size(std::size_t known)
{
    std::size_t const quorum = quorum_size(known);
    std::size_t const minimum = known > quorum ? known - quorum + 1 : 1;
    return minimum + known / churn_divisor;
}

} // namespace daisylead::membership
