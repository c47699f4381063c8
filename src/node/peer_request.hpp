// Short requests to another node's exit side, over its work connections.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Sends a request on a connection and waits for the reply.
/// @param text the request's hop field; empty for none
/// @return the reply's hop field, or nothing when there was no reply in time;
///         the connection can't be used again then
std::optional<std::string>
exchange_messages(node_state& n, http_connection& link, const char* path,
                  const std::string& text, mono_us deadline, const yield& y);

/// Sends a request and waits for the reply. When an idle connection fails, the
/// request is sent again on a new one.
/// @param text returns the request's hop field; called once per connection, as
///        the field may hold remaining times
/// @return the reply's hop field, or nothing after the deadline
std::optional<std::string>
send_peer_request(node_state& n, node_id to, const node_address& at,
                  const char* path, const std::function<std::string()>& text,
                  mono_us deadline, const yield& y);

/// Sends the reply to such a request.
/// @param text hop field; empty for none
/// @return false when the connection can't be used again
bool send_peer_reply(beast::tcp_stream& to, const std::string& text,
                     const yield& y);

} // namespace jasminetray
