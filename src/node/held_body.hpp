// Heads and bodies of requests that a node holds, within its budget of bytes.
#pragma once

#include "node/body_room.hpp"

namespace jasminetray {

/// Reads a request's head. A long one takes room once it is complete; until
/// then its limit bounds it.
/// @return false when there is none
bool read_held_head(node_state& n, const body_kinds& kinds,
                    beast::tcp_stream& stream, beast::flat_buffer& buf,
                    request_parser& parser, body_room& room,
                    beast::error_code& ec, const yield& y);

/// Room that a body needs to be held whole.
struct body_need
{
    body_kind kind{};
    std::uint64_t bytes = 0;
};

/// Returns what a body needs; nothing when it is to be streamed.
/// @param parser its header is complete, and its body isn't
std::optional<body_need> held_body_need(const node_state& n,
                                        const body_kinds& kinds,
                                        const request_parser& parser);

/// Reads a body into its room, as far as it fits: one without a length may
/// outgrow it. parser.is_done() says whether it was read whole.
void read_held_body(beast::tcp_stream& stream, beast::flat_buffer& buf,
                    request_parser& parser, body_room& room,
                    beast::error_code& ec, const yield& y);

} // namespace jasminetray
