// Idempotency keys: prevent a repeated request from running twice.
#pragma once

#include "node/entry_refusal.hpp"

namespace jasminetray {

/// Applies a request's idempotency key before the first attempt: pins the
/// request to one backend server or claims the key, as the route is configured.
/// @return a refusal, or nothing when the request may run
std::optional<refusal> apply_idempotency_key(node_state& n, entry_request& r,
                                             const yield& y);

} // namespace jasminetray
