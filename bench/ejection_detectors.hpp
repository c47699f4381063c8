// Outlier detectors that the bench compares: the project's own, and baselines
// implemented after their published descriptions.
#pragma once

#include "bench/ejection_simulation.hpp"

namespace jasminetray {

/// Returns the project's outlier detection.
/// @param factor multiplies the accepted false ejections of the service
detector_factory make_core(double factor);

/// Feature of the outlier detection that can be disabled for comparison.
enum class core_feature
{
    none,
    peer_comparison,
    outstanding_requests, ///< overdue requests count as evidence
    burst_tolerance,      ///< learned from past failure bursts
    per_source_ejection,  ///< ejection by data centre of the caller
};
detector_factory make_core_without(core_feature without, double factor);

/// Ejects after `n` consecutive failures.
detector_factory make_consecutive_failures(int n);

/// Ejects every 10 s workers whose success rate is below the mean by more than
/// `k` standard deviations.
detector_factory make_success_rate(double k);

/// Ejects at a failure percentage over the last 100 outcomes.
detector_factory make_failure_percentage(double percent);

/// Ejects after `n` consecutive failed probes; ignores requests.
detector_factory make_active_probes(int n);

} // namespace jasminetray
