// Streams the body of a request from one connection to the next, one window at
// a time: a body of any size takes the memory of one window at each node.
#pragma once

#include "node/body_room.hpp"

namespace jasminetray {

/// Longest time for a caller to send a body.
inline constexpr span_us body_timeout = 30 * us_per_s;

/// Refusal reason: no room in the budget for bodies.
inline constexpr char body_memory_reason[] = "body-memory";

enum class relay_end : std::uint8_t
{
    whole,         ///< all was sent
    source_failed, ///< the source closed, or sent something malformed
    source_slow,   ///< the source took longer than body_timeout
    sink_failed,   ///< the receiver closed
    sink_slow,     ///< the receiver didn't take it within body_timeout
    sink_answered, ///< it sent something before it had the whole body, or
                   ///< closed
    stopped,       ///< by stop_relay()
};

inline constexpr std::array<std::string_view, 7> relay_end_names = {
    "whole",     "source-failed", "source-slow", "sink-failed",
    "sink-slow", "sink-answered", "stopped"};

/// One body on its way. Handlers of the I/O library share it, so that it may
/// outlive the coroutine; they use the references only while it is active.
struct body_relay : std::enable_shared_from_this<body_relay>
{
    body_relay(beast::tcp_stream& source, beast::flat_buffer& source_buffer,
               request_parser& p, http_connection& sink, body_room& window)
        : from(source), from_buffer(source_buffer), parser(p), to(sink),
          room(window)
    {
    }

    beast::tcp_stream& from;
    beast::flat_buffer& from_buffer;
    request_parser& parser; ///< its header is complete
    http_connection& to;
    body_room& room; ///< of its window
    bool active = true;
    bool stopped = false;
    bool expired = false;
    bool sink_ready = false;
    bool writing = false;
    std::uint64_t bytes = 0; ///< of the body that were sent
    beast::error_code source_error{};
    beast::error_code sink_error{};
};

/// Streams the rest of the body. The head must have been sent, as framed by
/// send_streamed_head(). Bytes that the parser holds already are sent first.
relay_end relay_body(const std::shared_ptr<body_relay>& x, const yield& y);

/// Ends a relay from another coroutine.
void stop_relay(body_relay& x);

/// Reads the rest of a body and drops it.
/// @return whether its end was reached in time
bool discard_body(beast::tcp_stream& from, beast::flat_buffer& buf,
                  request_parser& parser, span_us timeout, const yield& y);

/// Sends the head of a request whose body follows by relay_body().
/// @param parser of the request that the body belongs to
/// @return bytes written, also on an error
std::size_t send_streamed_head(http_connection& to,
                               const http::request_header<>& head,
                               const request_parser& parser,
                               beast::error_code& ec, const yield& y);

} // namespace jasminetray
