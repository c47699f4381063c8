// Estimates of speeds and knees; see speed_type.hpp.
#include "balance/speed_func.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace jasminetray {

namespace {

/// Standard error of a median of n normal values: this times sd / sqrt(n).
constexpr double median_error = 1.25;
constexpr double max_told_us = 3.6e9; // an hour
/// Between samples of one level. Work that runs together is slow together for
/// other reasons too, and would count as many.
constexpr span_us level_interval = 200 * us_per_ms;

void add_log(recent_logs& r, double value, mono_us now)
{
    r.values[r.next] = static_cast<float>(value);
    r.at[r.next] = now;
    r.next = (r.next + 1) % recent_log_count;
    r.count = std::min(r.count + 1, recent_log_count);
}

mono_us newest_at(const recent_logs& r)
{
    return r.at[(r.next + recent_log_count - 1) % recent_log_count];
}

double error_of(const log_summary& s)
{
    return median_error * s.spread / std::sqrt(static_cast<double>(s.count));
}

/// Returns the change of the concurrency `n` before the last one.
const level_change& change_before(const speed_estimate& s, std::size_t n)
{
    return s.history[(s.history_next + level_history_size - 1 - n) %
                     level_history_size];
}

/// Returns the integral of the concurrency until `at`, which is before the next
/// change.
double area_until(const level_change& c, mono_us at)
{
    return c.area + c.level * static_cast<double>(at - c.at);
}

/// Returns the mean concurrency since `from`; nothing when the history is
/// shorter.
std::optional<double> mean_level(const speed_estimate& s, mono_us from,
                                 mono_us now)
{
    if (s.history_count == 0 || from >= now)
        return std::nullopt;
    const double area = area_until(change_before(s, 0), now);
    for (std::size_t n = 0; n < s.history_count; ++n) {
        const auto& c = change_before(s, n);
        if (c.at <= from)
            return (area - area_until(c, from)) /
                   static_cast<double>(now - from);
    }
    return std::nullopt;
}

/// Returns the concurrencies that one level stands for.
double level_width(double slots)
{
    return std::max(1.0, slots / static_cast<double>(max_knee_levels));
}

/// Updates the reference of a kind and returns how far a time is from it;
/// nothing before there is one.
std::optional<double> compare(kind_times& k, double log_us,
                              const speed_policy& p, mono_us now)
{
    constexpr double reference_weight = 256; // samples
    constexpr double max_difference = 1;     // e times as long or short
    if (k.reference_count == 0) {
        const auto m = summarize_logs(k.recent, p.sample_ttl, now);
        if (m.count < p.min_samples)
            return std::nullopt;
        k.reference = m.median;
        k.reference_count = m.count;
    }
    const double difference = log_us - k.reference;
    ++k.reference_count;
    k.reference +=
        std::clamp(difference, -max_difference, max_difference) /
        std::min(static_cast<double>(k.reference_count), reference_weight);
    return difference;
}

kind_times& kind_of(speed_estimate& s, std::uint32_t kind)
{
    // Bounds memory: configurations add and remove routes for the lifetime of
    // the process.
    if (s.kinds.size() >= max_speed_kinds && s.kinds.count(kind) == 0) {
        s.kinds.erase(std::min_element(
            s.kinds.begin(), s.kinds.end(), [&](const auto& a, const auto& b) {
                return newest_at(a.second.recent) < newest_at(b.second.recent);
            }));
    }
    return s.kinds[kind];
}

/// Returns the mean log time of a kind at the backend servers of a service;
/// nothing when fewer than two have told it.
std::optional<double> service_mean(const service_times& t, std::uint32_t kind,
                                   const speed_policy& p, worker_id self,
                                   double own, mono_us now)
{
    const auto it = t.kinds.find(kind);
    if (it == t.kinds.end())
        return std::nullopt;
    double sum = own;
    double count = 1;
    for (const auto& [id, x] : it->second) {
        if (id == self || now - x.at > p.sample_ttl)
            continue;
        sum += x.log_us;
        ++count;
    }
    return count < 2 ? std::nullopt : std::optional(sum / count);
}

} // namespace

void speed_set_level(speed_estimate& s, int level, mono_us now)
{
    level_change c{now, level, 0};
    if (s.history_count > 0)
        c.area = area_until(change_before(s, 0), now);
    s.history[s.history_next] = c;
    s.history_next = (s.history_next + 1) % level_history_size;
    s.history_count = std::min(s.history_count + 1, level_history_size);
}

void speed_add_time(speed_estimate& s, const speed_policy& p,
                    std::uint32_t kind, span_us took, double slots, mono_us now)
{
    if (took <= 0)
        return;
    const double log_us = std::log(static_cast<double>(took));
    auto& k = kind_of(s, kind);
    const auto difference = compare(k, log_us, p, now);
    const auto level = mean_level(s, now - took, now);
    // Above the knee, the concurrency makes it slow and not its speed.
    if (s.knee == 0 || !level || *level <= s.knee + 0.5 * level_width(slots))
        add_log(k.recent, log_us, now);
    if (!difference || !level)
        return;
    const auto n = static_cast<std::size_t>(
        std::max(0.0, std::round(*level / level_width(slots)) - 1));
    auto& at_level = s.levels[std::min(n, max_knee_levels - 1)];
    if (at_level.count == 0 || now - newest_at(at_level) >= level_interval)
        add_log(at_level, *difference, now);
}

