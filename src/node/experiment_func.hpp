// The policies of a hosted node, and what an experiment changes in them.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Turns on what is known of backend servers that the platform hosts, then
/// turns off and scales what the settings' experiment names.
void apply_hosted_policies(node_state& n);

} // namespace jasminetray
