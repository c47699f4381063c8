// The entry side of a node that stops: what becomes of the requests that have
// no answer yet.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// No request may last beyond `n.last_answer_at`. Tells the exit nodes that
/// have work of these requests, and lets the attempt machines act on it.
void shorten_requests(node_state& n);

} // namespace jasminetray
