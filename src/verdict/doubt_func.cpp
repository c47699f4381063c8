// Doubt; see doubt_type.hpp.
#include "verdict/doubt_type.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr double min_sick = 0.005; // never certain: it must be able to turn
constexpr double max_sick = 0.995;
constexpr double quick_weight = 4; // failures in the moving mean

void set_sick(worker_doubt& d, const doubt_policy& p, double sick, mono_us now)
{
    d.sick = std::clamp(sick, min_sick, max_sick);
    d.at = now;
    const bool was = d.suspect;
    d.suspect = was ? d.sick > p.trust_at : d.sick >= p.suspect_at;
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

double doubt_now(const worker_doubt& d, const doubt_policy& p, mono_us now)
{
    const auto passed = static_cast<double>(std::max<span_us>(0, now - d.at));
    // Both rates of the two-state chain add up in how fast it forgets.
    const double rate =
        1 / (static_cast<double>(p.sick_span) * (1 - p.sick_share));
    const double kept = std::exp(-passed * rate);
    return p.sick_share + (d.sick - p.sick_share) * kept;
}

bool doubt_holds(const worker_doubt& d, const doubt_policy& p, mono_us now)
{
    return d.suspect && doubt_now(d, p, now) > p.trust_at;
}

void doubt_seen(worker_doubt& d, const doubt_policy& p, bool failed,
                span_us took, mono_us now)
{
    const double ratio = failed
                             ? p.fail_when_sick / p.fail_when_well
                             : (1 - p.fail_when_sick) / (1 - p.fail_when_well);
    set_sick(d, p, updated(doubt_now(d, p, now), ratio), now);
    if (failed) {
        d.quick = took <= p.quick_failure;
        d.quick_share += ((d.quick ? 1.0 : 0.0) - d.quick_share) / quick_weight;
    }
    d.probe_at = failed ? now + p.probe_every : now;
}

void doubt_silent(worker_doubt& d, const doubt_policy& p, double waited_share,
                  mono_us now)
{
    // When well, so few are still out; when sick by hanging, all are.
    const double left = std::max(p.fail_when_well, 1 - waited_share);
    set_sick(d, p, updated(doubt_now(d, p, now), p.fail_when_sick / left), now);
}

bool doubt_take_probe(worker_doubt& d, const doubt_policy& p, mono_us now)
{
    if (now < d.probe_at)
        return false;
    d.probe_at = now + (d.quick ? p.quick_failure : p.probe_every);
    return true;
}

} // namespace jasminetray
