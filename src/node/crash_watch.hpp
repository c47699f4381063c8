// Notices that a backend server's process ended while it ran work, and what it
// ran. A closed connection alone is no proof: a sick backend server resets
// connections too, and lives. A refused connection to its address is.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Work was sent to a backend server and its answer is lost. Asks the address
/// whether the process lives, unless that is being asked already.
/// @param id backend server that ran it
/// @param closed the backend server ended the connection; else the work was
///        cancelled by its caller, and is suspect only if the process ends
///        within a moment
void record_lost_work(node_state& n, worker_id id, const string_request& m,
                      bool closed);

/// Another process has taken the place of `w`, which was not draining.
void handle_worker_replaced(node_state& n, local_worker& w);

} // namespace jasminetray
