// Sizes of answers and the cost of carrying them; see carried_bytes.hpp.
#include "balance/carried_bytes.hpp"

#include <algorithm>
#include <cmath>

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
    const auto it = c.index.find(route);
    if (it != c.index.end()) {
        c.routes.splice(c.routes.begin(), c.routes, it->second);
    } else {
        // Bounds memory: configurations add and remove routes for the lifetime
        // of the process.
        if (c.routes.size() >= c.policy.max_routes) {
            c.index.erase(c.routes.back().route);
            c.routes.pop_back();
        }
        c.routes.push_front({route, 0, 0, now});
        c.index[route] = c.routes.begin();
    }
    auto& x = c.routes.front();
    const auto age = static_cast<double>(std::max<span_us>(0, now - x.at));
    const double kept =
        std::exp2(-age / static_cast<double>(c.policy.half_life));
    x.weight = x.weight * kept + 1;
    x.sum = x.sum * kept + std::clamp(bytes, 0.0, max_answer_bytes);
    x.at = now;
}

double expected_bytes(const carried_bytes& c, std::uint64_t route,
                      bool large_answers, double request_bytes)
{
    const auto it = c.index.find(route);
    double answer = large_answers ? c.policy.large_answer : 0;
    if (it != c.index.end())
        answer = it->second->sum / it->second->weight;
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
