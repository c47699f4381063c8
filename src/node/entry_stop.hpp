// Graceful shutdown of the entry side: deadlines and retries of open requests.
#pragma once

#include "node/entry_request.hpp"

namespace jasminetray {

/// Grants retries of this node's budget to a node that is stopping.
/// @return false when the connection cannot be reused
bool grant_retry_loan(node_state& n, const string_request& m,
                      beast::tcp_stream& to, const yield& y);

/// Limits the deadlines of open requests to `n.last_answer_at`, notifies the
/// exit nodes that run their attempts, and borrows retries from other nodes.
void shorten_deadlines(node_state& n);

/// Schedules the hedge of a request that arrived while the node stops, after
/// its first attempt was sent.
void schedule_stop_hedge(entry_request& r);

} // namespace jasminetray
