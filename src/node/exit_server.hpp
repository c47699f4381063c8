// The exit side: takes work from entry nodes, asks the gate, and is the only
// process that sends anything to the backend servers of its VM.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Serves one connection of an entry node until it ends.
void serve_exit_connection(node_state& n, beast::tcp_stream stream,
                           const yield& y);

/// Gives out slots that became free and refuses queued work that is late.
void advance_gate(node_state& n, worker_id w);

/// Does what is due at the gate: queued work, old records.
void tick_gate(node_state& n, mono_us now);

/// Answers an entry node's revoke.
revoke_reply handle_revoke(node_state& n, const attempt_id& a, boot_id boot);

} // namespace jasminetray
