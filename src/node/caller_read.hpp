// Reads requests from a caller's connection within the configured limits. The
// connection closes after a parse error, as framing is lost from there on and
// the remaining bytes could pass for another request.
#pragma once

#include "node/entry_refusal.hpp"
#include "node/entry_upload.hpp"
#include "node/open_call.hpp"

namespace jasminetray {

/// Result of reading; the first two are empty when the caller disconnected.
struct read_result
{
    /// A complete request, or the head of one whose body is an upload.
    std::optional<string_request> message;
    body_room head_room;                   ///< of the message's head
    body_room room;                        ///< of a complete request's body
    std::shared_ptr<caller_upload> upload; ///< null for a complete request
    std::optional<refusal> refused;        ///< sent before closing
    std::optional<open_call> open; ///< set from the first byte of a request
};

/// Reads the next request.
/// @param n provides the limits of the configuration in force
read_result read_caller(node_state& n, const std::shared_ptr<caller_link>& link,
                        const yield& y);

/// Removes hop-by-hop header fields, including those that the Connection field
/// lists.
void strip_connection_fields(http::fields& f);

} // namespace jasminetray
