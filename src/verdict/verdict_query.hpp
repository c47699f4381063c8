// Questions about the evidence against a backend server.
#pragma once

#include "verdict/verdict_type.hpp"

namespace jasminetray {

/// Highest score of the bank, with outstanding work counted in.
double health_score(const worker_health& h, const verdict_policy& p,
                    mono_us now);

/// Threshold in force for this backend server: the policy's, lowered by
/// recent flapping and raised by bursts that healed alone.
double health_threshold(const worker_health& h, const verdict_policy& p,
                        mono_us now);

/// Whose callers an ejection should be for, by which streams look bad.
std::uint32_t health_scope(const worker_health& h, const verdict_policy& p,
                           mono_us now);

/// When the strongest evidence began.
mono_us health_since(const worker_health& h, mono_us now);

/// What this backend server looked like since a moment.
peer_report health_report(const worker_health& h, mono_us since);

/// Severity for the membership record: 0 as usual, 100 at the threshold,
/// 250 at most.
int health_severity(const worker_health& h, const verdict_policy& p,
                    mono_us now);

} // namespace jasminetray
