/** @file Sizes of quorums. */
#pragma once

#include <cstddef>

namespace daisylead::membership
{

/** Churn that instance lists of two instances may differ by: one in 16. */
constexpr std::size_t churn_divisor = 16;

/** @param known number of last known entry instances, itself included
 *  @return size of a quorum. The excess over a majority makes quorums meet
 *  although they are taken from lists that differ by the normal churn. */
constexpr std::size_t quorum_size(std::size_t known)
{
    return known / 2 + 1 + known / churn_divisor;
}

/** An instance that restarted has forgotten what it confirmed, so it must not
 *  count itself and needs others that meet every quorum it may have been in.
 *  @param known number of last known entry instances, itself included
 *  @return number of other instances that it has to ask. */
constexpr std::size_t restart_quorum_size(std::size_t known)
{
    std::size_t const quorum = quorum_size(known);
    std::size_t const minimum = known > quorum ? known - quorum + 1 : 1;
    return minimum + known / churn_divisor;
}

} // namespace daisylead::membership
