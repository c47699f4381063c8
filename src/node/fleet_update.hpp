// Applies changes from the control actors on the request thread: records of
// other nodes, and configurations.
#pragma once

#include "node/control.hpp"
#include "node/node_state.hpp"

namespace jasminetray {

/// Updates the fleet view with records and liveness of other nodes, and decides
/// the ejections that they affect.
void apply_member_updates(node_state& n,
                          const std::vector<member_update>& updates);

/// Brings a configuration into force, unless the version in force is the same
/// or newer.
void apply_config(node_state& n, std::shared_ptr<const fleet_config> c);

} // namespace jasminetray