log_summary summarize_logs(const recent_logs& r, span_us ttl, mono_us now)
{
    std::array<float, recent_log_count> sorted{};
    log_summary s;
    for (std::size_t n = 0; n < r.count; ++n) {
        if (now - r.at[n] > ttl)
            continue;
        sorted[s.count++] = r.values[n];
        s.newest_at = std::max(s.newest_at, r.at[n]);
    }
    if (s.count == 0)
        return s;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(s.count);
    std::sort(sorted.begin(), end);
    s.median = (sorted[(s.count - 1) / 2] + sorted[s.count / 2]) / 2.0;
    // Distance of the quartiles of a normal distribution with deviation 1.
    constexpr double quartile_distance = 1.35;
    s.spread = (sorted[s.count - 1 - s.count / 4] - sorted[s.count / 4]) /
               quartile_distance;
    return s;
}

measured_speed measure_speed(const speed_estimate& s, const service_times& t,
                             const speed_policy& p, worker_id self, mono_us now)
{
    measured_speed m;
    double sum = 0;
    double variance = 0;
    for (const auto& [kind, times] : s.kinds) {
        const auto own = summarize_logs(times.recent, p.sample_ttl, now);
        if (own.count < p.min_samples)
            continue;
        const auto mean = service_mean(t, kind, p, self, own.median, now);
        if (!mean)
            continue;
        const auto weight = static_cast<double>(own.count);
        sum += weight * (own.median - *mean);
        variance += weight * weight * error_of(own) * error_of(own);
        m.samples += own.count;
        ++m.kinds;
        m.newest_at = std::max(m.newest_at, own.newest_at);
    }
    const double weight = static_cast<double>(m.samples) + p.prior_samples;
    const double bound = std::log(p.max_factor);
    m.factor = std::exp(std::clamp(sum / weight, -bound, bound));
    m.spread = std::sqrt(variance) / weight;
    return m;
}

bool is_slow(const measured_speed& m, const speed_policy& p, bool was_slow)
{
    if (m.samples == 0)
        return false;
    if (was_slow)
        return m.factor > std::sqrt(p.slow_factor);
    return std::log(m.factor) - p.min_deviations * m.spread >
           std::log(p.slow_factor);
}

knee_evidence find_knee(const speed_estimate& s, const speed_policy& p,
                        double slots, mono_us now)
{
    struct known_level
    {
        double level;
        log_summary times;
    };
    std::vector<known_level> known;
    const double width = level_width(slots);
    double highest = 0;
    const auto rate_of = [](const known_level& k) {
        return k.level / std::exp(k.times.median);
    };
    for (std::size_t n = 0; n < max_knee_levels; ++n) {
        const auto m = summarize_logs(s.levels[n], p.sample_ttl, now);
        if (m.count < p.min_level_samples)
            continue;
        known.push_back({static_cast<double>(n + 1) * width, m});
        highest = std::max(highest, rate_of(known.back()));
    }
    if (known.size() < 2)
        return {};
    const auto at =
        std::find_if(known.begin(), known.end(), [&](const known_level& k) {
            return rate_of(k) >= p.min_knee_rate * highest;
        });
    const auto& top = known.back();
    const double slower = top.times.median - at->times.median;
    const double error = std::hypot(error_of(top.times), error_of(at->times));
    const bool is_sure = slower > std::max(std::log(p.min_knee_slowdown),
                                           p.min_deviations * error);
    if (!is_sure)
        return {};
    return {static_cast<int>(std::max(1.0, at->level)),
            static_cast<int>(top.level), std::exp(slower)};
}

told_speed make_told_speed(speed_estimate& s, const measured_speed& m,
                           const speed_policy& p, mono_us now)
{
    told_speed t;
    t.knee = s.knee;
    if (m.samples > 0) {
        t.factor = m.factor;
        t.age = now - m.newest_at;
    }
    auto it = s.kinds.upper_bound(s.last_told);
    for (std::size_t n = 0; n < s.kinds.size(); ++n, ++it) {
        if (it == s.kinds.end())
            it = s.kinds.begin();
        const auto own = summarize_logs(it->second.recent, p.sample_ttl, now);
        if (own.count < p.min_samples)
            continue;
        t.kind = s.last_told = it->first;
        t.kind_us = std::exp(own.median);
        break;
    }
    return t;
}

speed_news check_told_speed(const told_speed& t, const speed_policy& p)
{
    if (t.factor == 0)
        return speed_news::absent;
    constexpr double rounding = 1.001; // of a float on the wire
    const bool in_bounds = std::isfinite(t.factor) &&
                           t.factor <= p.max_factor * rounding &&
                           t.factor * p.max_factor * rounding >= 1;
    if (!in_bounds || t.knee < 0 || t.age < 0)
        return speed_news::malformed;
    return t.age > p.sample_ttl ? speed_news::too_old : speed_news::applied;
}

void note_peer_time(service_times& t, worker_id from, const told_speed& told,
                    const speed_policy& p, mono_us now)
{
    const bool in_bounds = std::isfinite(told.kind_us) && told.kind_us >= 1 &&
                           told.kind_us <= max_told_us;
    if (told.kind == 0 || !in_bounds)
        return;
    if (t.kinds.size() >= max_speed_kinds && t.kinds.count(told.kind) == 0) {
        // A kind that nobody tells any more leaves room for another.
        for (auto it = t.kinds.begin(); it != t.kinds.end();) {
            const bool is_told = std::any_of(
                it->second.begin(), it->second.end(), [&](const auto& x) {
                    return now - x.second.at <= p.sample_ttl;
                });
            it = is_told ? std::next(it) : t.kinds.erase(it);
        }
        if (t.kinds.size() >= max_speed_kinds)
            return;
    }
    auto& peers = t.kinds[told.kind];
    if (peers.size() >= max_speed_peers && peers.count(from) == 0)
        peers.erase(std::min_element(peers.begin(), peers.end(),
                                     [](const auto& a, const auto& b) {
                                         return a.second.at < b.second.at;
                                     }));
    peers[from] = {std::log(told.kind_us), now};
}

} // namespace jasminetray
