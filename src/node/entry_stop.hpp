// The entry side of a node that stops: what becomes of the requests that have
// no answer yet.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Answers a node that stops and asks for retries that this one has left.
/// @return false when the connection is of no more use
bool grant_retry_loan(node_state& n, const string_request& m,
                      beast::tcp_stream& to, const yield& y);

/// No request may last beyond `n.last_answer_at`. Tells the exit nodes that
/// have work of these requests, and lets the attempt machines act on it.
void shorten_deadlines(node_state& n);

} // namespace jasminetray
