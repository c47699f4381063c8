// Reading one request off a caller's connection, within the limits in force.
// Everything after the first byte that cannot be understood is somebody
// else's request to a naive reader; so the connection ends there.
#pragma once

#include "node/entry_refusal.hpp"

namespace jasminetray {

/// What came of reading.
struct caller_read
{
    std::optional<string_request> message; ///< nothing when none is whole
    std::optional<refusal> refused;        ///< to be said, then close
};

/// Reads the next request.
/// @param n limits of its configuration in force
/// @param buf bytes that were read and not used yet
caller_read read_caller(node_state& n, beast::tcp_stream& stream,
                        beast::flat_buffer& buf, const yield& y);

/// Removes fields of one connection only, also those that it names itself.
void strip_connection_fields(http::fields& f);

} // namespace jasminetray
