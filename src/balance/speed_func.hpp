// Estimates of speeds and knees; see speed_type.hpp.
#pragma once

#include "balance/speed_type.hpp"

namespace jasminetray {

/// Records a change of the concurrency at a backend server.
void speed_set_level(speed_estimate& s, int level, mono_us now);

/// Records the time of successful work that ends now.
/// @param slots of the backend server
void speed_add_time(speed_estimate& s, const speed_policy& p,
                    std::uint32_t kind, span_us took, double slots,
                    mono_us now);

/// Returns the median of the values that are not older than `ttl`.
log_summary summarize_logs(const recent_logs& r, span_us ttl, mono_us now);

/// Returns the speed of a backend server.
/// @param self its id; the mean is of the others and of itself
measured_speed measure_speed(const speed_estimate& s, const service_times& t,
                             const speed_policy& p, worker_id self,
                             mono_us now);

/// Returns whether a backend server is slow beyond doubt.
/// @param was_slow keeps the class until the factor is clearly lower
bool is_slow(const measured_speed& m, const speed_policy& p, bool was_slow);

/// Looks for a knee: the lowest concurrency that sustains almost the highest
/// rate of work, if work at a higher one takes longer beyond doubt.
knee_evidence find_knee(const speed_estimate& s, const speed_policy& p,
                        double slots, mono_us now);

/// Returns what the next load report tells of a backend server, another kind
/// each time.
told_speed make_told_speed(speed_estimate& s, const measured_speed& m,
                           const speed_policy& p, mono_us now);

/// Checks what a load report tells.
speed_news check_told_speed(const told_speed& t, const speed_policy& p);

/// Records the time of a kind as told by a backend server; ignores it unless
/// it is a positive number in bounds.
void note_peer_time(service_times& t, worker_id from, const told_speed& told,
                    const speed_policy& p, mono_us now);

} // namespace jasminetray
