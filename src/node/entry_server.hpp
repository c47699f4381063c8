// The entry side: accepts callers' requests, routes them by the configuration
// in force, and runs the attempt state machine until the final answer.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Serves a caller's connection until it closes.
void serve_caller(node_state& n, beast::tcp_stream connection, const yield& y);

/// Pings avoided paths whose next probe is due.
void probe_avoided_paths(node_state& n, mono_us now);

} // namespace jasminetray
