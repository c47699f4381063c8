// Comparison of the evidence with peers over the same time; see
// outlier_cmd.hpp. An overload, a failing dependency or a bad release affects
// many peers and must not eject those that happen to be the worst.
#include "outlier/outlier_cmd.hpp"
#include "outlier/outlier_math.hpp"
#include "outlier/outlier_query.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr double retained_peer_share = 0.5; // of the peers, best first
/// Log likelihood; reached by chance in about 1 of 12 cases.
constexpr double min_failure_ratio = 1.5;
constexpr double bad_source_share = 0.3;    // of a threshold, at a peer
constexpr double same_share = 0.34;         // of the peers
constexpr double rounding = 1e-6;           // difference of sums and scores
constexpr double min_better_half_ratio = 6; // log likelihood
constexpr double min_standard_errors = 2.5;
constexpr span_us min_wait = 50 * us_per_ms; // between peer queries
constexpr span_us max_wait = 2 * us_per_s;
constexpr span_us remembered_span =
    static_cast<span_us>(recent_buckets) * recent_width;
constexpr double homogeneity_limit = 2; // standard deviations

/// Aspect of a peer's report.
enum class peer_aspect
{
    failures,
    durations,
};

/// Size and sum of one peer's sample.
struct sample
{
    double seen;
    double sum;
};

sample sample_from(const peer_report& r, peer_aspect aspect)
{
    return aspect == peer_aspect::failures ? sample{r.seen, r.failed}
                                           : sample{r.seen - r.failed, r.above};
}

std::vector<sample> samples_from(const std::vector<peer_report>& reports,
                                 peer_aspect aspect)
{
    std::vector<sample> all;
    for (const auto& r : reports) {
        const auto s = sample_from(r, aspect);
        if (s.seen > 0)
            all.push_back(s);
    }
    return all;
}

sample pool(const std::vector<sample>& all, std::size_t max_count)
{
    sample sum{0, 0};
    for (std::size_t n = 0; n < std::min(max_count, all.size()); ++n) {
        sum.seen += all[n].seen;
        sum.sum += all[n].sum;
    }
    return sum;
}

/// Returns whether samples have the same mean (chi-square test).
/// @param variance of one observation around the pooled mean
bool are_homogeneous(const std::vector<sample>& all, double mean,
                     double variance)
{
    const auto freedom = static_cast<double>(all.size()) - 1;
    if (freedom < 1 || variance <= 0)
        return true;
    double chi = 0;
    for (const auto& s : all) {
        const double off = s.sum - s.seen * mean;
        chi += off * off / (s.seen * variance);
    }
    return chi < freedom + homogeneity_limit * std::sqrt(2 * freedom);
}

/// Returns whether the better half fails significantly less often than all
/// peers, selection bias included.
/// @param rate failure rate of all peers together
bool is_significantly_better(const sample& better, double rate)
{
    if (rate <= 0 || better.seen <= 0)
        return true;
    const double own = std::clamp(better.sum / better.seen, min_rate, rate);
    const double ratio =
        (better.seen - better.sum) * std::log((1 - own) / (1 - rate)) +
        better.sum * std::log(own / rate);
    return ratio >= min_better_half_ratio;
}

/// Returns the pooled sample of all peers while they are homogeneous, else of
/// the better half: a bad release on half of the peers must not become the
/// baseline. The half must be significantly better, because at the onset of a
/// shared failure some peers have not failed yet by chance.
sample pooled_sample(std::vector<sample> all, double variance, bool is_rate)
{
    const auto whole = pool(all, all.size());
    if (whole.seen <= 0)
        return whole;
    const double mean = whole.sum / whole.seen;
    const double spread = is_rate ? mean * (1 - mean) : variance;
    if (are_homogeneous(all, mean, spread))
        return whole;
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.sum / a.seen < b.sum / b.seen;
    });
    const auto count = static_cast<std::size_t>(
        std::ceil(retained_peer_share * static_cast<double>(all.size())));
    const auto better = pool(all, count);
    return !is_rate || is_significantly_better(better, mean) ? better : whole;
}

/// Returns the own long-term failure rate, or the peers' rate if that is
/// significantly higher.
double peer_failure_rate(double base, const sample& s)
{
    const double expected = s.seen * base;
    if (s.sum <= expected)
        return base;
    const double ratio =
        s.sum * std::log(s.sum / expected) - (s.sum - expected);
    return ratio > min_failure_ratio ? (s.sum + 0.5) / (s.seen + 1) : base;
}

