// Large bodies of callers. The body stays with its caller until a gate has
// admitted the request, and is then streamed. Until then an attempt is free to
// be made again elsewhere, and provably did not run; from then on the request
// has only that attempt.
#pragma once

#include "node/body_relay.hpp"
#include "node/body_room.hpp"

#include <functional>

namespace jasminetray {

struct entry_attempt;
struct entry_request;

/// A caller's connection. Whoever reads from it shares it.
struct caller_link
{
    explicit caller_link(beast::tcp_stream s) : stream(std::move(s))
    {
    }

    beast::tcp_stream stream;
    /// Bytes read but not parsed yet; each request sets its own bound.
    beast::flat_buffer buf{static_cast<std::size_t>(max_head_bytes)};
};

/// Body that its caller is still sending.
struct caller_upload
{
    caller_upload(asio::io_context& ctx, std::shared_ptr<caller_link> l,
                  std::shared_ptr<request_parser> p)
        : link(std::move(l)), parser(std::move(p)), released(ctx)
    {
        released.expires_at(asio::steady_timer::time_point::max());
    }

    std::shared_ptr<caller_link> link;
    std::shared_ptr<request_parser> parser; ///< its header is complete
    std::uint64_t limit = 0; ///< largest body that is accepted, bytes
    body_room room;
    bool awaits_continue = false;      ///< the caller sends it when asked to
    bool taken = false;                ///< an attempt has begun to read it
    bool busy = false;                 ///< an attempt reads it now
    bool held = false;                 ///< it was read whole, into the message
    bool cut = false;                  ///< an attempt ended in the midst of it
    bool stopped = false;              ///< no attempt may read from it any more
    asio::steady_timer released;       ///< cancelled when `busy` ends
    std::shared_ptr<body_relay> relay; ///< while it is streamed
    std::uint64_t sent = 0;            ///< bytes that were streamed
    /// What is wrong with the caller's part; 0 for nothing.
    http::status failed = http::status::unknown;
    std::function<void()> on_whole; ///< called when it has been read
};

/// Returns whether a request's body is to be streamed by its attempts.
bool is_streamed(const entry_request& r);

/// Returns the size of a request's body, as far as it is known.
std::uint64_t request_body_bytes(const entry_request& r);

enum class upload_end : std::uint8_t
{
    unsent,   ///< the work did not start and never will
    lost,     ///< a part was sent
    answered, ///< the exit node answered or closed; its answer is to be read
};

struct upload_result
{
    upload_end end{};
    std::string reason;
};

/// Offers a request to its exit node and streams the body once it is admitted.
/// A refusal's head is left in the attempt's parser.
/// @param head without the framing of the body
upload_result send_upload(entry_request& r, entry_attempt& t,
                          const http::request_header<>& head, const yield& y);

/// Reads the body into the message, for exit nodes that take no streams.
/// @return false when it could not be read
bool hold_upload(entry_request& r, const yield& y);

/// Stops all reading, so that the caller can be answered.
void stop_upload(caller_upload& u, const yield& y);

/// Reads past the rest of the body: a caller that sends it all before it reads
/// would not get the answer.
/// @return whether the connection can be reused
bool skip_upload(caller_upload& u, const yield& y);

} // namespace jasminetray
