// Power of two choices; see balance_type.hpp.
#include "balance/balance_type.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Returns the weight of each candidate; 0 for those that are not usable.
std::vector<double> usable_weights(const std::vector<candidate>& all,
                                   const balance_policy& p, bool idempotent,
                                   const std::vector<worker_id>& tried,
                                   mono_us now)
{
    std::vector<double> weights(all.size(), 0);
    for (std::size_t n = 0; n < all.size(); ++n) {
        const auto& c = all[n];
        const bool usable =
            (!c.probe_only || idempotent) && !was_tried(tried, c.id);
        if (usable)
            weights[n] = ramped_weight(c, p, now) * c.slots;
    }
    return weights;
}

/// Draws a random index in proportion to the weights.
std::size_t draw(const std::vector<double>& weights, double sum,
                 random_state& rng)
{
    double at = random_unit(rng) * sum;
    std::size_t last = 0;
    for (std::size_t n = 0; n < weights.size(); ++n) {
        if (weights[n] <= 0)
            continue;
        last = n;
        at -= weights[n];
        if (at < 0)
            break;
    }
    return last;
}

} // namespace

bool was_tried(const std::vector<worker_id>& tried, worker_id id)
{
    return std::find(tried.begin(), tried.end(), id) != tried.end();
}

double ramped_weight(const candidate& c, const balance_policy& p, mono_us now)
{
    const auto age = now - c.first_seen_at;
    if (age >= p.ramp)
        return c.weight;
    const double share = static_cast<double>(age) / static_cast<double>(p.ramp);
    return c.weight * (p.ramp_start + (1 - p.ramp_start) * share);
}

double slots_up_to_knee(const candidate& c)
{
    return c.knee > 0 ? std::min<double>(c.knee, c.slots) : c.slots;
}

double cost_of(const candidate& c, const balance_policy& p, mono_us now)
{
    const double age = static_cast<double>(now - c.load_at) /
                       static_cast<double>(p.load_decay);
    const double load = age < 1 ? c.load * (1 - age) : 0;
    const double own = c.in_flight / c.slots;
    return std::max(load, own) + (c.near ? 0 : p.far_cost);
}

std::optional<choice> choose_worker(const std::vector<candidate>& all,
                                    const balance_policy& p, bool idempotent,
                                    const std::vector<worker_id>& tried,
                                    random_state& rng, mono_us now)
{
    auto weights = usable_weights(all, p, idempotent, tried, now);
    double sum = 0;
    for (const double w : weights)
        sum += w;
    if (sum <= 0)
        return std::nullopt;
    const auto first = draw(weights, sum, rng);
    const double first_cost = cost_of(all[first], p, now);
    // Probe traffic to an ejected backend server bypasses the comparison: it
    // is idle and would always win or always lose.
    const double rest = sum - weights[first];
    if (all[first].probe_only || rest <= 0)
        return choice{first, first_cost, first_cost};
    weights[first] = 0;
    const auto second = draw(weights, rest, rng);
    const double second_cost = cost_of(all[second], p, now);
    if (all[second].probe_only || first_cost <= second_cost)
        return choice{first, first_cost, second_cost};
    return choice{second, second_cost, first_cost};
}

std::optional<std::size_t> rendezvous_worker(const std::vector<candidate>& all,
                                             std::uint64_t key)
{
    std::optional<std::size_t> best;
    std::uint64_t best_rank = 0;
    for (std::size_t n = 0; n < all.size(); ++n) {
        if (all[n].weight <= 0 || all[n].probe_only)
            continue;
        const auto rank = mix_hash(key, static_cast<std::uint64_t>(all[n].id));
        if (!best || rank > best_rank) {
            best = n;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace jasminetray
