// Early success detection; see early_success_policy.
#pragma once

#include "gate/gate_type.hpp"

namespace jasminetray {

/// Starts to track work that took a slot.
void early_success_begin(gate_worker& w, const gate_limits& l,
                         const recent_work& x);

/// Stops tracking work that ended.
void early_success_end(gate_worker& w, const attempt_id& a);

/// Counts work that outlived failure_estimate_policy::fast_failure_time as
/// successes.
void early_success_check(gate_worker& w, const gate_limits& l, mono_us now);

/// Returns whether successful work was already counted before it ended.
bool is_counted_early(const gate_worker& w, const gate_limits& l, span_us took);

} // namespace jasminetray
