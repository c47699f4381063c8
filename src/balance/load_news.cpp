// Load news; see load_news.hpp.
#include "balance/load_news.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace jasminetray {

bool is_load_update_due(const load_report& l, const load_report& told,
                        double slots, span_us since,
                        const load_update_policy& p)
{
    if (since >= p.max_update_interval)
        return true;
    // Suspicion decides where all work goes; it never waits.
    if (l.suspect != told.suspect)
        return true;
    if (since < p.min_update_interval)
        return false;
    const bool busy = std::max(l.load, told.load) >= p.busy_threshold;
    // A little less than a slot: loads are shares, and shares are rounded.
    const double one = 0.9 / std::max(1.0, slots);
    const double step = busy ? one : std::max(one, p.coarse_step);
    return std::abs(l.load - told.load) >= step ||
           std::abs(l.doubt - told.doubt) >= p.failure_probability_step;
}

} // namespace jasminetray
