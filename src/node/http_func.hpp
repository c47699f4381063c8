// HTTP helpers on top of Boost.Beast, for the entry and exit side.
#pragma once

#include "base/memory_reserve.hpp"
#include "node/body_room.hpp"
#include "node/message_side.hpp"

#include <optional>

namespace jasminetray {

/// Returns the value of a header field; empty when absent.
template <typename Fields>
std::string header_value(const Fields& m, beast::string_view name)
{
    const auto it = m.find(name);
    return it == m.end() ? std::string() : std::string(it->value());
}

/// Converts to the string view type of Beast.
inline beast::string_view to_beast_view(std::string_view s)
{
    return {s.data(), s.size()};
}

/// Copies the head of a message and refers to its body, which must outlive the
/// result.
inline borrowed_request borrow_message(const string_request& m)
{
    borrowed_request q;
    q.base() = m.base();
    q.body() = {m.body().data(), m.body().size()};
    return q;
}

/// Reads the head of a request.
/// @return its bytes
std::size_t read_head(beast::tcp_stream& stream, request_parser& parser,
                      beast::flat_buffer& buf, beast::error_code& ec,
                      const yield& y);

/// Serves small requests on a connection until it closes.
/// @param answer returns the response to a request
template <typename Answer>
void serve_http(node_state& n, message_side side, beast::tcp_stream& stream,
                const yield& y, Answer answer)
{
    constexpr message_limits limits{8192, 65536};
    constexpr std::chrono::seconds idle_timeout(60);
    beast::flat_buffer buf(limits.head_bytes);
    bool keep = true;
    while (keep) {
        request_parser parser;
        apply_limits(parser, buf, limits);
        stream.expires_after(idle_timeout);
        beast::error_code ec;
        read_head(stream, parser, buf, ec, y);
        if (!ec && !parser.is_done())
            http::async_read(stream, buf, parser, y[ec]);
        log_too_long(n, side, ec, limits, buf);
        if (ec)
            break;
        string_response r = answer(parser.get());
        keep = parser.get().keep_alive();
        r.keep_alive(keep);
        r.prepare_payload();
        http::async_write(stream, r, y[ec]);
        keep = keep && !ec;
    }
}

/// Sets TCP keep-alive and user timeout, so that the kernel reports a broken
/// path. Without them a one-way loss looks like slow work until the deadline.
/// Idle connections have it off, which saves the probes.
void set_path_timeouts(tcp::socket& s, bool on);

/// Takes the most recently used idle connection that is open and has no unread
/// bytes, or null. Unread bytes may belong to the answer to another request, so
/// such a connection is closed.
std::unique_ptr<http_connection> take_idle_connection(connection_pool& pool,
                                                      mono_us idle_since);

/// Returns a connection to the pool after a complete exchange.
/// @param max_idle number of idle connections to keep
void return_connection(connection_pool& pool,
                       std::unique_ptr<http_connection> connection,
                       std::size_t max_idle, mono_us now);

/// Returns whether a connection can be reused after an exchange.
/// @param keep_alive as the answer's header says
bool is_reusable(const http_connection& connection, bool keep_alive);

/// Removes hop-by-hop header fields and the field between nodes.
void strip_hop_fields(http::fields& f);

/// Reads and checks the head of an answer.
void read_head(http_connection& connection, response_parser& parser,
               beast::error_code& ec, const yield& y);

/// Reads an answer until it is complete, without its trailer, or its body
/// exceeds the bytes that are held of it: `[limits] hold_bytes`, or none where
/// the budget for bodies has no room. parser.is_done() distinguishes the two.
/// @param room of what is held
beast::error_code read_held_answer(node_state& n, http_connection& connection,
                                   response_parser& parser, body_room& room,
                                   const yield& y);

/// Does the same with a bound of `max_body` bytes, outside the budget.
beast::error_code read_buffered(http_connection& connection,
                                response_parser& parser, std::size_t max_body,
                                const yield& y);

/// Time limits of an answer that is streamed.
struct relay_limits
{
    /// The source may be silent until the request's own limit. The answer ends
    /// `late_time` after it at the latest: its caller has gone by then.
    mono_us deadline = 0;
    span_us late_time = 0;
    /// For a reader that takes nothing of what is ready for it. Unlike a silent
    /// source it is no work in progress, and it holds memory and a slot.
    span_us write_timeout = 0;
    bool watch_reader = false; ///< stop when the reader closes its connection
};

/// Streams an incomplete answer from `from` to `to`, with backpressure.
/// @param head header to send; framing fields are set here
/// @return true when all was sent; else both connections must be closed
bool relay_answer(http_connection& from, response_parser& parser,
                  http::response_header<> head, beast::tcp_stream& to,
                  const relay_limits& limits, const yield& y);

/// Returns whether the peer of a readable socket has closed or reset it.
bool peer_closed(tcp::socket& s);

/// Cancels a connection to a source once the peer that waits for its answer has
/// closed.
struct peer_watch
{
    http_connection* link = nullptr; ///< null when the work has ended
    bool left = false;               ///< the peer has closed
};

std::shared_ptr<peer_watch> watch_peer(beast::tcp_stream& peer,
                                       http_connection& link);

} // namespace jasminetray