/// Returns ln(factor) by which the peers are significantly slower than the
/// baseline.
double peer_shift(const sample& s, double variance)
{
    if (s.seen <= 0)
        return 0;
    const double mean = s.sum / s.seen;
    return mean > min_standard_errors * std::sqrt(variance / s.seen) ? mean : 0;
}

/// Returns the baseline adjusted by the peers; never better than the own one.
service_baseline peer_baseline(const worker_health& h,
                               const std::vector<peer_report>& reports)
{
    auto u = h.baseline;
    const double variance = baseline_variance(h.baseline, 0);
    const auto fails =
        pooled_sample(samples_from(reports, peer_aspect::failures), 0, true);
    const auto times = pooled_sample(
        samples_from(reports, peer_aspect::durations), variance, false);
    u.fail_rate =
        std::clamp(peer_failure_rate(u.fail_rate, fails), min_rate, max_rate);
    u.shift += peer_shift(times, variance);
    return u;
}

/// Own outcomes since the evidence began, at most over the time that peers
/// keep outcomes for.
struct own_sample
{
    double seen;
    double failed;
    double above;  ///< sum of (ln took - mean) / variance
    double weight; ///< sum of 1 / variance
};

own_sample own_since(const worker_health& h, const outlier_policy& p,
                     const suspicion& s, mono_us now)
{
    const auto& member = stream_of(h, s.scope).bank[s.index];
    if (now - member.since <= remembered_span || s.scope != all_sources)
        return {member.seen, member.failed, member.above, member.weight};
    const auto r = health_report(h, p, now - remembered_span, all_sources);
    const double variance = baseline_variance(h.baseline, 0);
    return {r.seen, r.failed, r.above / variance,
            (r.seen - r.failed) / variance};
}

/// Returns the evidence of a suspicion against the peers' baseline.
double rescore(const worker_health& h, const outlier_policy& p,
               const suspicion& s, const service_baseline& u, mono_us now)
{
    const auto own = own_since(h, p, s, now);
    if (s.index >= fail_alternatives) {
        const double d = bank_shifts[s.index - fail_alternatives];
        const double shift = u.shift - h.baseline.shift;
        return d * (own.above - shift * own.weight) - d * d / 2 * own.weight;
    }
    const double rate = alternative_rate(s.index, u.fail_rate);
    double score =
        own.failed * fail_ratio(true, rate, u.fail_rate) +
        (own.seen - own.failed) * fail_ratio(false, rate, u.fail_rate);
    for (const auto& o : h.outstanding_work) {
        const bool counts = s.scope == all_sources || s.scope == o.source;
        if (p.count_outstanding && counts)
            score += outstanding_ratio(u, rate, o.route_class, now - o.started);
    }
    return score;
}

/// Returns whether the callers of the data centre see failures at the peers
/// too; then their requests or the network are the cause.
bool source_fails_at_peers(const std::vector<peer_report>& reports)
{
    const auto bad =
        std::count_if(reports.begin(), reports.end(), [](const auto& r) {
            return r.source_share >= bad_source_share;
        });
    return static_cast<double>(bad) >
           same_share * static_cast<double>(reports.size());
}

/// Returns the second longest burst of the peers; one peer is not enough.
span_us shared_burst(const std::vector<peer_report>& reports)
{
    span_us first = 0;
    span_us second = 0;
    for (const auto& r : reports) {
        second = std::max(second, std::min(first, r.burst_span));
        first = std::max(first, r.burst_span);
    }
    return second;
}

} // namespace

outlier_action health_compare_peers(worker_health& h, const outlier_policy& p,
                                    const std::vector<peer_report>& reports,
                                    mono_us now)
{
    if (p.tolerate_bursts && shared_burst(reports) > h.burst_span) {
        h.burst_span = shared_burst(reports);
        h.burst_seen_at = now;
    }
    if (!health_confirmed(h, p, now))
        return outlier_action::none;
    const auto s = health_suspicion(h, p, now);
    if (s.score < s.threshold)
        return outlier_action::none;
    const bool whole = s.scope == all_sources;
    const auto u = whole ? peer_baseline(h, reports) : h.baseline;
    const bool shared = !whole && source_fails_at_peers(reports);
    // Only this alternative is scored again, because the peers reported on the
    // time since its evidence began.
    if (!shared && rescore(h, p, s, u, now) >= s.threshold - rounding)
        return outlier_action::eject;
    // Back off exponentially while the failure is shared.
    h.peer_query_wait =
        std::min(max_wait, 2 * std::max(h.peer_query_wait, min_wait));
    return outlier_action::hold;
}

} // namespace jasminetray
