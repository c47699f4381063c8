// Failure probability estimate; see estimate_type.hpp.
#include "outlier/estimate_type.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr double min_probability = 0.005; // keeps the odds finite
constexpr double max_probability = 0.995;
constexpr double fast_failure_weight = 4;

void set_probability(failure_estimate& d, const failure_estimate_policy& p,
                     double probability, mono_us now)
{
    d.probability = std::clamp(probability, min_probability, max_probability);
    d.at = now;
    const bool was_suspect = d.suspect;
    d.suspect = was_suspect ? d.probability > p.clear_threshold
                            : d.probability >= p.suspect_threshold;
    if (d.suspect && !was_suspect)
        d.probe_at = now + p.probe_every;
}

/// Returns the posterior probability for a likelihood ratio.
double posterior(double prior, double ratio)
{
    const double odds = prior / (1 - prior) * ratio;
    return odds / (1 + odds);
}

} // namespace

double estimate_failure_probability(const failure_estimate& d,
                                    const failure_estimate_policy& p,
                                    mono_us now)
{
    const auto elapsed = static_cast<double>(std::max<span_us>(0, now - d.at));
    // The chain relaxes at the sum of its two transition rates.
    const double rate =
        1 / (static_cast<double>(p.unhealthy_span) * (1 - p.unhealthy_share));
    const double kept = std::exp(-elapsed * rate);
    return p.unhealthy_share + (d.probability - p.unhealthy_share) * kept;
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
    set_probability(
        d, p, posterior(estimate_failure_probability(d, p, now), ratio), now);
    if (failed) {
        d.last_failure_fast = took <= p.fast_failure_time;
        d.fast_failure_share +=
            ((d.last_failure_fast ? 1.0 : 0.0) - d.fast_failure_share) /
            fast_failure_weight;
    }
    d.probe_at = failed ? now + p.probe_every : now;
}

void estimate_add_overdue(failure_estimate& d, const failure_estimate_policy& p,
                          double waited_share, mono_us now)
{
    // Share of healthy work still outstanding; of hanging work all is.
    const double remaining = std::max(p.failure_rate_healthy, 1 - waited_share);
    set_probability(d, p,
                    posterior(estimate_failure_probability(d, p, now),
                              p.failure_rate_unhealthy / remaining),
                    now);
}

bool estimate_take_probe(failure_estimate& d, const failure_estimate_policy& p,
                         mono_us now)
{
    if (now < d.probe_at)
        return false;
    d.probe_at =
        now + (d.last_failure_fast ? p.fast_failure_time : p.probe_every);
    return true;
}

} // namespace jasminetray
