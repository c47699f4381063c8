// Free slots of a service beside one backend server. Load: one gate's queue is
// late while other backend servers of the service are idle.
#pragma once

#include "balance/balance_type.hpp"

namespace jasminetray {

/// Returns the free slots at the other backend servers that would take any
/// work. Without a recent load report, a backend server counts as full.
double free_slots_elsewhere(const std::vector<candidate>& all,
                            const balance_policy& p, worker_id self,
                            mono_us now);

/// Returns whether a request can go to another backend server than those that
/// it was sent to.
bool has_untried_candidate(const std::vector<candidate>& all,
                           const std::vector<worker_id>& tried);

} // namespace jasminetray
