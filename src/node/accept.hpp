// Accepts connections and starts their coroutines. Guards against a lack of
// memory: connections that others open in any number take what is left over.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

using serve_function = void (*)(node_state&, beast::tcp_stream, const yield&);

enum class listener_use
{
    callers,
    nodes,
    control, ///< the platform and operators, who must be heard
};

/// Accepts connections until the acceptor is closed.
void accept_connections(node_state& n, tcp::acceptor& a, serve_function serve,
                        listener_use use);

} // namespace jasminetray
