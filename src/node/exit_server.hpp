// The exit side of a node: serves requests from entry nodes, admits them
// through the gate and forwards them to the backend servers of this VM.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Serves one connection from an entry node until it closes.
void serve_exit_connection(node_state& n, beast::tcp_stream stream,
                           const yield& y);

/// Assigns free slots to queued work and refuses work that can't end in time.
void advance_gate(node_state& n, worker_id w);

/// Advances the gate of every backend server and drops expired attempt records.
void tick_gate(node_state& n, mono_us now);

/// Revokes an attempt for an entry node. Queued work is refused at once.
/// @param boot process that the entry node sent the attempt to
revoke_reply handle_revoke(node_state& n, const attempt_id& a, boot_id boot);

} // namespace jasminetray
