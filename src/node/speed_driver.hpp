// Speeds of backend servers: measures those of this VM, tells them with load
// reports, and takes over those of others.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Measures a backend server of this VM again if that is due, logs changes of
/// its class and its knee, and returns what the next load report tells.
told_speed tell_speed(node_state& n, local_worker& w, mono_us now);

/// Takes over the speed in a load report of another node.
void apply_told_speed(node_state& n, candidate& c, const load_report& l,
                      mono_us now);

} // namespace jasminetray
