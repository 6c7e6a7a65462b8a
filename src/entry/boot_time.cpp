/** @file Clock for decisions and expiry times. */
#include <daisylead/entry/boot_time_func.hpp>

#include <ctime>

namespace daisylead::entry
{

time_point boot_time()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace daisylead::entry
