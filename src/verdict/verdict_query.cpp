// Questions about evidence; see verdict_query.hpp.
#include "verdict/verdict_query.hpp"

#include "verdict/verdict_math.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr double flap_discount = 1;  // nats per ejection after the first
constexpr double min_share = 0.75;   // of the threshold, after flaps
constexpr double later_share = 0.5;  // of the threshold; two quick failures
constexpr double rare_share = 0.05;  // of usual work lasts this long
constexpr double burst_margin = 1.3; // over the longest healed burst
constexpr span_us max_patience = 3 * us_per_s / 2;
constexpr double max_against = 2; // nats against the streams that are well
constexpr double min_well = 3;    // nats that these streams are well
constexpr double well_nats_slow = 0.75; // of one answer in usual time
constexpr span_us burst_memory = 3600 * us_per_s;

/// Member of a bank that speaks loudest.
struct loudest_member
{
    std::size_t index = 0; ///< in the bank
    double score = 0;
};

/// Member of the bank of one stream that speaks loudest, with what
/// outstanding work already says counted in.
loudest_member stream_loudest(const worker_health& h, const evidence& e,
                              const outlier_policy& p, std::uint32_t source,
                              mono_us now)
{
    loudest_member best{0, 0};
    auto usual = h.usual;
    usual.shift += cold_start_allowance(h, now);
    for (std::size_t n = 0; n < alternatives; ++n) {
        double score = e.bank[n].value;
        const bool fails = n < fail_alternatives;
        for (const auto& o : h.open) {
            if (!p.count_outstanding || !fails)
                break;
            if (now - o.started <
                usual.times[o.route_class % max_route_classes].median)
                continue; // nothing unusual yet
            const double rate = alternative_rate(n, usual.fail_rate);
            if (source == all_sources || o.source == source)
                score += outstanding_ratio(usual, rate, o.route_class,
                                           now - o.started);
        }
        if (score > best.score)
            best = {n, score};
    }
    return best;
}

/// Whether the first of its trickle went well.
bool is_recovering(const worker_health& h, const outlier_policy& p, mono_us now)
{
    constexpr double share = 0.4; // of the evidence that a return needs
    return now >= h.may_return_at &&
           h.return_score >= share * (p.return_evidence + h.flaps);
}

/// What one stream says, as a suspicion.
suspicion make_suspicion(const worker_health& h, const outlier_policy& p,
                         std::uint32_t scope, mono_us now)
{
    const auto& stream = stream_of(h, scope);
    const auto top = stream_loudest(h, stream, p, scope, now);
    const auto& member = stream.bank[top.index];
    mono_us since = member.value > 0 ? member.since : now;
    for (const auto& o : h.open) {
        if (is_duration_known(h.usual, o.route_class) &&
            baseline_survival(h.usual, o.route_class, now - o.started) <
                rare_share)
            since = std::min(since, o.started);
    }
    return {scope, top.index, top.score, health_threshold(h, p), since};
}

/// Whether all other streams are served well since the suspicion began. They
/// must have been heard: silence is not health.
bool others_well(const worker_health& h, const suspicion& worst)
{
    const auto& sick = h.by_source[worst.scope].bank[worst.index];
    double evidence_against = 0;
    double well = 0;
    for (std::uint32_t n = 0; n < h.by_source.size(); ++n) {
        if (n == worst.scope)
            continue;
        const auto& e = h.by_source[n];
        evidence_against += strongest(e).value;
        for (const auto at : e.success_times)
            well += at >= worst.since ? 1 : 0;
    }
    const double rate =
        sick.seen > 0 ? std::min(0.95, sick.failed / sick.seen) : 0.95;
    const double each = worst.index < fail_alternatives
                            ? -fail_ratio(false, rate, h.usual.fail_rate)
                            : well_nats_slow;
    return evidence_against < max_against && well * each >= min_well;
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
    return stream_loudest(h, h.total, p, all_sources, now).score;
}

double health_threshold(const worker_health& h, const outlier_policy& p)
{
    const double again = h.flaps > 1 ? h.flaps - 1 : 0;
    const double flapped = p.threshold - flap_discount * again;
    return std::max(flapped, min_share * p.threshold);
}

span_us health_burst_wait(const worker_health& h, const outlier_policy& p,
                          mono_us now)
{
    if (!p.tolerate_bursts || now - h.burst_seen_at > burst_memory)
        return 0;
    return std::min(
        max_patience,
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
    // More streams are more chances of a false alarm.
    worst.threshold += std::log(static_cast<double>(h.by_source.size()));
    const bool speaks =
        whole.score >= whole.threshold || worst.score >= worst.threshold;
    if (!speaks || worst.scope == all_sources || !others_well(h, worst))
        return whole;
    if (whole.score >= whole.threshold)
        worst.threshold = std::min(worst.threshold, worst.score);
    return worst;
}

bool health_confirmed(const worker_health& h, const outlier_policy& p,
                      mono_us now)
{
    const auto patience = health_burst_wait(h, p, now);
    if (patience == 0)
        return true;
    if (h.climb.reached_at == 0 || now < h.climb.reached_at + patience)
        return false;
    const auto later = stream_loudest(h, h.later, p, all_sources, now);
    return later.score >= later_share * health_threshold(h, p);
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
    constexpr double at_threshold = 100;
    constexpr int min_ejected = 110;
    constexpr int most = 250; // above it speak operators
    if (h.state == ejection_state::ejected) {
        if (is_recovering(h, p, now))
            return static_cast<int>(at_threshold);
        return std::clamp(
            static_cast<int>(at_threshold * h.ejection_peak / p.threshold),
            min_ejected, most);
    }
    const double share = health_score(h, p, now) / health_threshold(h, p);
    return static_cast<int>(std::min(at_threshold - 1, at_threshold * share));
}

} // namespace jasminetray
