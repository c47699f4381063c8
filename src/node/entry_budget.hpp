// The node's retry budgets, one per service.
#pragma once

#include "limit/limit_type.hpp"
#include "node/node_state.hpp"

namespace jasminetray {

/// Returns the retry budget of a service, adjusted to this node's part of the
/// fleet's allowance or to the service's configuration.
retry_budget& current_retry_budget(node_state& n, const service_config& c);

} // namespace jasminetray
