// News for the request thread: other nodes' records, and configurations.
#pragma once

#include "node/control.hpp"
#include "node/node_state.hpp"

namespace jasminetray {

/// Takes other nodes' records and liveness into the view of the fleet.
void apply_member_updates(node_state& n,
                          const std::vector<member_update>& news);

/// Brings a configuration into force, unless a higher one is.
void apply_config(node_state& n, std::shared_ptr<const fleet_config> c);

} // namespace jasminetray
