// Updates of health state; see outlier_cmd.hpp.
#include "outlier/outlier_cmd.hpp"

#include "outlier/outlier_math.hpp"
#include "outlier/outlier_query.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr double rate_weight = 1.0 / 5000; // of an outcome
constexpr double time_weight = 1.0 / 2000; // of an outcome
/// Bounds the evidence, so that it decays soon after a failure that all peers
/// shared. Otherwise the next one is compared over far too long a time: after
/// 6 s of shared failures, 150 s without any did not undo the evidence.
constexpr double max_evidence = 50;
constexpr double min_learned_outcomes = 30;     // for durations
constexpr double excursion_end_share = 0.6;     // of the threshold
constexpr std::uint32_t max_burst_flaps = 2;    // more are no bursts
constexpr span_us flap_ttl = 45 * us_per_s;     // since the last change
constexpr span_us max_burst = 3 * us_per_s / 2; // longer is no burst
constexpr std::uint32_t max_flaps = 6;

void clear(evidence& e, mono_us now)
{
    e = evidence{};
    for (auto& s : e.bank)
        s.since = now;
}

void clear_all(worker_health& h, mono_us now)
{
    clear(h.total, now);
    for (auto& e : h.by_source)
        clear(e, now);
    h.top_value = 0;
}

/// Outcome with the inputs of the likelihood ratios.
struct weighted_outcome
{
    bool failed;
    double above;    ///< ln(took) minus the baseline mean
    double variance; ///< of the baseline
    mono_us now;
};

void add(bank_score& s, double ratio, const weighted_outcome& o)
{
    s.value = std::min(max_evidence, s.value + ratio);
    s.last_increase_at = ratio > 0 ? o.now : s.last_increase_at;
    s.seen += 1;
    s.failed += o.failed ? 1 : 0;
    s.above += o.failed ? 0 : o.above / o.variance;
    s.weight += o.failed ? 0 : 1 / o.variance;
    if (s.value <= 0)
        s = bank_score{0, o.now, o.now, 0, 0, 0, 0};
}

using bank_ratios = std::array<double, alternatives>;

/// Returns the evidence of one outcome for each alternative.
bank_ratios ratios_of(const service_baseline& u, const weighted_outcome& o)
{
    bank_ratios ratios{};
    for (std::size_t n = 0; n < fail_alternatives; ++n) {
        const double rate = alternative_rate(n, u.fail_rate);
        ratios[n] = fail_ratio(o.failed, rate, u.fail_rate);
    }
    for (std::size_t n = 0; n < slow_alternatives; ++n) {
        ratios[fail_alternatives + n] =
            slow_ratio(bank_shifts[n], o.above, o.variance);
    }
    return ratios;
}

void add_outcome(evidence& e, const bank_ratios& ratios,
                 const weighted_outcome& o)
{
    if (!o.failed && o.above < bank_shifts[0] / 2) {
        e.success_times[e.success_next] = o.now;
        e.success_next = (e.success_next + 1) % recent_successes;
    }
    // Failures do not count for the slow alternatives.
    const auto members = o.failed ? fail_alternatives : alternatives;
    for (std::size_t n = 0; n < members; ++n)
        add(e.bank[n], ratios[n], o);
}

void add_recent(worker_health& h, bool failed, double above, mono_us now)
{
    const auto start = now - now % recent_width;
    auto& b =
        h.recent[static_cast<std::size_t>(now / recent_width) % recent_buckets];
    if (b.start != start)
        b = recent_bucket{start, 0, 0, 0};
    b.seen += 1;
    b.failed += failed ? 1 : 0;
    b.above += failed ? 0 : above;
}

/// Updates the stream with the highest score, so that health_check() need not
/// search all of them.
void update_top_source(worker_health& h, std::size_t source)
{
    const double value = strongest(h.by_source[source]).value;
    const bool fell = source == h.top_source && value < h.top_value;
    if (value >= h.top_value || fell) {
        h.top_source = source;
        h.top_value = value;
    }
    if (!fell)
        return;
    for (std::size_t n = 0; n < h.by_source.size(); ++n) {
        const double other = strongest(h.by_source[n]).value;
        if (other > h.top_value) {
            h.top_source = n;
            h.top_value = other;
        }
    }
}

