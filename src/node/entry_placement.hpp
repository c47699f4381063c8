// Selects the backend server of an attempt from the node's view of the fleet.
#pragma once

#include "node/entry_request.hpp"

namespace jasminetray {

/// Returns whether a new attempt may go to a suspect backend server: a failure
/// could be retried within the attempt limit and the retry budget. The state
/// machine already counts the new attempt.
bool can_retry_elsewhere(const entry_request& r);

/// Selects the backend server of an attempt.
/// @return false when no candidate is left
bool select_target(entry_request& r, entry_attempt& t, std::uint32_t count);

} // namespace jasminetray
