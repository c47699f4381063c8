// Puts a node together: sockets, request thread, actors, RPC; and takes it
// down without cutting work in flight.
#pragma once

#include "config/node_settings.hpp"

namespace jasminetray {

constexpr int exit_stopped = 0; ///< stopped as asked
constexpr int exit_listen = 3;  ///< could not listen

/// Runs a node until SIGTERM or SIGINT; gives the exit code.
int run_node(const node_settings& s);

} // namespace jasminetray
