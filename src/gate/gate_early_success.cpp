// Early success detection.
#include "gate/gate_early_success.hpp"

#include "gate/gate_queue.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

bool is_long(const gate_limits& l, span_us took)
{
    return took >=
           l.early_success.min_duration_factor * l.estimate.fast_failure_time;
}

/// Minimum share of quick failures among a backend server's failures. Below it,
/// failures come late and an early success proves nothing.
constexpr double min_quick_share = 0.3;

/// Returns whether the backend server fails quickly when it fails.
bool fails_early(const failure_estimate& d)
{
    return d.fast_failure_share >= min_quick_share &&
           (!d.suspect || d.last_failure_fast);
}

} // namespace

void early_success_begin(gate_worker& w, const gate_limits& l,
                         const recent_work& x)
{
    const bool counts = l.early_success.enabled && l.estimate.on &&
                        l.estimate.fast_failure_time > 0;
    if (counts && static_cast<double>(w.recent.size()) < w.slots)
        w.recent.push_back(x);
}

void early_success_end(gate_worker& w, const attempt_id& a)
{
    w.recent.erase(
        std::remove_if(w.recent.begin(), w.recent.end(),
                       [&](const auto& x) { return x.attempt == a; }),
        w.recent.end());
}

void early_success_check(gate_worker& w, const gate_limits& l, mono_us now)
{
    const auto is_past = [&](const recent_work& x) {
        return now - x.started_at > l.estimate.fast_failure_time;
    };
    for (const auto& x : w.recent) {
        if (!is_past(x))
            continue;
        if (is_long(l, mean_duration_of(w, x.route_class)) &&
            fails_early(w.estimate))
            estimate_add_outcome(w.estimate, l.estimate, false,
                                 l.estimate.fast_failure_time, now);
    }
    w.recent.erase(std::remove_if(w.recent.begin(), w.recent.end(), is_past),
                   w.recent.end());
}

bool is_counted_early(const gate_worker& w, const gate_limits& l, span_us took)
{
    return l.early_success.enabled && is_long(l, took) &&
           fails_early(w.estimate);
}

} // namespace jasminetray
