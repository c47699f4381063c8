// Log likelihood ratios; see outlier_math.hpp.
#include "outlier/outlier_math.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

double alternative_rate(std::size_t n, double baseline)
{
    const double odds = min_odds_ratio * baseline / (1 - baseline);
    const double min_rate_of_alternative = odds / (1 + odds);
    return std::min(0.99, std::max(bank_rates[n], min_rate_of_alternative));
}

double fail_ratio(bool failed, double rate, double baseline)
{
    return failed ? std::log(rate / baseline)
                  : std::log((1 - rate) / (1 - baseline));
}

double slow_ratio(double shift, double above, double variance)
{
    const double ratio = (shift * above - shift * shift / 2) / variance;
    return std::clamp(ratio, slow_clip_low, slow_clip_high);
}

double baseline_variance(const service_baseline& u, std::uint32_t route_class)
{
    return std::max(min_variance,
                    u.times[route_class % max_route_classes].log_var);
}

double cold_start_allowance(const worker_health& h, mono_us now)
{
    constexpr double cold_shift = 1.6; // ln(5)
    return now < h.cold_start_until ? cold_shift : 0;
}

double log_excess(const service_baseline& u, std::uint32_t route_class,
                  span_us took)
{
    const double log_took =
        std::log(static_cast<double>(std::max<span_us>(1, took)));
    return log_took - u.times[route_class % max_route_classes].log_mean -
           u.shift;
}

bool is_duration_known(const service_baseline& u, std::uint32_t route_class)
{
    return u.times[route_class % max_route_classes].seen >=
           min_duration_samples;
}

span_us overdue_age(const service_baseline& u, std::uint32_t route_class)
{
    constexpr double deviations = 2; // about 2 % of normal work takes longer
    const auto& t = u.times[route_class % max_route_classes];
    const double log_age =
        t.log_mean + u.shift +
        deviations * std::sqrt(baseline_variance(u, route_class));
    return static_cast<span_us>(std::exp(log_age));
}

double baseline_survival(const service_baseline& u, std::uint32_t route_class,
                         span_us age)
{
    if (age <= 0)
        return 1;
    const double z = log_excess(u, route_class, age) /
                     std::sqrt(baseline_variance(u, route_class));
    // Real tails are heavier than log-normal ones; the baseline failure rate
    // is the lower bound.
    return std::max(0.5 * std::erfc(z / std::sqrt(2.0)), u.fail_rate);
}

double outstanding_ratio(const service_baseline& u, double rate,
                         std::uint32_t route_class, span_us age)
{
    if (!is_duration_known(u, route_class))
        return 0;
    const double healthy = baseline_survival(u, route_class, age);
    const double unhealthy = rate + (1 - rate) * healthy;
    return std::min(std::log(unhealthy / healthy),
                    std::log(rate / u.fail_rate));
}

} // namespace jasminetray
