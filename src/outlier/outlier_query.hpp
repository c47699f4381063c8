// Queries on the health state of a backend server.
#pragma once

#include "outlier/outlier_type.hpp"

namespace jasminetray {

/// Returns the highest score of all alternatives, outstanding work included.
double health_score(const worker_health& h, const outlier_policy& p,
                    mono_us now);

/// Returns the ejection threshold, lowered after repeated ejections.
double health_threshold(const worker_health& h, const outlier_policy& p);

/// Returns how long to wait after the evidence reached the threshold, based
/// on failure bursts that recovered; 0 without such bursts.
span_us health_burst_wait(const worker_health& h, const outlier_policy& p,
                          mono_us now);

/// Returns the alternative with the highest score.
const bank_score& strongest(const evidence& e);

/// Returns the strongest suspicion: against the whole backend server, or
/// against its work for one data centre while the others are served well.
suspicion health_suspicion(const worker_health& h, const outlier_policy& p,
                           mono_us now);

/// Returns the evidence for a scope.
const evidence& stream_of(const worker_health& h, std::uint32_t scope);

/// Returns whether failures went on after the burst wait. Evidence from before
/// does not count, because a burst that has ended leaves it behind.
bool health_confirmed(const worker_health& h, const outlier_policy& p,
                      mono_us now);

/// Returns a report for peers on the outcomes since a moment.
/// @param source index of a data centre, or all_sources
peer_report health_report(const worker_health& h, const outlier_policy& p,
                          mono_us since, std::uint32_t source);

/// Returns the severity for the membership record: 0 for the baseline, 100 at
/// the threshold, 250 at most.
int health_severity(const worker_health& h, const outlier_policy& p,
                    mono_us now);

} // namespace jasminetray