void update_duration_baseline(duration_baseline& t, double log_took)
{
    t.seen += 1;
    const double weight = std::max(1 / t.seen, time_weight);
    const double off = log_took - t.log_mean;
    t.log_mean += weight * off;
    t.median = static_cast<span_us>(std::exp(t.log_mean));
    // Ten virtual samples keep the initial variance wide.
    const double spread = std::max(1 / (t.seen + 10), time_weight);
    t.log_var += spread * (off * off - t.log_var);
}

/// Updates the baseline while the backend server is healthy. Otherwise a slow
/// decline would become the baseline.
void update_baseline(worker_health& h, const outlier_policy& p,
                     const observation& o)
{
    const bool failed = o.kind == outcome_kind::failed;
    double score = 0;
    for (const auto& s : h.total.bank)
        score = std::max(score, s.value);
    auto& t = h.baseline.times[o.route_class % max_route_classes];
    const bool healthy =
        h.state == ejection_state::trusted && score < p.threshold / 3;
    if (healthy)
        h.long_term_failure_rate +=
            rate_weight * ((failed ? 1 : 0) - h.long_term_failure_rate);
    if (!failed && (healthy || t.seen < min_learned_outcomes))
        update_duration_baseline(
            t, std::log(static_cast<double>(std::max<span_us>(1, o.took))));
    h.baseline.fail_rate =
        std::clamp(h.long_term_failure_rate, min_rate, max_rate);
}

/// Records a burst of failures that ended by itself, unless the backend server
/// flaps.
void record_recovered_burst(worker_health& h, span_us span, mono_us now)
{
    if (h.flaps > max_burst_flaps || span > max_burst)
        return;
    h.burst_span = std::max(h.burst_span, span);
    h.burst_seen_at = now;
}

/// Ends an excursion when the evidence is low again. Only one that reached the
/// threshold counts as a burst; lower ones occur by chance.
void update_excursion(worker_health& h, const outlier_policy& p, mono_us now)
{
    if (strongest(h.total).value > excursion_end_share * p.threshold)
        return;
    if (h.excursion_in_progress.reached_at != 0)
        record_recovered_burst(
            h, h.last_fail_at - h.excursion_in_progress.reached_at, now);
    h.excursion_in_progress = excursion{};
}

void add_restore_evidence(worker_health& h, const weighted_outcome& o)
{
    const bool failed = o.failed;
    const double rate = h.baseline.fail_rate;
    double ratio = -fail_ratio(
        failed, std::max(h.ejected_failure_rate, alternative_rate(1, rate)),
        rate);
    if (!failed)
        ratio -= slow_ratio(bank_shifts[0], o.above, o.variance);
    h.return_score = std::max(0.0, h.return_score + ratio);
}

} // namespace

double evidence_threshold(double per_day, double rate)
{
    constexpr double day = 86400;
    const double chances =
        std::max(rate, 0.1) * day * static_cast<double>(alternatives);
    return std::max(5.0, std::log(chances / per_day));
}

void health_record_sent(worker_health& h, const outstanding& o)
{
    h.outstanding_work.push_back(o);
}

void health_record_outcome(worker_health& h, const outlier_policy& p,
                           std::uint64_t key, const observation& o, mono_us now)
{
    const auto it =
        std::find_if(h.outstanding_work.begin(), h.outstanding_work.end(),
                     [key](const outstanding& x) { return x.key == key; });
    if (it != h.outstanding_work.end()) {
        *it = h.outstanding_work.back();
        h.outstanding_work.pop_back();
    }
    if (o.kind == outcome_kind::neutral)
        return;
    const bool failed = o.kind == outcome_kind::failed;
    // Without a duration baseline only failures count.
    const auto& t = h.baseline.times[o.route_class % max_route_classes];
    const bool known = t.seen >= min_learned_outcomes;
    const double above = log_excess(h.baseline, o.route_class, o.took) -
                         cold_start_allowance(h, now);
    const weighted_outcome x{failed, known ? above : 0,
                             baseline_variance(h.baseline, o.route_class), now};
    h.last_fail_at = failed ? now : h.last_fail_at;
    add_recent(h, failed, x.above, now);
    if (h.state == ejection_state::ejected &&
        (h.scope == all_sources || h.scope == o.source))
        add_restore_evidence(h, x);
    const auto ratios = ratios_of(h.baseline, x);
    add_outcome(h.total, ratios, x);
    if (o.source >= h.by_source.size())
        h.by_source.resize(o.source + 1);
    add_outcome(h.by_source[o.source], ratios, x);
    update_top_source(h, o.source);
    const auto wait = health_burst_wait(h, p, now);
    if (h.excursion_in_progress.reached_at != 0 &&
        now >= h.excursion_in_progress.reached_at + wait)
        add_outcome(h.post_wait_evidence, ratios, x);
    update_baseline(h, p, o);
    if (h.state == ejection_state::trusted)
        update_excursion(h, p, now);
}

