// The one place that reads the monotonic clock. The wall clock is never used
// for a decision: it may jump while a VM is paused or corrected.
#include "base/time_type.hpp"

#include <chrono>

namespace jasminetray {

mono_us mono_now()
{
    const auto t = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(t).count();
}

} // namespace jasminetray
