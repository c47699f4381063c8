// Sizes of answers and the cost of carrying them; see carried_bytes.hpp.
#include "balance/carried_bytes.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

constexpr double max_answer_bytes = 1e9;

} // namespace

double byte_cost_in_force(std::optional<double> setting, bool has_large_answers)
{
    return setting.value_or(has_large_answers ? default_byte_cost : 0);
}

void add_answer_bytes(carried_bytes& c, std::uint64_t route, double bytes,
                      mono_us now)
{
    auto& x = use_route(c, route, c.policy.max_routes, now);
    const double kept = kept_share(x.at, c.policy.half_life, now);
    x.weight = x.weight * kept + 1;
    x.sum = x.sum * kept + std::clamp(bytes, 0.0, max_answer_bytes);
    x.at = now;
}

double expected_bytes(const carried_bytes& c, std::uint64_t route,
                      bool large_answers, double request_bytes)
{
    const auto* x = find_route(c, route);
    double answer = large_answers ? c.policy.large_answer : 0;
    if (x != nullptr)
        answer = x->sum / x->weight;
    return c.policy.head_bytes + request_bytes + answer;
}

double crossing_loss(const carrying_cost& c, double bytes, std::size_t tries)
{
    constexpr std::size_t max_near_tries = 2;
    constexpr double bytes_per_kb = 1000;
    if (tries >= max_near_tries)
        return c.least;
    return std::clamp(c.per_kb * bytes / bytes_per_kb, c.least,
                      std::max(c.least, c.most));
}

} // namespace jasminetray
