// Assembles a node from its sockets, request thread, actors and RPC server, and
// shuts it down gracefully.
#pragma once

#include "config/node_settings.hpp"

namespace jasminetray {

constexpr int exit_stopped = 0; ///< stopped by a signal
constexpr int exit_listen = 3;  ///< could not open a listening socket

/// Runs a node until SIGTERM or SIGINT. Returns an exit code when it cannot
/// start; otherwise exits the process.
int run_node(const node_settings& s);

} // namespace jasminetray
