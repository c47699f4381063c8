// HTTP server for operators, metrics scrapers and the backend servers of this
// VM.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

void serve_admin(node_state& n, beast::tcp_stream stream, const yield& y);

} // namespace jasminetray
