// Graceful shutdown of the entry side: deadlines and retries of open requests.
#pragma once

#include "node/entry_request.hpp"

namespace jasminetray {

/// Limits the deadlines of open requests to `n.last_answer_at`, notifies the
/// exit nodes that run their attempts, and borrows retries from other nodes.
void shorten_deadlines(node_state& n);

/// Schedules the hedge of a request that arrived while the node stops, after
/// its first attempt was sent.
void schedule_stop_hedge(entry_request& r);

} // namespace jasminetray
