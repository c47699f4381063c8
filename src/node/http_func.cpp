// Helpers over Beast; see http_func.hpp.
#include "node/http_func.hpp"

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

/// Sends the body that the parser holds now and empties it.
bool send_part(response_parser& parser, beast::tcp_stream& to, bool chunked,
               const yield& y)
{
    auto& body = parser.get().body();
    if (body.empty())
        return true;
    beast::error_code ec;
    if (chunked)
        asio::async_write(to, http::make_chunk(asio::buffer(body)), y[ec]);
    else
        asio::async_write(to, asio::buffer(body), y[ec]);
    body.clear();
    return !ec;
}

} // namespace

void set_path_timeouts(tcp::socket& s, bool on)
{
    constexpr int unsent_ms = 1500; // three sends at the usual first timeouts
    constexpr int idle_s = 1;       // until the first keep-alive probe
    constexpr int interval_s = 1;
    constexpr int probes = 2; // lost in a row: three in ten may be on bad days
    const int fd = s.native_handle();
    const int enabled = on ? 1 : 0;
    const int bound = on ? unsent_ms : 0;
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
                 sizeof(interval_s));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &bound, sizeof(bound));
}

std::unique_ptr<http_connection> take_idle_connection(connection_pool& pool,
                                                      mono_us idle_since)
{
    while (!pool.empty()) {
        auto link = std::move(pool.back());
        pool.pop_back();
        beast::error_code ec;
        const auto unread = link->stream.socket().available(ec);
        if (!ec && unread == 0 && link->buf.size() == 0 &&
            link->last_used >= idle_since &&
            !peer_closed(link->stream.socket()))
            return link;
    }
    return nullptr;
}

void return_connection(connection_pool& pool,
                       std::unique_ptr<http_connection> link, std::size_t most,
                       mono_us now)
{
    if (pool.size() >= most)
        return;
    set_path_timeouts(link->stream.socket(), false);
    link->last_used = now;
    link->used = true;
    link->stream.expires_never();
    pool.push_back(std::move(link));
}

bool is_reusable(const http_connection& link, bool keep_alive)
{
    return keep_alive && link.buf.size() == 0;
}

void strip_hop_fields(http::fields& f)
{
    for (const auto name : connection_fields)
        f.erase(name);
    f.erase(hop_header);
}

beast::error_code read_buffered(http_connection& link, response_parser& parser,
                                std::size_t hold, const yield& y)
{
    beast::error_code ec;
    http::async_read_header(link.stream, link.buf, parser, y[ec]);
    while (!ec && !parser.is_done() && parser.get().body().size() <= hold)
        http::async_read_some(link.stream, link.buf, parser, y[ec]);
    return ec;
}

bool relay_answer(http_connection& from, response_parser& parser,
                  http::response_header<> head, beast::tcp_stream& to,
                  span_us idle_bound, const yield& y)
{
    const auto length = parser.content_length();
    http::response<http::empty_body> start(std::move(head));
    start.version(11);
    if (length)
        start.content_length(*length);
    else
        start.chunked(true);
    http::response_serializer<http::empty_body> serializer(start);
    beast::error_code ec;
    to.expires_after(std::chrono::microseconds(idle_bound));
    http::async_write_header(to, serializer, y[ec]);
    while (!ec && send_part(parser, to, !length, y)) {
        if (parser.is_done())
            break;
        from.stream.expires_after(std::chrono::microseconds(idle_bound));
        to.expires_after(std::chrono::microseconds(idle_bound));
        http::async_read_some(from.stream, from.buf, parser, y[ec]);
    }
    if (ec || !parser.is_done() || !parser.get().body().empty())
        return false;
    if (!length)
        asio::async_write(to, http::make_chunk_last(), y[ec]);
    return !ec;
}

bool peer_closed(tcp::socket& s)
{
    char c = 0;
    const auto n = ::recv(s.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace jasminetray
