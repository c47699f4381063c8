// Order between teams; see fair_queue.hpp.
#include "gate/fair_queue.hpp"

#include <algorithm>

namespace jasminetray {

span_us fair_queue_delay(const fair_queue_policy& p, double pressure)
{
    if (!p.on || !(pressure > p.usual_pressure))
        return 0;
    const double delay = (pressure - p.usual_pressure) *
                         static_cast<double>(p.delay_per_pressure);
    return static_cast<span_us>(
        std::min(delay, static_cast<double>(p.max_delay)));
}

} // namespace jasminetray
