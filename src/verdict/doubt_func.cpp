// Doubt; see doubt_type.hpp.
#include "verdict/doubt_type.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr double min_sick = 0.005; // never certain: it must be able to turn
constexpr double max_sick = 0.995;
constexpr double quick_weight = 4; // failures in the moving mean

void set_sick(failure_estimate& d, const failure_estimate_policy& p,
              double sick, mono_us now)
{
    d.sick = std::clamp(sick, min_sick, max_sick);
    d.at = now;
    const bool was = d.suspect;
    d.suspect =
        was ? d.sick > p.clear_threshold : d.sick >= p.suspect_threshold;
    if (d.suspect && !was)
        d.probe_at = now + p.probe_every;
}

/// Probability after an observation that is `ratio` times as likely when
/// sick.
double updated(double sick, double ratio)
{
    const double odds = sick / (1 - sick) * ratio;
    return odds / (1 + odds);
}

} // namespace

double estimate_failure_probability(const failure_estimate& d,
                                    const failure_estimate_policy& p,
                                    mono_us now)
{
    const auto passed = static_cast<double>(std::max<span_us>(0, now - d.at));
    // Both rates of the two-state chain add up in how fast it forgets.
    const double rate =
        1 / (static_cast<double>(p.unhealthy_span) * (1 - p.unhealthy_share));
    const double kept = std::exp(-passed * rate);
    return p.unhealthy_share + (d.sick - p.unhealthy_share) * kept;
}

bool estimate_withholds_work(const failure_estimate& d,
                             const failure_estimate_policy& p, mono_us now)
{
    return d.suspect &&
           estimate_failure_probability(d, p, now) > p.clear_threshold;
}

void estimate_add_outcome(failure_estimate& d, const failure_estimate_policy& p,
                          bool failed, span_us took, mono_us now)
{
    const double ratio =
        failed ? p.failure_rate_unhealthy / p.failure_rate_healthy
               : (1 - p.failure_rate_unhealthy) / (1 - p.failure_rate_healthy);
    set_sick(d, p, updated(estimate_failure_probability(d, p, now), ratio),
             now);
    if (failed) {
        d.quick = took <= p.fast_failure_time;
        d.fast_failure_share +=
            ((d.quick ? 1.0 : 0.0) - d.fast_failure_share) / quick_weight;
    }
    d.probe_at = failed ? now + p.probe_every : now;
}

void estimate_add_overdue(failure_estimate& d, const failure_estimate_policy& p,
                          double waited_share, mono_us now)
{
    // When well, so few are still out; when sick by hanging, all are.
    const double left = std::max(p.failure_rate_healthy, 1 - waited_share);
    set_sick(d, p,
             updated(estimate_failure_probability(d, p, now),
                     p.failure_rate_unhealthy / left),
             now);
}

bool estimate_take_probe(failure_estimate& d, const failure_estimate_policy& p,
                         mono_us now)
{
    if (now < d.probe_at)
        return false;
    d.probe_at = now + (d.quick ? p.fast_failure_time : p.probe_every);
    return true;
}

} // namespace jasminetray
