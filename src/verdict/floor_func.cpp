// Applying claims down to the floor; see floor_type.hpp.
#include "verdict/floor_type.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

constexpr int path_severity = 150; // of a path that does not work at all

bool asks(const ejection_request& c)
{
    return c.alive &&
           (c.severity >= ejection_severity || c.path_bad || c.forced);
}

int rank_of(const ejection_request& c)
{
    return c.path_bad ? std::max(c.severity, path_severity) : c.severity;
}

double weight_of(const ejection_request& c)
{
    // Evidence below the threshold lowers the share before it ejects: half
    // of the way up nothing, then down to the share of a held one.
    const double over =
        (c.severity - ejection_severity / 2.0) / (ejection_severity / 2.0);
    return over <= 0 ? 1 : 1 - (1 - held_weight) * std::min(1.0, over);
}

/// A trickle of real work shows when an ejected one is well again; the more
/// so the better the first of it looks.
double ejected_weight(const ejection_request& c)
{
    if (c.path_bad || c.forced)
        return 0;
    return c.severity <= recovering_severity ? recovering_weight
                                             : ejected_probe_weight;
}

} // namespace

std::vector<ejection_decision>
decide_ejections(const std::vector<ejection_request>& claims, double floor)
{
    std::vector<ejection_decision> applied;
    std::vector<std::size_t> order;
    double left = 0;
    for (std::size_t n = 0; n < claims.size(); ++n) {
        const auto& c = claims[n];
        applied.push_back({c.id, c.alive ? weight_of(c) : 0, false, false});
        left += c.alive ? c.slots : 0;
        if (asks(c))
            order.push_back(n);
    }
    std::sort(order.begin(), order.end(), [&](auto a, auto b) {
        const auto& x = claims[a];
        const auto& y = claims[b];
        if (x.forced != y.forced)
            return x.forced;
        return rank_of(x) != rank_of(y) ? rank_of(x) > rank_of(y) : x.id < y.id;
    });
    for (const auto n : order) {
        const auto& c = claims[n];
        if (c.forced || left - c.slots >= floor) {
            applied[n].ejected = true;
            applied[n].weight = ejected_weight(c);
            left -= c.slots;
        } else {
            applied[n].held = true;
            applied[n].weight = held_weight;
        }
    }
    return applied;
}

} // namespace jasminetray
