// Placement by expected loss; see placement_type.hpp.
#include "balance/placement_type.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jasminetray {

namespace {

/// Below 1, so that the fast ones don't take most of the work while all have
/// room: equal completions give each work in flight by its speed, and so work
/// done by the square of it.
constexpr double speed_exponent = 0.75;

/// Returns the load per slot: the last report, which decays to the baseline,
/// or the own work there when that is higher.
double load_of(const candidate& c, const placement_policy& p,
               const balance_policy& b, mono_us now)
{
    const double age = std::min(1.0, static_cast<double>(now - c.load_at) /
                                         static_cast<double>(b.load_decay));
    const double reported = c.load * (1 - age) + p.baseline_load * age;
    return std::max(reported, c.in_flight / c.slots);
}

bool has_speed(const candidate& c, const placement_policy& p, mono_us now)
{
    return c.speed_at != 0 && now - c.speed_at <= p.speeds.news_ttl;
}

/// Returns whether a candidate has recently reported that it withholds work.
bool would_refuse(const candidate& c, const placement_policy& p, mono_us now)
{
    return c.estimate.suspect && now - c.estimate.at <= p.refusal_memory;
}

/// Returns whether a candidate needs probe traffic: it is ejected, a suspect,
/// or without recent outcomes. Its expected loss is never the lowest, so its
/// recovery would otherwise go unnoticed for 8 to 10 s.
bool wants_probe(const candidate& c, const balance_policy& b, mono_us now)
{
    constexpr double unknown_share = 0.9; // of the stationary probability
    return c.probe_only || c.estimate.suspect ||
           estimate_failure_probability(c.estimate, b.estimate, now) >=
               unknown_share * b.estimate.unhealthy_share;
}

/// Returns whether a trusted candidate is idle and its estimate is stale.
/// Placement prefers recent successes, so it would get no work for seconds in a
/// service with little traffic.
bool is_idle(const candidate& c, const balance_policy& b, mono_us now)
{
    constexpr double stale_share = 0.3; // of the stationary probability
    return !c.estimate.suspect && c.load <= 0 && c.in_flight == 0 &&
           estimate_failure_probability(c.estimate, b.estimate, now) >=
               stale_share * b.estimate.unhealthy_share;
}

bool is_cold(const candidate& c, const placement_policy& p, mono_us now)
{
    return p.cold_starts && now < c.cold_until;
}

/// Returns the mean duration of work at the warm candidates that reported it;
/// 0 without any.
span_us mean_warm_work(const std::vector<candidate>& all,
                       const std::vector<std::size_t>& considered,
                       const placement_policy& p, mono_us now)
{
    span_us sum = 0;
    span_us count = 0;
    for (const auto n : considered) {
        const auto& c = all[n];
        if (c.load_at == 0 || is_cold(c, p, now))
            continue;
        sum += c.work_us;
        ++count;
    }
    return count == 0 ? 0 : sum / count;
}

/// Returns the expected duration of work at a candidate. A cold one has run too
/// little to know it.
span_us expected_work(const candidate& c, const placement_policy& p,
                      const placement_request& r, mono_us now)
{
    if (!is_cold(c, p, now))
        return c.work_us;
    return std::max(c.work_us,
                    static_cast<span_us>(p.cold_slowdown *
                                         static_cast<double>(r.warm_work)));
}

/// Returns by how much longer than elsewhere a request runs at a candidate. The
/// mean covers other routes, so that work may be as long as the target
/// suggests.
double cold_delay(const candidate& c, const placement_policy& p,
                  const placement_request& r, mono_us now)
{
    constexpr double work_per_target = 0.4;
    if (!is_cold(c, p, now))
        return 0;
    const double work =
        std::max(static_cast<double>(r.warm_work),
                 work_per_target * static_cast<double>(r.target));
    return (p.cold_slowdown - 1) * work;
}

/// Returns a random candidate if the draw is within the share of the work.
std::optional<choice> draw_for(const std::vector<std::size_t>& indices,
                               double draw, double share, random_state& rng)
{
    if (indices.empty() || draw >= share)
        return std::nullopt;
    return choice{indices[random_below(rng, indices.size())], 0, 0};
}

/// Chooses a near candidate that needs work to be proven healthy; nothing in
/// most cases.
std::optional<choice> choose_probe_target(
    const std::vector<candidate>& all,
    const std::vector<std::size_t>& considered, const placement_policy& p,
    const balance_policy& b, const placement_request& r,
    const std::vector<worker_id>& tried, random_state& rng, mono_us now)
{
    std::vector<std::size_t> idle;
    std::vector<std::size_t> unproven;
    std::vector<std::size_t> cold;
    for (const auto n : considered) {
        const auto& c = all[n];
        if (!c.near || c.weight <= 0 || c.path_bad || was_tried(tried, c.id))
            continue;
        if (is_cold(c, p, now) && !c.probe_only && !c.estimate.suspect) {
            if (c.load <= 0 && c.in_flight == 0)
                cold.push_back(n);
        } else if (is_idle(c, b, now))
            idle.push_back(n);
        else if (wants_probe(c, b, now))
            unproven.push_back(n);
    }
    const auto share_of = [&p](const auto& targets, double lowest) {
        const double by_count =
            p.probe_share_per_candidate * static_cast<double>(targets.size());
        return std::clamp(by_count, lowest, p.max_probe_share);
    };
    const double draw = random_unit(rng);
    // Idle candidates are trusted, so that no retry is needed to use them.
    if (r.idempotent || r.retryable) {
        const auto c = draw_for(idle, r.idle_draw.value_or(draw),
                                share_of(idle, p.idle_share), rng);
        if (c)
            return c;
    }
    if (!r.retryable)
        return std::nullopt;
    // A read that runs long at a cold one needs a hedge elsewhere. The upper
    // end of the draw is left by the idle ones.
    const double cold_draw = 1 - r.idle_draw.value_or(draw);
    const auto slow = tried.empty()
                          ? draw_for(cold, cold_draw, p.cold_share, rng)
                          : std::nullopt;
    return slow ? slow
                : draw_for(unproven, random_unit(rng),
                           share_of(unproven, p.probe_share), rng);
}

std::vector<std::size_t> indices_of(const std::vector<candidate>& all)
{
    std::vector<std::size_t> indices(all.size());
    std::iota(indices.begin(), indices.end(), 0);
    return indices;
}

/// Returns all candidates, or for placement by completion a random part of
/// many. The part is empty only if hardly any candidate is usable.
std::vector<std::size_t> draw_considered(const std::vector<candidate>& all,
                                         const placement_policy& p,
                                         const std::vector<worker_id>& tried,
                                         random_state& rng)
{
    const auto count = p.speeds.max_near + p.speeds.max_far;
    constexpr std::size_t all_below = 4; // times the count
    constexpr std::size_t max_draws = 8; // times the count
    if (!p.speeds.on || all.size() <= all_below * count)
        return indices_of(all);
    std::vector<std::size_t> drawn;
    std::size_t near = 0;
    std::size_t far = 0;
    drawn.reserve(count);
    for (std::size_t k = 0; k < max_draws * count && drawn.size() < count;
         ++k) {
        const auto n = random_below(rng, all.size());
        const auto& c = all[n];
        auto& have = c.near ? near : far;
        const auto most = c.near ? p.speeds.max_near : p.speeds.max_far;
        if (have >= most || c.weight <= 0 || was_tried(tried, c.id) ||
            std::find(drawn.begin(), drawn.end(), n) != drawn.end())
            continue;
        drawn.push_back(n);
        ++have;
    }
    return drawn;
}

/// Returns the expected loss but for waits and slow work.
double loss_beside_completion(const candidate& c, const placement_policy& p,
                              const balance_policy& b,
                              const placement_request& r, mono_us now)
{
    const double unhealthy =
        estimate_failure_probability(c.estimate, b.estimate, now);
    const double fails = b.estimate.failure_rate_unhealthy * unhealthy;
    return fails * (r.retryable ? p.retry_share : 1) +
           (c.near ? 0 : r.far_loss.value_or(p.far_share)) +
           (c.probe_only ? p.ejected_share : 0) +
           (c.path_bad ? p.path_share : 0);
}

/// Leaves some of the equally good candidates out at random.
void drop_equals(std::vector<std::size_t>& indices,
                 const std::vector<candidate>& all, const placement_policy& p,
                 const balance_policy& b, const placement_request& r,
                 random_state& rng, mono_us now)
{
    if (indices.size() <= p.speeds.max_equals)
        return;
    std::vector<double> losses;
    losses.reserve(indices.size());
    for (const auto n : indices)
        losses.push_back(loss_beside_completion(all[n], p, b, r, now));
    const double bound =
        *std::min_element(losses.begin(), losses.end()) + p.speeds.equal_margin;
    // The equals come first.
    std::size_t equals = 0;
    for (std::size_t k = 0; k < indices.size(); ++k) {
        if (losses[k] > bound)
            continue;
        std::swap(indices[k], indices[equals]);
        std::swap(losses[k], losses[equals]);
        ++equals;
    }
    for (; equals > p.speeds.max_equals; --equals) {
        const auto k = random_below(rng, equals);
        indices[k] = indices[equals - 1];
        indices[equals - 1] = indices.back();
        indices.pop_back();
    }
}

/// Returns the candidate with the lowest expected loss.
/// @param usable indices, of which those that can't be used are left out
std::optional<choice> choose_least_loss(const std::vector<candidate>& all,
                                        std::vector<std::size_t> usable,
                                        const placement_policy& p,
                                        const balance_policy& b,
                                        const placement_request& r,
                                        const std::vector<worker_id>& tried,
                                        random_state& rng, mono_us now)
{
    usable.erase(std::remove_if(usable.begin(), usable.end(),
                                [&](std::size_t n) {
                                    const auto& c = all[n];
                                    return (c.weight <= 0 && !c.path_bad) ||
                                           was_tried(tried, c.id) ||
                                           would_refuse(c, p, now);
                                }),
                 usable.end());
    if (r.by_completion)
        drop_equals(usable, all, p, b, r, rng, now);
    std::optional<choice> best;
    double second = 0;
    for (const auto n : usable) {
        const auto& c = all[n];
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

} // namespace

double expected_completion(const candidate& c, const placement_policy& p,
                           const balance_policy& b, mono_us now)
{
    const bool known = has_speed(c, p, now);
    const double room = known ? slots_up_to_knee(c) : c.slots;
    const double work = load_of(c, p, b, now) * c.slots + 1;
    return std::pow(known ? c.speed : 1, speed_exponent) * work / room;
}

double expected_loss(const candidate& c, const placement_policy& p,
                     const balance_policy& b, const placement_request& r,
                     mono_us now)
{
    const double unhealthy =
        estimate_failure_probability(c.estimate, b.estimate, now);
    const double fails = b.estimate.failure_rate_unhealthy * unhealthy;
    const double load = load_of(c, p, b, now);
    // Work beyond the slots waits; all slots turn over in the time that one
    // piece of work takes.
    const double turns = std::max(0.0, load + 1 / c.slots - 1);
    const auto work = expected_work(c, p, r, now);
    const auto target = static_cast<double>(std::max<span_us>(1, r.target));
    const double wait = turns * static_cast<double>(work) / target +
                        cold_delay(c, p, r, now) / target;
    const double slower =
        r.by_completion ? p.speeds.share * expected_completion(c, p, b, now)
                        : p.busy_share * std::min(1.0, load);
    return fails * (r.retryable ? p.retry_share : 1) +
           (c.near ? 0 : r.far_loss.value_or(p.far_share)) +
           p.late_share * wait + slower + (c.probe_only ? p.ejected_share : 0) +
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
        if (c.weight <= 0 || c.path_bad || !c.estimate.suspect ||
            was_tried(tried, c.id))
            continue;
        const double unhealthy =
            estimate_failure_probability(c.estimate, b.estimate, now);
        if (!best || unhealthy < best->cost)
            best = choice{n, unhealthy, unhealthy};
    }
    return best;
}

std::optional<choice> choose_by_expected_loss(
    const std::vector<candidate>& all, const placement_policy& p,
    const balance_policy& b, placement_request r,
    const std::vector<worker_id>& tried, random_state& rng, mono_us now)
{
    auto considered = draw_considered(all, p, tried, rng);
    r.by_completion =
        p.speeds.on &&
        std::any_of(considered.begin(), considered.end(),
                    [&](std::size_t n) { return has_speed(all[n], p, now); });
    r.warm_work = mean_warm_work(all, considered, p, now);
    const auto probe =
        choose_probe_target(all, considered, p, b, r, tried, rng, now);
    if (probe)
        return probe;
    const bool has_all = considered.size() == all.size();
    const auto best =
        choose_least_loss(all, std::move(considered), p, b, r, tried, rng, now);
    if (best || has_all)
        return best;
    return choose_least_loss(all, indices_of(all), p, b, r, tried, rng, now);
}

} // namespace jasminetray
