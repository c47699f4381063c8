// Commands that move evidence and verdicts of a backend server.
#pragma once

#include "verdict/verdict_type.hpp"

namespace jasminetray {

/// Threshold that gives an accepted rate of false ejections.
/// @param per_day false ejections accepted per worker and day
/// @param rate requests a second at the worker
double evidence_threshold(double per_day, double rate);

/// Class of a route's work. Each route has its own: where a lookup of a
/// millisecond and a read of two seconds share what is usual, each read is
/// missing when it has just begun and none is ever slow.
/// @param route hash of its name
std::uint32_t health_route_class(worker_health& h, std::uint32_t route,
                                 mono_us now);

/// Work was sent.
void health_record_sent(worker_health& h, const outstanding& o);

/// Work ended.
/// @param key as in health_record_sent
/// @param o what it showed
void health_record_outcome(worker_health& h, const outlier_policy& p,
                           std::uint64_t key, const observation& o,
                           mono_us now);

/// Marks outstanding work that lasts longer than nearly all of its class does;
/// where that is not known yet, longer than its target; and at least `least`.
/// @return how many were marked just now
std::size_t health_mark_overdue(worker_health& h, span_us least, mono_us now);

/// Looks at the evidence and says what to do next. `eject` and `restore`
/// are not carried out: the floor is asked first.
outlier_action health_check(worker_health& h, const outlier_policy& p,
                            mono_us now);

/// Weighs the evidence again with what the peers saw in the same time.
/// @param reports of peers; the own one left out
/// @return eject, hold, or none while a burst may still end by itself
outlier_action health_compare_peers(worker_health& h, const outlier_policy& p,
                                    const std::vector<peer_report>& reports,
                                    mono_us now);

/// Carries an ejection out, against the strongest suspicion.
void health_eject(worker_health& h, const outlier_policy& p, mono_us now);

/// Carries a return out; evidence starts anew.
void health_restore(worker_health& h, const outlier_policy& p, mono_us now);

} // namespace jasminetray
