// Idempotency keys of callers: who may run the request that bears one.
#pragma once

#include "node/entry_refusal.hpp"

namespace jasminetray {

/// What a request's idempotency key demands before its first attempt.
std::optional<refusal> apply_idempotency_key(node_state& n, entry_request& r,
                                             const yield& y);

} // namespace jasminetray
