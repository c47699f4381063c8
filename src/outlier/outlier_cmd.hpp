// Commands that change the health state of a backend server.
#pragma once

#include "outlier/outlier_type.hpp"

namespace jasminetray {

/// Returns the evidence threshold for an accepted rate of false ejections.
/// @param per_day false ejections accepted per backend server and day
/// @param rate requests per second at the backend server
double evidence_threshold(double per_day, double rate);

/// Returns the class of a route and assigns one if needed. Routes never share
/// a class, because a mixed duration baseline would make slow work overdue.
/// @param route hash of its name
std::uint32_t health_route_class(worker_health& h, std::uint32_t route,
                                 mono_us now);

/// Records that work was sent.
void health_record_sent(worker_health& h, const outstanding& o);

/// Records that work ended.
/// @param key as in health_record_sent
void health_record_outcome(worker_health& h, const outlier_policy& p,
                           std::uint64_t key, const observation& o,
                           mono_us now);

/// Marks outstanding work as overdue: by the duration baseline, or by its
/// target while there is no baseline.
/// @param min_age younger work is never overdue
/// @return number of newly marked entries
std::size_t health_mark_overdue(worker_health& h, span_us min_age, mono_us now);

/// Evaluates the evidence and returns the next action. Does not carry out
/// `eject` and `restore`.
outlier_action health_check(worker_health& h, const outlier_policy& p,
                            mono_us now);

/// Evaluates the evidence against the peers' reports on the same time.
/// @param reports of peers, without the own one
/// @return eject, hold, or none while a burst may still recover
outlier_action health_compare_peers(worker_health& h, const outlier_policy& p,
                                    const std::vector<peer_report>& reports,
                                    mono_us now);

/// Ejects the backend server for the scope of the strongest suspicion.
void health_eject(worker_health& h, const outlier_policy& p, mono_us now);

/// Ends an ejection and clears the evidence.
void health_restore(worker_health& h, const outlier_policy& p, mono_us now);

} // namespace jasminetray
