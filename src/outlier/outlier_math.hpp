// Log likelihood ratios of outlier detection.
#pragma once

#include "outlier/outlier_type.hpp"

namespace jasminetray {

constexpr double min_rate = 0.002;     ///< of the baseline failure rate
constexpr double max_rate = 0.9;       ///< of the baseline failure rate
constexpr double min_odds_ratio = 4;   ///< of alternative to baseline
constexpr double slow_clip_high = 2.5; ///< max evidence of one outcome, in nats
constexpr double slow_clip_low = -3;   ///< min evidence of one outcome, in nats
constexpr double min_variance = 0.02;  ///< of ln(took)

/// Samples before the duration baseline of a route class is used. Without
/// them a restarted process would take slow but healthy work for overdue.
inline constexpr double min_duration_samples = 10;

/// Returns whether the duration baseline of a route class can be used.
bool is_duration_known(const service_baseline& u, std::uint32_t route_class);

/// Returns the age from which work counts as overdue.
span_us overdue_age(const service_baseline& u, std::uint32_t route_class);

/// Returns the failure rate of an alternative. It keeps a distance from the
/// baseline, so that noise does not accumulate.
double alternative_rate(std::size_t n, double baseline);

/// Returns the evidence of one outcome for an alternative failure rate.
double fail_ratio(bool failed, double rate, double baseline);

/// Returns the evidence of one duration for an alternative slowdown.
/// @param shift ln(factor) of the slowdown
/// @param above ln(took) minus the baseline mean
/// @param variance of ln(took) in the baseline
double slow_ratio(double shift, double above, double variance);

/// Returns ln(took) minus the baseline mean of the route class.
double log_excess(const service_baseline& u, std::uint32_t route_class,
                  span_us took);

/// Returns the tolerated ln(factor) of slowness after a cold start.
double cold_start_allowance(const worker_health& h, mono_us now);

/// Returns the variance for ratios; bounded below, so that one outcome does
/// not decide.
double baseline_variance(const service_baseline& u, std::uint32_t route_class);

/// Returns the share of normal work that takes longer than `age`.
double baseline_survival(const service_baseline& u, std::uint32_t route_class,
                         span_us age);

/// Returns the evidence of outstanding work for an alternative failure rate.
double outstanding_ratio(const service_baseline& u, double rate,
                         std::uint32_t route_class, span_us age);

} // namespace jasminetray
