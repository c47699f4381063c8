// Policies of nodes on hosted VMs, with the changes of an experiment.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Enables the policies for hosted backend servers, then disables mechanisms
/// and scales parameters as the experiment settings say.
void apply_hosted_policies(node_state& n);

} // namespace jasminetray
