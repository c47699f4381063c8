// HTTP helpers on top of Boost.Beast.
#include "node/http_func.hpp"

#include "base/on_exit.hpp"
#include "http/message_head.hpp"

#include <algorithm>
#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jasminetray {

namespace {

constexpr std::array<beast::string_view, 8> connection_fields = {
    "connection", "keep-alive",          "proxy-authenticate",
    "te",         "proxy-authorization", "trailer",
    "upgrade",    "transfer-encoding"};

/// Sends the buffered part of the body and clears it.
bool send_buffered(response_parser& parser, beast::tcp_stream& to, bool chunked,
                   span_us timeout, const yield& y)
{
    auto& body = parser.get().body();
    if (body.empty())
        return true;
    to.expires_after(std::chrono::microseconds(timeout));
    beast::error_code ec;
    if (chunked)
        asio::async_write(to, http::make_chunk(asio::buffer(body)), y[ec]);
    else
        asio::async_write(to, asio::buffer(body), y[ec]);
    body.clear();
    return !ec;
}

beast::error_code read_body_up_to(http_connection& connection,
                                  response_parser& parser, std::size_t max_body,
                                  const yield& y)
{
    beast::error_code ec;
    head_fields head(parser);
    while (!ec && !parser.is_done() && parser.get().body().size() <= max_body)
        http::async_read_some(connection.stream, connection.buf, parser, y[ec]);
    head.drop_trailer(parser);
    return ec;
}

} // namespace

void set_path_timeouts(tcp::socket& s, bool on)
{
    constexpr int user_timeout_ms = 1500; // allows for two retransmissions
    constexpr int idle_s = 1;
    constexpr int interval_s = 1;
    constexpr int probes = 2; // one lost probe is no failure
    const int fd = s.native_handle();
    const int enabled = on ? 1 : 0;
    const int user_timeout = on ? user_timeout_ms : 0;
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
                 sizeof(interval_s));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
                 sizeof(user_timeout));
}

std::unique_ptr<http_connection> take_idle_connection(connection_pool& pool,
                                                      mono_us idle_since)
{
    while (!pool.empty()) {
        auto connection = std::move(pool.back());
        pool.pop_back();
        beast::error_code ec;
        const auto unread = connection->stream.socket().available(ec);
        if (!ec && unread == 0 && connection->buf.size() == 0 &&
            connection->last_used >= idle_since &&
            !peer_closed(connection->stream.socket()))
            return connection;
    }
    return nullptr;
}

void return_connection(connection_pool& pool,
                       std::unique_ptr<http_connection> connection,
                       std::size_t max_idle, mono_us now)
{
    if (pool.size() >= max_idle)
        return;
    set_path_timeouts(connection->stream.socket(), false);
    connection->last_used = now;
    connection->used = true;
    connection->stream.expires_never();
    connection->buf.shrink_to_fit(); // an idle connection holds no memory
    pool.push_back(std::move(connection));
}

bool is_reusable(const http_connection& connection, bool keep_alive)
{
    return keep_alive && connection.buf.size() == 0;
}

void strip_hop_fields(http::fields& f)
{
    for (const auto name : connection_fields)
        f.erase(name);
    f.erase(hop_header);
}

std::size_t read_head(beast::tcp_stream& stream, request_parser& parser,
                      beast::flat_buffer& buf, beast::error_code& ec,
                      const yield& y)
{
    return read_request_head(parser, buf, ec,
                             [&](const auto& to, beast::error_code& failed) {
                                 return stream.async_read_some(to, y[failed]);
                             });
}

void read_head(http_connection& connection, response_parser& parser,
               beast::error_code& ec, const yield& y)
{
    read_answer_head(parser, connection.buf, ec,
                     [&](const auto& to, beast::error_code& failed) {
                         return connection.stream.async_read_some(to,
                                                                  y[failed]);
                     });
}

beast::error_code read_buffered(http_connection& connection,
                                response_parser& parser, std::size_t max_body,
                                const yield& y)
{
    beast::error_code ec;
    read_head(connection, parser, ec, y);
    return ec ? ec : read_body_up_to(connection, parser, max_body, y);
}

beast::error_code read_held_answer(node_state& n, http_connection& connection,
                                   response_parser& parser, body_room& room,
                                   const yield& y)
{
    beast::error_code ec;
    if (!parser.is_header_done())
        read_head(connection, parser, ec, y);
    if (ec || parser.is_done())
        return ec;
    const auto most = static_cast<std::uint64_t>(n.settings.max_buffered);
    const auto bytes = std::min(parser.content_length().value_or(most), most);
    room = body_room(n, body_kind::answer, bytes);
    return read_body_up_to(
        connection, parser,
        room.has_value() ? static_cast<std::size_t>(most) : 0, y);
}

bool relay_answer(http_connection& from, response_parser& parser,
                  http::response_header<> head, beast::tcp_stream& to,
                  const relay_limits& limits, const yield& y)
{
    const auto watch = limits.watch_reader ? watch_peer(to, from) : nullptr;
    const on_exit unwatch([&] {
        beast::error_code ignored;
        if (watch) {
            watch->link = nullptr;
            to.socket().cancel(ignored);
        }
    });
    const auto length = parser.content_length();
    http::response<http::empty_body> start(std::move(head));
    start.version(11);
    if (length)
        start.content_length(*length);
    else
        start.chunked(true);
    http::response_serializer<http::empty_body> serializer(start);
    beast::error_code ec;
    // An answer without an end is cut, however steadily its bytes come.
    const auto end = limits.deadline + limits.late_time;
    const auto write_timeout = [&limits, end] {
        return std::clamp<span_us>(end - mono_now(), 1, limits.write_timeout);
    };
    to.expires_after(std::chrono::microseconds(write_timeout()));
    http::async_write_header(to, serializer, y[ec]);
    while (!ec && send_buffered(parser, to, !length, write_timeout(), y)) {
        if (parser.is_done())
            break;
        const auto left = std::max<span_us>(1, end - mono_now());
        from.stream.expires_after(std::chrono::microseconds(left));
        to.expires_never();
        http::async_read_some(from.stream, from.buf, parser, y[ec]);
    }
    if (ec || !parser.is_done() || !parser.get().body().empty())
        return false;
    to.expires_after(std::chrono::microseconds(write_timeout()));
    if (!length)
        asio::async_write(to, http::make_chunk_last(), y[ec]);
    return !ec;
}

std::shared_ptr<peer_watch> watch_peer(beast::tcp_stream& peer,
                                       http_connection& link)
{
    auto watch = std::make_shared<peer_watch>();
    watch->link = &link;
    peer.socket().async_wait(
        tcp::socket::wait_read, [watch, &peer](beast::error_code ec) {
            if (ec || !watch->link || !peer_closed(peer.socket()))
                return;
            watch->left = true;
            watch->link->stream.cancel();
        });
    return watch;
}

bool peer_closed(tcp::socket& s)
{
    char c = 0;
    const auto n = ::recv(s.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace jasminetray
