/** @file Random fractions from random numbers. */
#pragma once

#include <cstdint>

namespace daisylead::serving
{

/** @param random uniform 64-bit number
 *  @return uniform number from 0 to below 1 */
inline double fraction_of(std::uint64_t random)
{
    constexpr int mantissa_bits = 53;
    return static_cast<double>(random >> (64 - mantissa_bits)) /
           static_cast<double>(std::uint64_t{1} << mantissa_bits);
}

} // namespace daisylead::serving
