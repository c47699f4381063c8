// Who sends the messages that a node reads, and the log of those that are
// longer than their limits.
#pragma once

#include "base/names_type.hpp"
#include "node/http_type.hpp"

namespace jasminetray {

struct node_state;

enum class message_side : std::uint8_t
{
    caller,
    node, ///< another node of the fleet
    backend_server,
    platform, ///< check-ins and questions about readiness
    administration,
};

inline constexpr std::array<std::string_view, 5> message_side_names = {
    "caller", "node", "backend-server", "platform", "administration"};

/// Logs a read that ended because a part of the message exceeds its limit; does
/// nothing about other errors.
/// @param buf holds what wasn't parsed
void log_too_long(node_state& n, message_side side, const beast::error_code& ec,
                  const message_limits& limits, const beast::flat_buffer& buf);

/// Does the same, and logs a read that ended because the bytes are no answer.
/// @param subject the request that is answered
void log_unreadable(node_state& n, message_side side,
                    const beast::error_code& ec, const message_limits& limits,
                    const beast::flat_buffer& buf, const std::string& subject);

} // namespace jasminetray
