// Helpers over Beast that both sides of a node use.
#pragma once

#include "node/http_type.hpp"

#include <optional>

namespace jasminetray {

/// Field of a message as text; empty when absent.
template <typename Fields>
std::string header_value(const Fields& m, beast::string_view name)
{
    const auto it = m.find(name);
    return it == m.end() ? std::string() : std::string(it->value());
}

/// A name as Beast's functions take it.
inline beast::string_view to_beast_view(std::string_view s)
{
    return {s.data(), s.size()};
}

/// Serves small requests on a connection until it closes.
/// @param answer gives the response to each
template <typename Answer>
void serve_http(beast::tcp_stream& stream, const yield& y, Answer answer)
{
    constexpr std::uint64_t max_request = 65536;
    constexpr std::chrono::seconds idle_bound(60);
    beast::flat_buffer buf;
    bool keep = true;
    while (keep) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_request);
        stream.expires_after(idle_bound);
        beast::error_code ec;
        http::async_read(stream, buf, parser, y[ec]);
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

/// Bounds how long a path may swallow what is sent on a connection, and how
/// long it may be silent while an answer is awaited: then the kernel ends it
/// with an error. Without this a one-way cut looks like slow work until the
/// deadline. Off again for idle connections, which would cost probes.
void set_path_timeouts(tcp::socket& s, bool on);

/// Takes the newest idle connection that is still clean, or nothing. One
/// with unread bytes holds part of an answer to someone else's request; it
/// is closed and never used again.
std::unique_ptr<http_connection> take_idle_connection(connection_pool& pool,
                                                      mono_us idle_since);

/// Gives a connection back after a complete exchange.
/// @param most idle ones kept
void return_connection(connection_pool& pool,
                       std::unique_ptr<http_connection> link, std::size_t most,
                       mono_us now);

/// Whether an exchange ended so that the connection may be used again.
/// @param keep_alive what the answer's head says
bool is_reusable(const http_connection& link, bool keep_alive);

/// Removes fields that concern one connection only, and the hop's own.
void strip_hop_fields(http::fields& f);

/// Reads an answer until it is whole or larger than `hold`.
/// @return an error, or none with parser.is_done() telling which
beast::error_code read_buffered(http_connection& link, response_parser& parser,
                                std::size_t hold, const yield& y);

/// Sends the head and body of an answer that is not whole yet, reading on
/// from `from` as fast as `to` takes it.
/// @param head fields to send; framing fields are set here
/// @return true when all of it arrived; else both ends must be closed
bool relay_answer(http_connection& from, response_parser& parser,
                  http::response_header<> head, beast::tcp_stream& to,
                  span_us idle_bound, const yield& y);

/// Whether the peer of a readable socket has closed or reset it.
bool peer_closed(tcp::socket& s);

} // namespace jasminetray
