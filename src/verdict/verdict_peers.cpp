// Weighing evidence against what the peers saw in the same time; see
// verdict_cmd.hpp. A shared dip, an overload or a bad release moves all or
// many of them, and must not eject those that happen to be the worst.
#include "verdict/verdict_cmd.hpp"
#include "verdict/verdict_math.hpp"
#include "verdict/verdict_query.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr double kept_share = 0.5;  // of the peers, the best ones
constexpr double clear_ratio = 1.5; // log likelihood; about 1 in 12 by chance
constexpr double bad_source_share = 0.3; // of a threshold, at a peer
constexpr double same_share = 0.34;      // of the peers
constexpr double rounding = 1e-6;        // of sums against scores
constexpr double clear_better = 6;       // log likelihood; picked by luck too
constexpr double clear_errors = 2.5;     // standard errors
constexpr span_us min_wait = 50 * us_per_ms; // between two questions
constexpr span_us max_wait = 2 * us_per_s;
constexpr span_us remembered_span =
    static_cast<span_us>(recent_buckets) * recent_width;
constexpr double alike_limit = 2; // standard deviations

/// Which of the two things that peers tell.
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

sample sample_of(const peer_report& r, peer_aspect aspect)
{
    return aspect == peer_aspect::failures ? sample{r.seen, r.failed}
                                           : sample{r.seen - r.failed, r.above};
}

std::vector<sample> samples_of(const std::vector<peer_report>& reports,
                               peer_aspect aspect)
{
    std::vector<sample> all;
    for (const auto& r : reports) {
        const auto s = sample_of(r, aspect);
        if (s.seen > 0)
            all.push_back(s);
    }
    return all;
}

sample pool(const std::vector<sample>& all, std::size_t most)
{
    sample sum{0, 0};
    for (std::size_t n = 0; n < std::min(most, all.size()); ++n) {
        sum.seen += all[n].seen;
        sum.sum += all[n].sum;
    }
    return sum;
}

/// Whether samples differ by no more than chance (a chi-square test).
/// @param variance of one observation around the pooled mean
bool are_alike(const std::vector<sample>& all, double mean, double variance)
{
    const auto freedom = static_cast<double>(all.size()) - 1;
    if (freedom < 1 || variance <= 0)
        return true;
    double chi = 0;
    for (const auto& s : all) {
        const double off = s.sum - s.seen * mean;
        chi += off * off / (s.seen * variance);
    }
    return chi < freedom + alike_limit * std::sqrt(2 * freedom);
}

/// Whether the better half fails so much less often than all peers that
/// neither chance nor its having been picked for it explains that.
/// @param rate failure rate of all peers together
bool is_clearly_better(const sample& better, double rate)
{
    if (rate <= 0 || better.seen <= 0)
        return true;
    const double own = std::clamp(better.sum / better.seen, min_rate, rate);
    const double ratio =
        (better.seen - better.sum) * std::log((1 - own) / (1 - rate)) +
        better.sum * std::log(own / rate);
    return ratio >= clear_better;
}

/// All peers together while they look alike. Else only the better half: a
/// bad release on half of them must not become the usual. Taking the better
/// half always would call a shared dip a sickness, because the best of a few
/// noisy samples look better than the truth. For the same reason failures
/// split the peers only once the better half was heard enough: at the onset
/// of a shared dip a few have not failed yet, and each of the others would
/// be ejected for failing first.
sample usual_of(std::vector<sample> all, double variance, bool is_rate)
{
    const auto whole = pool(all, all.size());
    if (whole.seen <= 0)
        return whole;
    const double mean = whole.sum / whole.seen;
    const double spread = is_rate ? mean * (1 - mean) : variance;
    if (are_alike(all, mean, spread))
        return whole;
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.sum / a.seen < b.sum / b.seen;
    });
    const auto kept = static_cast<std::size_t>(
        std::ceil(kept_share * static_cast<double>(all.size())));
    const auto better = pool(all, kept);
    return !is_rate || is_clearly_better(better, mean) ? better : whole;
}

