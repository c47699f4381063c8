// Commands that move evidence; see verdict_cmd.hpp.
#include "verdict/verdict_cmd.hpp"

#include "verdict/verdict_math.hpp"
#include "verdict/verdict_query.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr double base_weight = 1.0 / 5000;   // of one outcome in base_rate
constexpr double time_weight = 1.0 / 2000;   // of one outcome in durations
constexpr double first_outcomes = 30;        // before durations are judged
constexpr double excursion_low = 0.1;        // of the threshold: healed
constexpr double excursion_high = 0.35;      // of the threshold: remembered
constexpr double trim_share = 0.5;           // of the peers, the worst ones
constexpr span_us raise_span = 3 * us_per_s; // peers' rate counts this long
constexpr span_us ask_again = 50 * us_per_ms;
constexpr span_us flap_memory = 600 * us_per_s;
constexpr span_us quick_return = 6 * us_per_s;
constexpr std::uint32_t most_flaps = 6;

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
}

/// One outcome with what is needed to weigh it.
struct weighed
{
    bool failed;
    double above;    ///< ln(took) minus usual
    double variance; ///< usual one
    mono_us now;
};

void add(bank_score& s, double ratio, const weighed& o)
{
    s.value += ratio;
    s.seen += 1;
    s.failed += o.failed ? 1 : 0;
    s.above += o.failed ? 0 : o.above / o.variance;
    s.weight += o.failed ? 0 : 1 / o.variance;
    if (s.value <= 0)
        s = bank_score{0, o.now, 0, 0, 0, 0};
}

void add_outcome(evidence& e, const service_usual& u, const weighed& o)
{
    for (std::size_t n = 0; n < fail_alternatives; ++n) {
        const double rate = alternative_rate(n, u.fail_rate);
        add(e.bank[n], fail_ratio(o.failed, rate, u.fail_rate), o);
    }
    for (std::size_t n = 0; n < slow_alternatives && !o.failed; ++n) {
        add(e.bank[fail_alternatives + n],
            slow_ratio(bank_shifts[n], o.above, o.variance), o);
    }
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

void learn_time(time_usual& t, double log_took)
{
    t.seen += 1;
    const double weight = std::max(1 / t.seen, time_weight);
    const double off = log_took - t.log_mean;
    t.log_mean += weight * off;
    // The first outcomes say little about the spread: start from a wide one.
    const double spread = std::max(1 / (t.seen + 10), time_weight);
    t.log_var += spread * (off * off - t.log_var);
}

/// The long memory moves only while the backend server looks well; else a
/// slow decline would become its own excuse.
void learn_usual(worker_health& h, const verdict_policy& p,
                 const observation& o, mono_us now)
{
    const bool failed = o.kind == outcome_kind::failed;
    double score = 0;
    for (const auto& s : h.total.bank)
        score = std::max(score, s.value);
    auto& t = h.usual.times[o.klass % work_classes];
    const bool well = h.state == standing::trusted && score < p.threshold / 3;
    if (well)
        h.base_rate += base_weight * ((failed ? 1 : 0) - h.base_rate);
    if (!failed && (well || t.seen < first_outcomes))
        learn_time(t,
                   std::log(static_cast<double>(std::max<span_us>(1, o.took))));
    if (now < h.raised_until)
        return;
    h.usual.fail_rate = std::clamp(h.base_rate, least_rate, most_rate);
    h.usual.shift = 0;
}

void remember_burst(worker_health& h, double peak, mono_us now)
{
    h.burst_peak = std::max(h.burst_peak, peak);
    h.burst_at = now;
}

/// A burst of failures that ends by itself says how high evidence can climb
/// without sickness; independent failures rarely get that far.
void follow_excursion(worker_health& h, const verdict_policy& p, mono_us now)
{
    double score = 0;
    for (const auto& s : h.total.bank)
        score = std::max(score, s.value);
    h.excursion = std::max(h.excursion, score);
    if (score > excursion_low * p.threshold)
        return;
    if (h.excursion > excursion_high * p.threshold)
        remember_burst(h, h.excursion, now);
    h.excursion = 0;
}

void add_return(worker_health& h, const weighed& o)
{
    const bool failed = o.failed;
    const double u = h.usual.fail_rate;
    double ratio = -fail_ratio(failed, alternative_rate(1, u), u);
    if (!failed)
        ratio -= slow_ratio(bank_shifts[0], o.above, o.variance);
    h.return_score = std::max(0.0, h.return_score + ratio);
}

} // namespace

double threshold_for(double per_day, double rate)
{
    constexpr double day = 86400;
    const double chances =
        std::max(rate, 0.1) * day * static_cast<double>(alternatives);
    return std::max(5.0, std::log(chances / per_day));
}

void health_sent(worker_health& h, const outstanding& o)
{
    h.open.push_back(o);
}

