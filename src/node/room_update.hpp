// Room at the other backend servers of a service, for work at a gate of this
// VM.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Counts the free slots at a service's other backend servers, if they decide
/// about work here.
void update_room_elsewhere(node_state& n, worker_id id);

} // namespace jasminetray
