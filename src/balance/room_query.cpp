// Free slots elsewhere; see room_query.hpp.
#include "balance/room_query.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

bool takes_any_work(const candidate& c, const balance_policy& p, mono_us now)
{
    const bool usable = c.weight > 0 && !c.probe_only && !c.path_bad;
    return usable && now >= c.cold_until &&
           !(p.estimate.on &&
             estimate_withholds_work(c.estimate, p.estimate, now));
}

} // namespace

double free_slots_elsewhere(const std::vector<candidate>& all,
                            const balance_policy& p, worker_id self,
                            mono_us now)
{
    double sum = 0;
    for (const auto& c : all) {
        const bool known = c.load_at != 0 && now - c.load_at <= p.load_decay;
        if (c.id == self || !known || !takes_any_work(c, p, now))
            continue;
        sum +=
            std::max(0.0, std::floor(slots_up_to_knee(c) - c.load * c.slots));
    }
    return sum;
}

bool has_untried_candidate(const std::vector<candidate>& all,
                           const std::vector<worker_id>& tried)
{
    return std::any_of(all.begin(), all.end(), [&](const candidate& c) {
        return c.weight > 0 && !c.probe_only && !c.path_bad &&
               !was_tried(tried, c.id);
    });
}

} // namespace jasminetray
