/** @file Revisions that order states of the store across its restores. */
#pragma once

#include <cstdint>

namespace daisylead::serving
{

/** Bits of a revision that hold the row version. */
constexpr unsigned row_version_bits = 40;

/** A store that is restored from an older copy gives its row versions out
 *  again. A revision orders by the era of the store first, which grows with
 *  each restore, then by row version.
 *  @param row_version less than 2^40 */
constexpr std::uint64_t make_store_revision(std::uint64_t era,
                                            std::uint64_t row_version)
{
    return (era << row_version_bits) | row_version;
}

/** @return the era of the store in a revision. */
constexpr std::uint64_t era_of(std::uint64_t revision)
{
    return revision >> row_version_bits;
}

/** @return the row version in a revision. */
constexpr std::uint64_t row_version_of(std::uint64_t revision)
{
    return revision & ((std::uint64_t{1} << row_version_bits) - 1);
}

} // namespace daisylead::serving
