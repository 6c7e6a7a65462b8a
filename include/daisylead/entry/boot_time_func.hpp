/** @file Clock for decisions and expiry times. */
#pragma once

#include <daisylead/base/unit_type.hpp>

namespace daisylead::entry
{

/** @return the current time of CLOCK_BOOTTIME, which also counts while the
 *  machine is suspended. All decisions and expiry times use this clock. */
time_point boot_time();

} // namespace daisylead::entry
