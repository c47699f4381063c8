// Clock access. Durations are never measured with the wall clock, because it
// may step while a VM is paused.
#include "base/time_type.hpp"

#include <chrono>
#include <ctime>

namespace jasminetray {

mono_us mono_now()
{
    const auto t = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(t).count();
}

mono_us uptime_now()
{
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    constexpr std::int64_t ns_per_us = 1000;
    return static_cast<std::int64_t>(t.tv_sec) * us_per_s +
           t.tv_nsec / ns_per_us;
}

std::uint64_t wall_ms_now()
{
    const auto t = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(t).count());
}

} // namespace jasminetray
