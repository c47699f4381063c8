// Questions about the evidence against a backend server.
#pragma once

#include "verdict/verdict_type.hpp"

namespace jasminetray {

/// Highest score of the bank, with outstanding work counted in.
double health_score(const worker_health& h, const outlier_policy& p,
                    mono_us now);

/// Threshold in force for this backend server: the policy's, lowered by
/// recent flapping.
double health_threshold(const worker_health& h, const outlier_policy& p);

/// How long to wait after the evidence reached the threshold: longer than
/// the bursts of failures that used to end by themselves; 0 where there were
/// none.
span_us health_burst_wait(const worker_health& h, const outlier_policy& p,
                          mono_us now);

/// Member of the bank that speaks loudest.
const bank_score& strongest(const evidence& e);

/// The strongest suspicion: against the whole backend server, or against
/// its work for the callers of one data centre while others are served well.
suspicion health_suspicion(const worker_health& h, const outlier_policy& p,
                           mono_us now);

/// Stream that a scope means.
const evidence& stream_of(const worker_health& h, std::uint32_t scope);

/// Whether the trouble outlasted the patience: what came after it speaks
/// for sickness on its own. A burst that is over leaves evidence behind, but
/// adds none.
bool health_confirmed(const worker_health& h, const outlier_policy& p,
                      mono_us now);

/// What this backend server looked like since a moment.
/// @param source data centre whose stream is asked about, or all_sources
peer_report health_report(const worker_health& h, const outlier_policy& p,
                          mono_us since, std::uint32_t source);

/// Severity for the membership record: 0 as usual, 100 at the threshold,
/// 250 at most.
int health_severity(const worker_health& h, const outlier_policy& p,
                    mono_us now);

} // namespace jasminetray
