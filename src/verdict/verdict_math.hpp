// Log likelihood ratios that the commands and the queries share.
#pragma once

#include "verdict/verdict_type.hpp"

namespace jasminetray {

constexpr double min_rate = 0.002;     ///< of the usual failure rate
constexpr double max_rate = 0.9;       ///< of the usual failure rate
constexpr double min_odds_ratio = 4;   ///< between usual and alternative
constexpr double slow_clip_high = 2.5; ///< nats that one slow answer adds
constexpr double slow_clip_low = -3;   ///< nats that one fast answer takes
constexpr double min_variance = 0.02;  ///< of ln(took)

/// Outcomes after which a class's duration is known well enough for silence to
/// speak. A process that has just started knows none: judged by what it
/// assumed, work that takes a second was missing at once, and sound backend
/// servers were ejected all over a fleet that had been restarted.
inline constexpr double min_duration_samples = 10;

/// Whether silence of work of this class can be told from usual work.
bool is_duration_known(const service_baseline& u, std::uint32_t route_class);

/// Age at which work of a known class is missing: few last so long.
span_us overdue_age(const service_baseline& u, std::uint32_t route_class);

/// Failure rate of an alternative, kept apart from the usual rate: a bank
/// member close to the usual one would drift up on ordinary noise.
double alternative_rate(std::size_t n, double usual);

/// Evidence of one outcome for an alternative failure rate.
double fail_ratio(bool failed, double rate, double usual);

/// Evidence of one duration for a slowness.
/// @param shift ln(factor)
/// @param above ln(took) minus the usual mean
/// @param variance usual one, of ln(took)
double slow_ratio(double shift, double above, double variance);

/// ln(took) minus what is usual for the class now.
double log_excess(const service_baseline& u, std::uint32_t route_class,
                  span_us took);

/// ln(factor) that a cold start may be slower by.
double cold_start_allowance(const worker_health& h, mono_us now);

/// Variance that ratios use; never so small that one answer decides.
double baseline_variance(const service_baseline& u, std::uint32_t route_class);

/// Share of usual work that takes longer than a time.
double baseline_survival(const service_baseline& u, std::uint32_t route_class,
                         span_us age);

/// Evidence of work that has not ended after a time, for a failure rate.
double outstanding_ratio(const service_baseline& u, double rate,
                         std::uint32_t route_class, span_us age);

} // namespace jasminetray
