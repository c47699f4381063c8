// The entry side: takes callers' requests, routes them by the configuration
// in force, and drives the attempt machine until each has its final answer.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Serves one connection of a caller until it ends.
void serve_caller(node_state& n, beast::tcp_stream stream, const yield& y);

/// Pings avoided paths whose time has come.
void probe_avoided_paths(node_state& n, mono_us now);

} // namespace jasminetray
