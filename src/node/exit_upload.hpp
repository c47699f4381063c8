// Large bodies at the exit side. The entry node sends the head of the request
// alone; the body is asked for once the gate has admitted the work and its
// backend server has taken the connection.
#pragma once

#include "node/body_relay.hpp"

namespace jasminetray {

/// Body that the entry node is to send. It lives as long as the request's
/// coroutine, which alone reads it.
struct arriving_upload
{
    beast::tcp_stream& entry;
    beast::flat_buffer& buf;
    request_parser& parser; ///< its header is complete
    body_room room{};       ///< of its window
    bool begun = false;     ///< it was asked for
    bool cut = false;       ///< the backend server didn't get all of it
    bool source_failed = false;
    std::uint64_t sent = 0; ///< bytes that went to the backend server
    span_us took = 0;
};

/// Asks for the body and streams it to a backend server.
/// @param head of the request to the backend server
/// @param ec set when no answer is to be read
/// @return bytes sent, with the head; 0 when nothing can have started
std::size_t forward_upload(arriving_upload& u, http_connection& to,
                           const http::request_header<>& head,
                           beast::error_code& ec, const yield& y);

/// Reads past the rest of a body after its answer, so that the close doesn't
/// overtake the answer.
void end_upload(arriving_upload& u, const yield& y);

} // namespace jasminetray
