// Short questions to another node's exit side, over its work connections.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Sends a question and waits for the answer. A kept connection may have been
/// forgotten meanwhile, so a new one follows it.
/// @param text gives the question; called for each connection, as times in it
///        run on
/// @return the answer's hop field, empty when it has none; nothing without an
///         answer in time
std::optional<std::string>
send_peer_request(node_state& n, node_id to, const node_address& at,
                  const char* path, const std::function<std::string()>& text,
                  mono_us deadline, const yield& y);

/// Answers such a question.
/// @param text for the hop field; empty for none
/// @return false when the connection is of no more use
bool send_peer_reply(beast::tcp_stream& to, const std::string& text,
                     const yield& y);

} // namespace jasminetray
