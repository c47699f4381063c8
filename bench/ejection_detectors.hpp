// The detectors that are compared: the project's core, and baselines written
// from their published descriptions.
#pragma once

#include "ejection_world.hpp"

namespace jasminetray {

/// The project's verdicts.
/// @param factor of the accepted false ejections of the size
detector_maker make_core(double factor);

/// The same with one of its parts left out, to show what it is worth.
enum class core_part
{
    none,
    peers,   ///< no comparison with peers
    silence, ///< outstanding work is no evidence
    bursts,  ///< nothing learned from healed bursts
    sources, ///< no verdicts for one data centre's callers
};
detector_maker make_core_without(core_part part, double factor);

/// Consecutive failures: ejects after `n` in a row.
detector_maker make_consecutive(int n);

/// Success-rate outlier: every 10 s, below mean - k * standard deviation.
detector_maker make_success_rate(double k);

/// Failure percentage over a sliding window of the last 100 outcomes.
detector_maker make_percentage(double percent);

/// Active probes only: `n` failed probes in a row.
detector_maker make_probes(int n);

} // namespace jasminetray
