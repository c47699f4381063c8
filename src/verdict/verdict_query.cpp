// Questions about evidence; see verdict_query.hpp.
#include "verdict/verdict_query.hpp"

#include "verdict/verdict_math.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr double flap_discount = 1.5;   // nats per recent ejection
constexpr double least_share = 0.6;     // of the threshold, after flaps
constexpr double burst_margin = 1.25;   // over the highest healed burst
constexpr double most_burst_factor = 3; // of the policy's threshold
constexpr span_us burst_memory = 3600 * us_per_s;

/// Score of one stream: its bank plus what outstanding work already says.
double stream_score(const worker_health& h, const evidence& e,
                    const verdict_policy& p, std::uint32_t source, mono_us now)
{
    double best = 0;
    for (std::size_t n = 0; n < fail_alternatives; ++n) {
        double score = e.bank[n].value;
        const double rate = alternative_rate(n, h.usual.fail_rate);
        for (const auto& o : h.open) {
            if (!p.watch_silence)
                break;
            if (source == all_sources || o.source == source)
                score += silence_ratio(h.usual, rate, o.klass, now - o.started);
        }
        best = std::max(best, score);
    }
    for (std::size_t n = fail_alternatives; n < alternatives; ++n)
        best = std::max(best, e.bank[n].value);
    return best;
}

const bank_score& strongest(const evidence& e)
{
    return *std::max_element(
        e.bank.begin(), e.bank.end(),
        [](const auto& a, const auto& b) { return a.value < b.value; });
}

} // namespace

double health_score(const worker_health& h, const verdict_policy& p,
                    mono_us now)
{
    return stream_score(h, h.total, p, all_sources, now);
}

double health_threshold(const worker_health& h, const verdict_policy& p,
                        mono_us now)
{
    const double flapped = p.threshold - flap_discount * h.flaps;
    double t = std::max(flapped, least_share * p.threshold);
    if (p.learn_bursts && h.burst_peak > 0 && now - h.burst_at < burst_memory)
        t = std::max(t, std::min(burst_margin * h.burst_peak,
                                 most_burst_factor * p.threshold));
    return t;
}

std::uint32_t health_scope(const worker_health& h, const verdict_policy& p,
                           mono_us now)
{
    if (!p.split_sources)
        return all_sources;
    const double full = health_threshold(h, p, now);
    std::uint32_t bad = all_sources;
    for (std::uint32_t n = 0; n < h.by_source.size(); ++n) {
        const double score = stream_score(h, h.by_source[n], p, n, now);
        if (score < full / 4)
            continue;
        if (bad != all_sources)
            return all_sources; // two streams look bad: it is the server
        bad = n;
    }
    if (bad == all_sources)
        return all_sources;
    // The others must have been heard in the same time, or their silence
    // would be taken for health.
    const auto since = strongest(h.by_source[bad]).since;
    double others = 0;
    for (std::uint32_t n = 0; n < h.by_source.size(); ++n) {
        if (n != bad && strongest(h.by_source[n]).value < 1)
            others += h.by_source[n].bank[0].since >= since
                          ? h.by_source[n].bank[0].seen + 1
                          : h.by_source[n].bank[0].seen;
    }
    return others >= 1 ? bad : all_sources;
}

mono_us health_since(const worker_health& h, mono_us now)
{
    mono_us since =
        strongest(h.total).value > 0 ? strongest(h.total).since : now;
    for (const auto& o : h.open)
        since = std::min(since, o.started);
    return since;
}

peer_report health_report(const worker_health& h, mono_us since)
{
    peer_report r;
    for (const auto& b : h.recent) {
        if (b.start == 0 || b.start + recent_width <= since)
            continue;
        r.seen += b.seen;
        r.failed += b.failed;
        r.above += b.above;
    }
    return r;
}

int health_severity(const worker_health& h, const verdict_policy& p,
                    mono_us now)
{
    constexpr double at_threshold = 100;
    constexpr int most = 250; // above it speak operators
    if (h.state == standing::ejected)
        return std::clamp(static_cast<int>(at_threshold * h.peak / p.threshold),
                          static_cast<int>(at_threshold), most);
    const double share = health_score(h, p, now) / health_threshold(h, p, now);
    return static_cast<int>(std::min(at_threshold - 1, at_threshold * share));
}

} // namespace jasminetray
