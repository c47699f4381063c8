// Load updates; see load_update.hpp.
#include "balance/load_update.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace jasminetray {

bool is_load_update_due(const load_report& l, const load_report& last_sent,
                        double slots, span_us since,
                        const load_update_policy& p)
{
    if (since >= p.max_update_interval)
        return true;
    // A change of suspicion redirects all work, so it is sent at once.
    if (l.suspect != last_sent.suspect)
        return true;
    if (since < p.min_update_interval)
        return false;
    const bool busy = std::max(l.load, last_sent.load) >= p.busy_threshold;
    // Slightly below one slot, to tolerate rounding of the load.
    const double slot_step = 0.9 / std::max(1.0, slots);
    const double step = busy ? slot_step : std::max(slot_step, p.coarse_step);
    return std::abs(l.load - last_sent.load) >= step ||
           std::abs(l.failure_probability - last_sent.failure_probability) >=
               p.failure_probability_step;
}

} // namespace jasminetray
