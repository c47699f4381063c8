// Order between teams in the queue of a backend server. Load: one team sends
// several times its usual rate to a service that is nearly full, and the others
// would wait behind its requests. The team's owner node counts what it uses in
// the whole fleet, so a gate needs no memory of teams, and a large team that
// keeps to its rate loses nothing.
#pragma once

#include "base/time_type.hpp"

namespace jasminetray {

struct fair_queue_policy
{
    bool on = false;
    /// Pressure up to which requests keep their place: short bursts of small
    /// teams reach it.
    double usual_pressure = 0.5;
    /// By how much later a request is ordered for each further share of its
    /// team's rate that is in use.
    span_us delay_per_pressure = 2 * us_per_s;
    /// Maximum of it. No request waits for others that arrived this much later.
    span_us max_delay = 4 * us_per_s;
};

/// Returns by how much later than its arrival a request is ordered. With free
/// slots the order decides nothing, so that no team is held back.
/// @param pressure share of its rate that its team used; 0 if unknown
span_us fair_queue_delay(const fair_queue_policy& p, double pressure);

} // namespace jasminetray
