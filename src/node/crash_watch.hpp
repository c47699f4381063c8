// Detects crashes of backend servers and the requests that they ran. A closed
// connection alone is no proof, as an unhealthy process resets connections too;
// a refused connection to its address is.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Records a request whose answer is lost. When the backend server closed the
/// connection, checks whether its process has ended, one check at a time.
/// @param closed false when the caller cancelled the request
void record_lost_work(node_state& n, worker_id id, const string_request& m,
                      bool closed);

/// Reports a crash of `w` when another process replaces it, unless it drained.
void handle_worker_replaced(node_state& n, local_worker& w);

} // namespace jasminetray
