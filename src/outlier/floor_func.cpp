// Ejection decisions under the capacity floor; see floor_type.hpp.
#include "outlier/floor_type.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

constexpr int min_path_rank = 150; // of an avoided path

bool wants_ejection(const ejection_request& c)
{
    return c.alive &&
           (c.severity >= ejection_severity || c.path_bad || c.forced);
}

/// Returns the priority of a request; higher ones are granted first.
int severity_rank(const ejection_request& c)
{
    return c.path_bad ? std::max(c.severity, min_path_rank) : c.severity;
}

double weight_of(const ejection_request& c)
{
    // From half of the ejection severity on the weight falls linearly to that
    // of a held backend server.
    const double over =
        (c.severity - ejection_severity / 2.0) / (ejection_severity / 2.0);
    return over <= 0 ? 1 : 1 - (1 - held_weight) * std::min(1.0, over);
}

/// Returns the weight of probe traffic, which detects the recovery of an
/// ejected backend server. It grows when the first probes succeed.
double ejected_weight(const ejection_request& c)
{
    if (c.path_bad || c.forced)
        return 0;
    return c.severity <= recovering_severity ? recovering_weight
                                             : ejected_probe_weight;
}

} // namespace

std::vector<ejection_decision>
decide_ejections(const std::vector<ejection_request>& requests, double floor)
{
    std::vector<ejection_decision> decisions;
    std::vector<std::size_t> order;
    double remaining = 0;
    for (std::size_t n = 0; n < requests.size(); ++n) {
        const auto& c = requests[n];
        decisions.push_back({c.id, c.alive ? weight_of(c) : 0, false, false});
        remaining += c.alive ? c.slots : 0;
        if (wants_ejection(c))
            order.push_back(n);
    }
    std::sort(order.begin(), order.end(), [&](auto a, auto b) {
        const auto& x = requests[a];
        const auto& y = requests[b];
        if (x.forced != y.forced)
            return x.forced;
        return severity_rank(x) != severity_rank(y)
                   ? severity_rank(x) > severity_rank(y)
                   : x.id < y.id;
    });
    for (const auto n : order) {
        const auto& c = requests[n];
        if (c.forced || remaining - c.slots >= floor) {
            decisions[n].ejected = true;
            decisions[n].weight = ejected_weight(c);
            remaining -= c.slots;
        } else {
            decisions[n].held = true;
            decisions[n].weight = held_weight;
        }
    }
    return decisions;
}

} // namespace jasminetray
