// Hedges of the entry side: feeds the learned policy (attempt/hedge_policy)
// and borrows retries for hedges that this node's part of the allowance denies.
#pragma once

#include "attempt/attempt_func.hpp"
#include "node/entry_request.hpp"

namespace jasminetray {

/// Sets when a chosen attempt will be hedged.
/// @param count number of the attempt
void set_hedge_delay(entry_request& r, const entry_attempt& t,
                     std::uint32_t count);

/// Processes one event of a request under the hedge policy in force, and learns
/// from its outcome.
std::vector<attempt_action>
step_request(const std::shared_ptr<entry_request>& r, const attempt_event& e,
             retry_budget& budget);

} // namespace jasminetray
