/** @file Durations as numbers for logs. */
#pragma once

#include <daisylead/base/unit_type.hpp>

namespace daisylead
{

/** @return the duration in milliseconds. */
constexpr double milliseconds_of(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace daisylead