void health_seen(worker_health& h, const verdict_policy& p, std::uint64_t key,
                 const observation& o, mono_us now)
{
    const auto it =
        std::find_if(h.open.begin(), h.open.end(),
                     [key](const outstanding& x) { return x.key == key; });
    if (it != h.open.end()) {
        *it = h.open.back();
        h.open.pop_back();
    }
    if (o.kind == outcome_kind::neutral)
        return;
    const bool failed = o.kind == outcome_kind::failed;
    // Durations count once a few were seen; until then only failures do.
    const auto& t = h.usual.times[o.klass % work_classes];
    const bool known = t.seen >= first_outcomes;
    const weighed x{failed, known ? above_usual(h.usual, o.klass, o.took) : 0,
                    usual_variance(h.usual, o.klass), now};
    add_recent(h, failed, x.above, now);
    if (h.state == standing::ejected &&
        (h.scope == all_sources || h.scope == o.source))
        add_return(h, x);
    add_outcome(h.total, h.usual, x);
    if (o.source >= h.by_source.size())
        h.by_source.resize(o.source + 1);
    add_outcome(h.by_source[o.source], h.usual, x);
    learn_usual(h, p, o, now);
    if (h.state == standing::trusted)
        follow_excursion(h, p, now);
}

verdict_step health_check(worker_health& h, const verdict_policy& p,
                          mono_us now)
{
    if (h.flaps > 0 && now - h.flap_at > flap_memory) {
        h.flaps = 0;
        h.flap_at = now;
    }
    if (h.state == standing::ejected) {
        const double needed = p.return_evidence + h.flaps;
        const bool due = now >= h.may_return_at && h.return_score >= needed;
        return due ? verdict_step::restore : verdict_step::none;
    }
    if (health_score(h, p, now) < health_threshold(h, p, now))
        return verdict_step::none;
    if (!p.ask_peers)
        return verdict_step::eject;
    if (now - h.asked_at < ask_again)
        return verdict_step::none;
    h.asked_at = now;
    return verdict_step::ask_peers;
}

namespace {

/// Peers in order of how well they look, the worst ones left out, so that a
/// bad release on half of them does not become the usual.
peer_report pool_best(std::vector<peer_report> reports, bool by_time)
{
    const auto key = [by_time](const peer_report& r) {
        const double good = r.seen - r.failed;
        return by_time ? (good > 0 ? r.above / good : 0) : r.failed / r.seen;
    };
    std::sort(reports.begin(), reports.end(),
              [&](const auto& a, const auto& b) { return key(a) < key(b); });
    const auto kept = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(
               (1 - trim_share) * static_cast<double>(reports.size()))));
    peer_report sum;
    for (std::size_t n = 0; n < std::min(kept, reports.size()); ++n) {
        sum.seen += reports[n].seen;
        sum.failed += reports[n].failed;
        sum.above += reports[n].above;
    }
    return sum;
}

/// The bank's best score against another usual, from its own sums.
double rescore(const worker_health& h, const verdict_policy& p,
               const service_usual& u, double mean_shift, mono_us now)
{
    double best = 0;
    for (std::size_t n = 0; n < alternatives; ++n) {
        const auto& s = h.total.bank[n];
        double score = 0;
        if (n < fail_alternatives) {
            const double rate = alternative_rate(n, u.fail_rate);
            score = s.failed * fail_ratio(true, rate, u.fail_rate) +
                    (s.seen - s.failed) * fail_ratio(false, rate, u.fail_rate);
            for (const auto& o : h.open) {
                if (p.watch_silence)
                    score += silence_ratio(u, rate, o.klass, now - o.started);
            }
        } else {
            const double d = bank_shifts[n - fail_alternatives];
            score = std::min(s.value, d * (s.above - mean_shift * s.weight) -
                                          d * d / 2 * s.weight);
        }
        best = std::max(best, score);
    }
    return best;
}

} // namespace

verdict_step health_judge(worker_health& h, const verdict_policy& p,
                          const std::vector<peer_report>& reports, mono_us now)
{
    std::vector<peer_report> heard;
    for (const auto& r : reports) {
        if (r.seen > 0)
            heard.push_back(r);
    }
    if (heard.empty())
        return verdict_step::eject; // alone: nothing to compare with
    const auto fails = pool_best(heard, false);
    const auto times = pool_best(heard, true);
    const double good = times.seen - times.failed;
    service_usual u = h.usual;
    // Half a failure more than was seen: few outcomes prove little.
    u.fail_rate = std::clamp(
        std::max(h.usual.fail_rate,
                 fails.failed > 0 ? (fails.failed + 0.5) / (fails.seen + 1)
                                  : h.usual.fail_rate),
        least_rate, most_rate);
    const double shift = good > 0 ? std::max(0.0, times.above / good) : 0;
    u.shift += shift;
    if (rescore(h, p, u, shift, now) >= health_threshold(h, p, now))
        return verdict_step::eject;
    h.usual = u;
    h.raised_until = now + raise_span;
    h.excursion = 0;
    clear_all(h, now);
    return verdict_step::hold;
}

void health_eject(worker_health& h, const verdict_policy& p,
                  std::uint32_t scope, mono_us now)
{
    h.peak = std::max(health_score(h, p, now), p.threshold);
    h.state = standing::ejected;
    h.scope = scope;
    h.ejected_at = now;
    h.return_score = 0;
    h.flaps = std::min(h.flaps + 1, most_flaps);
    h.flap_at = now;
    const auto out = p.least_out << (h.flaps - 1);
    h.may_return_at = now + std::min(out, p.most_out);
    clear_all(h, now);
}

void health_restore(worker_health& h, const verdict_policy& p, mono_us now)
{
    // Well again as soon as it could be looked at: it was a burst.
    if (p.learn_bursts && now - h.ejected_at < quick_return)
        remember_burst(h, h.peak, now);
    h.state = standing::trusted;
    h.scope = all_sources;
    h.excursion = 0;
    clear_all(h, now);
}

} // namespace jasminetray