/// Failure rate that the peers' sample speaks for: the long memory's, unless
/// the peers' failures are clearly more than that explains.
double rate_by_peers(double base, const sample& s)
{
    const double expected = s.seen * base;
    if (s.sum <= expected)
        return base;
    const double ratio =
        s.sum * std::log(s.sum / expected) - (s.sum - expected);
    return ratio > clear_ratio ? (s.sum + 0.5) / (s.seen + 1) : base;
}

/// ln(factor) by which the peers are clearly slower than usual.
double shift_by_peers(const sample& s, double variance)
{
    if (s.seen <= 0)
        return 0;
    const double mean = s.sum / s.seen;
    return mean > clear_errors * std::sqrt(variance / s.seen) ? mean : 0;
}

/// What is usual now, by the peers; never better than the own long memory.
service_baseline usual_now(const worker_health& h,
                           const std::vector<peer_report>& reports)
{
    auto u = h.usual;
    const double variance = baseline_variance(h.usual, 0);
    const auto fails =
        usual_of(samples_of(reports, peer_aspect::failures), 0, true);
    const auto times =
        usual_of(samples_of(reports, peer_aspect::durations), variance, false);
    u.fail_rate =
        std::clamp(rate_by_peers(u.fail_rate, fails), min_rate, max_rate);
    u.shift += shift_by_peers(times, variance);
    return u;
}

/// Own outcomes that are weighed: since the bank member's evidence began, or
/// over the time that peers remember when that is shorter.
struct own_sample
{
    double seen;
    double failed;
    double above;  ///< sum of (ln took - usual) / variance
    double weight; ///< sum of 1 / variance
};

own_sample own_since(const worker_health& h, const outlier_policy& p,
                     const suspicion& s, mono_us now)
{
    const auto& member = stream_of(h, s.scope).bank[s.index];
    if (now - member.since <= remembered_span || s.scope != all_sources)
        return {member.seen, member.failed, member.above, member.weight};
    const auto r = health_report(h, p, now - remembered_span, all_sources);
    const double variance = baseline_variance(h.usual, 0);
    return {r.seen, r.failed, r.above / variance,
            (r.seen - r.failed) / variance};
}

/// The suspicion's evidence against what is usual by the peers.
double rescore(const worker_health& h, const outlier_policy& p,
               const suspicion& s, const service_baseline& u, mono_us now)
{
    const auto own = own_since(h, p, s, now);
    if (s.index >= fail_alternatives) {
        const double d = bank_shifts[s.index - fail_alternatives];
        const double shift = u.shift - h.usual.shift;
        return d * (own.above - shift * own.weight) - d * d / 2 * own.weight;
    }
    const double rate = alternative_rate(s.index, u.fail_rate);
    double score =
        own.failed * fail_ratio(true, rate, u.fail_rate) +
        (own.seen - own.failed) * fail_ratio(false, rate, u.fail_rate);
    for (const auto& o : h.open) {
        const bool counts = s.scope == all_sources || s.scope == o.source;
        if (p.count_outstanding && counts)
            score += outstanding_ratio(u, rate, o.route_class, now - o.started);
    }
    return score;
}

/// Whether the callers of the data centre fare as badly at the peers: then
/// it is they, or the way to them, and no backend server.
bool same_at_peers(const std::vector<peer_report>& reports)
{
    const auto bad =
        std::count_if(reports.begin(), reports.end(), [](const auto& r) {
            return r.source_share >= bad_source_share;
        });
    return static_cast<double>(bad) >
           same_share * static_cast<double>(reports.size());
}

/// Second highest of the peers' bursts: one peer alone cannot excuse.
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
    const auto u = whole ? usual_now(h, reports) : h.usual;
    const bool shared = !whole && same_at_peers(reports);
    // Only the member that speaks is weighed again: the peers were asked
    // about the time since its evidence began.
    if (!shared && rescore(h, p, s, u, now) >= s.threshold - rounding)
        return outlier_action::eject;
    // Shared trouble can last: the peers are asked again, at longer and
    // longer intervals, and over the time that has passed by then.
    h.peer_query_wait =
        std::min(max_wait, 2 * std::max(h.peer_query_wait, min_wait));
    return outlier_action::hold;
}

} // namespace jasminetray
