// Placing by expected loss; see place_type.hpp.
#include "balance/place_type.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Work at a candidate per slot: what it said last, which fades to what is
/// usual, and never less than what this node has there itself.
double load_of(const candidate& c, const placement_policy& p,
               const balance_policy& b, mono_us now)
{
    const double age = std::min(1.0, static_cast<double>(now - c.load_at) /
                                         static_cast<double>(b.load_decay));
    const double said = c.load * (1 - age) + p.baseline_load * age;
    return std::max(said, c.in_flight / c.slots);
}

/// Whether a candidate would refuse this work for what it has just said.
bool would_refuse(const candidate& c, const placement_policy& p, mono_us now)
{
    return c.doubt.suspect && now - c.doubt.at <= p.refusal_memory;
}

/// Whether work should show how a candidate is: it is a suspect, or nothing
/// has been seen of it for so long that nobody knows, or it was ejected. In a
/// data centre of 20 an ejected one never has the least expected loss; without
/// work on purpose it was well again and idle for 8 to 10 s.
bool wants_probe(const candidate& c, const balance_policy& b, mono_us now)
{
    constexpr double unknown_share = 0.9; // of what is usual
    return c.probe_only || c.doubt.suspect ||
           estimate_failure_probability(c.doubt, b.doubt, now) >=
               unknown_share * b.doubt.unhealthy_share;
}

/// Whether a trusted candidate has had no work for so long that its evidence of
/// health is old. Placing prefers fresher evidence, so in a low-traffic service
/// an idle one would get no work for seconds.
bool is_idle(const candidate& c, const balance_policy& b, mono_us now)
{
    constexpr double stale_share = 0.3; // of what is usual
    return !c.doubt.suspect && c.load <= 0 && c.in_flight == 0 &&
           estimate_failure_probability(c.doubt, b.doubt, now) >=
               stale_share * b.doubt.unhealthy_share;
}

/// One of some candidates at random, for a share of the work.
std::optional<choice> draw_for(const std::vector<std::size_t>& some,
                               double share, random_state& rng)
{
    if (some.empty() || random_unit(rng) >= share)
        return std::nullopt;
    return choice{some[random_below(rng, some.size())], 0, 0};
}

/// A near candidate that gets probe traffic: an idle one, or a suspect; nothing
/// in most cases.
std::optional<choice>
place_probe(const std::vector<candidate>& all, const placement_policy& p,
            const balance_policy& b, const placement_request& r,
            const std::vector<worker_id>& tried, random_state& rng, mono_us now)
{
    if (!r.retryable)
        return std::nullopt;
    std::vector<std::size_t> idle;
    std::vector<std::size_t> unproven;
    for (std::size_t n = 0; n < all.size(); ++n) {
        const auto& c = all[n];
        if (!c.near || c.weight <= 0 || c.path_bad || was_tried(tried, c.id))
            continue;
        if (is_idle(c, b, now))
            idle.push_back(n);
        else if (wants_probe(c, b, now))
            unproven.push_back(n);
    }
    const auto share_of = [&p](const std::vector<std::size_t>& some) {
        const double by_count =
            p.probe_share_per_candidate * static_cast<double>(some.size());
        return std::clamp(by_count, p.probe_share, p.max_probe_share);
    };
    if (const auto c = draw_for(idle, share_of(idle), rng))
        return c;
    return draw_for(unproven, share_of(unproven), rng);
}

} // namespace

double expected_loss(const candidate& c, const placement_policy& p,
                     const balance_policy& b, const placement_request& r,
                     mono_us now)
{
    const double sick = estimate_failure_probability(c.doubt, b.doubt, now);
    const double fails = b.doubt.failure_rate_unhealthy * sick;
    const double load = load_of(c, p, b, now);
    // What is beyond the slots waits; one full turn of all slots takes as
    // long as a piece of work.
    const double turns = std::max(0.0, load + 1 / c.slots - 1);
    const double wait = turns * static_cast<double>(c.work_us) /
                        static_cast<double>(std::max<span_us>(1, r.target));
    return fails * (r.retryable ? p.retry_share : 1) +
           (c.near ? 0 : p.far_share) + p.late_share * wait +
           p.busy_share * std::min(1.0, load) +
           (c.probe_only ? p.ejected_share : 0) +
           (c.path_bad ? p.path_share : 0);
}

std::optional<choice> choose_fallback(const std::vector<candidate>& all,
                                      const balance_policy& b,
                                      const std::vector<worker_id>& tried,
                                      mono_us now)
{
    std::optional<choice> best;
    for (std::size_t n = 0; n < all.size(); ++n) {
        const auto& c = all[n];
        if (c.weight <= 0 || c.path_bad || !c.doubt.suspect ||
            was_tried(tried, c.id))
            continue;
        const double sick = estimate_failure_probability(c.doubt, b.doubt, now);
        if (!best || sick < best->cost)
            best = choice{n, sick, sick};
    }
    return best;
}

std::optional<choice> place(const std::vector<candidate>& all,
                            const placement_policy& p, const balance_policy& b,
                            const placement_request& r,
                            const std::vector<worker_id>& tried,
                            random_state& rng, mono_us now)
{
    auto best = place_probe(all, p, b, r, tried, rng, now);
    if (best)
        return best;
    double second = 0;
    for (std::size_t n = 0; n < all.size(); ++n) {
        const auto& c = all[n];
        if ((c.weight <= 0 && !c.path_bad) || was_tried(tried, c.id) ||
            would_refuse(c, p, now))
            continue;
        const double loss =
            expected_loss(c, p, b, r, now) + p.noise * random_unit(rng);
        if (best && loss >= best->cost) {
            second = std::min(second, loss);
            continue;
        }
        second = best ? best->cost : loss;
        best = choice{n, loss, second};
    }
    if (best)
        best->other_cost = second;
    return best;
}

} // namespace jasminetray