std::uint32_t health_route_class(worker_health& h, std::uint32_t route,
                                 mono_us now)
{
    auto& all = h.classes;
    const auto assigned =
        std::find_if(all.begin(), all.end(), [&](const auto& x) {
            return x.seen_at != 0 && x.route == route;
        });
    const auto oldest = std::min_element(
        all.begin(), all.end(),
        [](const auto& a, const auto& b) { return a.seen_at < b.seen_at; });
    const auto at = assigned != all.end() ? assigned : oldest;
    const auto index = static_cast<std::size_t>(at - all.begin());
    if (assigned == all.end())
        h.baseline.times[index] = duration_baseline{};
    *at = {route, now};
    return static_cast<std::uint32_t>(index);
}

std::size_t health_mark_overdue(worker_health& h, span_us min_age, mono_us now)
{
    std::size_t marked = 0;
    for (auto& o : h.outstanding_work) {
        const auto bound = is_duration_known(h.baseline, o.route_class)
                               ? overdue_age(h.baseline, o.route_class)
                               : o.target;
        if (o.overdue || now - o.started < std::max(min_age, bound))
            continue;
        o.overdue = true;
        ++marked;
    }
    return marked;
}

outlier_action health_check(worker_health& h, const outlier_policy& p,
                            mono_us now)
{
    if (h.flaps > 0 && now - h.flap_at > flap_ttl) {
        h.flaps = 0;
        h.flap_at = now;
    }
    if (h.state == ejection_state::ejected) {
        const double needed = p.return_evidence + h.flaps;
        const bool due = now >= h.may_return_at && h.return_score >= needed;
        return due ? outlier_action::restore : outlier_action::none;
    }
    const auto s = health_suspicion(h, p, now);
    if (s.score < s.threshold) {
        h.peer_query_wait = 0;
        return outlier_action::none;
    }
    if (h.excursion_in_progress.reached_at == 0) {
        h.excursion_in_progress = {now, s.since};
        clear(h.post_wait_evidence, now);
    }
    if (!health_confirmed(h, p, now))
        return outlier_action::none;
    if (!p.ask_peers)
        return outlier_action::eject;
    if (now - h.peers_asked_at < h.peer_query_wait)
        return outlier_action::none;
    h.peers_asked_at = now;
    return outlier_action::ask_peers;
}

void health_eject(worker_health& h, const outlier_policy& p, mono_us now)
{
    const auto s = health_suspicion(h, p, now);
    h.ejection_peak = std::max(s.score, p.threshold);
    const auto& top = stream_of(h, s.scope).bank[s.index];
    // Half of the observed failure rate, so that a partial recovery does not
    // end the ejection.
    if (top.seen > 0)
        h.ejected_failure_rate =
            std::clamp(top.failed / top.seen / 2, 0.2, 0.5);
    h.state = ejection_state::ejected;
    h.scope = s.scope;
    h.ejected_at = now;
    h.return_score = 0;
    h.flaps = std::min(h.flaps + 1, max_flaps);
    h.flap_at = now;
    const auto duration = p.min_ejection << (h.flaps - 1);
    h.may_return_at = now + std::min(duration, p.max_ejection);
    clear_all(h, now);
}

void health_restore(worker_health& h, const outlier_policy& p, mono_us now)
{
    // A fast recovery is a burst. Without a failure after the ejection its
    // length is estimated by the time before.
    const auto burst = h.last_fail_at > h.ejected_at
                           ? h.last_fail_at - h.excursion_in_progress.reached_at
                           : h.ejected_at - h.excursion_in_progress.since;
    if (p.tolerate_bursts)
        record_recovered_burst(h, burst, now);
    h.state = ejection_state::trusted;
    h.flap_at = now;
    h.scope = all_sources;
    h.excursion_in_progress = excursion{};
    clear_all(h, now);
}

} // namespace jasminetray
