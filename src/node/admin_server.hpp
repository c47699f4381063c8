// HTTP for operators, scrapers and the backend servers of this VM.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Serves one connection until it ends.
void serve_admin(node_state& n, beast::tcp_stream stream, const yield& y);

} // namespace jasminetray
