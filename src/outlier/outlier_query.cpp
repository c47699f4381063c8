// Queries on health state; see outlier_query.hpp.
#include "outlier/outlier_query.hpp"

#include "outlier/outlier_math.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr double flap_discount = 1;     // nats per repeated ejection
constexpr double min_share = 0.75;      // of the threshold, after flaps
constexpr double post_wait_share = 0.5; // of the threshold
constexpr double rare_share = 0.05;     // of normal work takes longer
constexpr double burst_margin = 1.3;    // factor on the longest burst
constexpr span_us max_burst_wait = 3 * us_per_s / 2;
constexpr double max_other_evidence = 2;   // nats
constexpr double min_healthy_evidence = 3; // nats
constexpr double healthy_nats_slow = 0.75; // per answer in normal time
constexpr span_us burst_ttl = 3600 * us_per_s;

/// Alternative with the highest score.
struct top_alternative
{
    std::size_t index = 0; ///< in the bank
    double score = 0;
};

/// Returns the alternative with the highest score for a stream, outstanding
/// work included.
top_alternative find_top_alternative(const worker_health& h, const evidence& e,
                                     const outlier_policy& p,
                                     std::uint32_t source, mono_us now)
{
    top_alternative best{0, 0};
    auto baseline = h.baseline;
    baseline.shift += cold_start_allowance(h, now);
    for (std::size_t n = 0; n < alternatives; ++n) {
        double score = e.bank[n].value;
        const bool fails = n < fail_alternatives;
        for (const auto& o : h.outstanding_work) {
            if (!p.count_outstanding || !fails)
                break;
            if (now - o.started <
                baseline.times[o.route_class % max_route_classes].median)
                continue;
            const double rate = alternative_rate(n, baseline.fail_rate);
            if (source == all_sources || o.source == source)
                score += outstanding_ratio(baseline, rate, o.route_class,
                                           now - o.started);
        }
        if (score > best.score)
            best = {n, score};
    }
    return best;
}

/// Returns whether the first probes during an ejection succeeded.
bool is_recovering(const worker_health& h, const outlier_policy& p, mono_us now)
{
    constexpr double share = 0.4; // of the evidence for a restore
    return now >= h.may_return_at &&
           h.return_score >= share * (p.return_evidence + h.flaps);
}

/// Returns the suspicion from the evidence of one stream.
suspicion make_suspicion(const worker_health& h, const outlier_policy& p,
                         std::uint32_t scope, mono_us now)
{
    const auto& stream = stream_of(h, scope);
    const auto top = find_top_alternative(h, stream, p, scope, now);
    const auto& member = stream.bank[top.index];
    mono_us since = member.value > 0 ? member.since : now;
    for (const auto& o : h.outstanding_work) {
        if (is_duration_known(h.baseline, o.route_class) &&
            baseline_survival(h.baseline, o.route_class, now - o.started) <
                rare_share)
            since = std::min(since, o.started);
    }
    return {scope, top.index, top.score, health_threshold(h, p), since};
}

/// Returns whether all other streams had enough successes since the suspicion
/// began. Streams without outcomes do not count as healthy.
bool other_sources_healthy(const worker_health& h, const suspicion& worst)
{
    const auto& unhealthy = h.by_source[worst.scope].bank[worst.index];
    double evidence_against = 0;
    double successes = 0;
    for (std::uint32_t n = 0; n < h.by_source.size(); ++n) {
        if (n == worst.scope)
            continue;
        const auto& e = h.by_source[n];
        evidence_against += strongest(e).value;
        for (const auto at : e.success_times)
            successes += at >= worst.since ? 1 : 0;
    }
    const double rate = unhealthy.seen > 0
                            ? std::min(0.95, unhealthy.failed / unhealthy.seen)
                            : 0.95;
    const double each = worst.index < fail_alternatives
                            ? -fail_ratio(false, rate, h.baseline.fail_rate)
                            : healthy_nats_slow;
    return evidence_against < max_other_evidence &&
           successes * each >= min_healthy_evidence;
}

} // namespace

const bank_score& strongest(const evidence& e)
{
    return *std::max_element(
        e.bank.begin(), e.bank.end(),
        [](const auto& a, const auto& b) { return a.value < b.value; });
}

double health_score(const worker_health& h, const outlier_policy& p,
                    mono_us now)
{
    return find_top_alternative(h, h.total, p, all_sources, now).score;
}

double health_threshold(const worker_health& h, const outlier_policy& p)
{
    const double repeated = h.flaps > 1 ? h.flaps - 1 : 0;
    const double lowered = p.threshold - flap_discount * repeated;
    return std::max(lowered, min_share * p.threshold);
}

span_us health_burst_wait(const worker_health& h, const outlier_policy& p,
                          mono_us now)
{
    if (!p.tolerate_bursts || now - h.burst_seen_at > burst_ttl)
        return 0;
    return std::min(
        max_burst_wait,
        static_cast<span_us>(burst_margin * static_cast<double>(h.burst_span)));
}

const evidence& stream_of(const worker_health& h, std::uint32_t scope)
{
    return scope < h.by_source.size() ? h.by_source[scope] : h.total;
}

suspicion health_suspicion(const worker_health& h, const outlier_policy& p,
                           mono_us now)
{
    const auto whole = make_suspicion(h, p, all_sources, now);
    const bool quiet =
        whole.score < whole.threshold && h.top_value < whole.threshold / 2;
    if (quiet || !p.per_source_ejection || h.by_source.size() < 2)
        return whole;
    suspicion worst;
    for (std::uint32_t n = 0; n < h.by_source.size(); ++n) {
        const auto s = make_suspicion(h, p, n, now);
        if (s.score > worst.score)
            worst = s;
    }
    // Correction for testing several streams.
    worst.threshold += std::log(static_cast<double>(h.by_source.size()));
    const bool exceeded =
        whole.score >= whole.threshold || worst.score >= worst.threshold;
    if (!exceeded || worst.scope == all_sources ||
        !other_sources_healthy(h, worst))
        return whole;
    if (whole.score >= whole.threshold)
        worst.threshold = std::min(worst.threshold, worst.score);
    return worst;
}

bool health_confirmed(const worker_health& h, const outlier_policy& p,
                      mono_us now)
{
    const auto wait = health_burst_wait(h, p, now);
    if (wait == 0)
        return true;
    if (h.excursion_in_progress.reached_at == 0 ||
        now < h.excursion_in_progress.reached_at + wait)
        return false;
    const auto later =
        find_top_alternative(h, h.post_wait_evidence, p, all_sources, now);
    return later.score >= post_wait_share * health_threshold(h, p);
}

peer_report health_report(const worker_health& h, const outlier_policy& p,
                          mono_us since, std::uint32_t source)
{
    peer_report r;
    if (source < h.by_source.size())
        r.source_share = strongest(h.by_source[source]).value / p.threshold;
    r.burst_span = h.burst_span;
    for (const auto& b : h.recent) {
        if (b.start == 0 || b.start + recent_width <= since)
            continue;
        r.seen += b.seen;
        r.failed += b.failed;
        r.above += b.above;
    }
    return r;
}

int health_severity(const worker_health& h, const outlier_policy& p,
                    mono_us now)
{
    constexpr double severity_at_threshold = 100;
    constexpr int min_ejected = 110;
    constexpr int max_severity = 250; // higher ones are set by operators
    if (h.state == ejection_state::ejected) {
        if (is_recovering(h, p, now))
            return static_cast<int>(severity_at_threshold);
        return std::clamp(static_cast<int>(severity_at_threshold *
                                           h.ejection_peak / p.threshold),
                          min_ejected, max_severity);
    }
    const double share = health_score(h, p, now) / health_threshold(h, p);
    return static_cast<int>(
        std::min(severity_at_threshold - 1, severity_at_threshold * share));
}

} // namespace jasminetray
