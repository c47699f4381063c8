// Requests to other nodes; see peer_request.hpp.
#include "node/peer_request.hpp"

#include "node/entry_request.hpp"
#include "node/http_func.hpp"

namespace jasminetray {

namespace {

/// A small answer in one field.
constexpr message_limits reply_limits{8192, 0};

} // namespace

std::optional<std::string>
exchange_messages(node_state& n, http_connection& link, const char* path,
                  const std::string& text, mono_us deadline, const yield& y)
{
    http::request<http::empty_body> q(http::verb::get, path, 11);
    if (!text.empty())
        q.set(hop_header, text);
    q.keep_alive(true);
    link.stream.expires_after(
        std::chrono::microseconds(std::max<span_us>(1, deadline - mono_now())));
    beast::error_code ec;
    http::async_write(link.stream, q, y[ec]);
    response_parser parser;
    apply_limits(parser, link.buf, reply_limits);
    if (!ec)
        ec = read_buffered(link, parser, *reply_limits.body_bytes, y);
    log_unreadable(n, message_side::node, ec, reply_limits, link.buf, path);
    if (ec)
        return std::nullopt;
    return header_value(parser.get(), hop_header);
}

std::optional<std::string>
send_peer_request(node_state& n, node_id to, const node_address& at,
                  const char* path, const std::function<std::string()>& text,
                  mono_us deadline, const yield& y)
{
    auto link = take_idle_connection(n.exit_connections[to],
                                     mono_now() - exit_idle_timeout);
    auto answer = link ? exchange_messages(n, *link, path, text(), deadline, y)
                       : std::nullopt;
    if (!answer && mono_now() < deadline) {
        link = connect_exit(n, at, deadline, y);
        answer = link ? exchange_messages(n, *link, path, text(), deadline, y)
                      : std::nullopt;
    }
    if (answer)
        return_connection(n.exit_connections[to], std::move(link),
                          max_idle_exit_connections, mono_now());
    return answer;
}

bool send_peer_reply(beast::tcp_stream& to, const std::string& text,
                     const yield& y)
{
    string_response r(http::status::no_content, 11);
    if (!text.empty())
        r.set(hop_header, text);
    r.keep_alive(true);
    beast::error_code ec;
    http::async_write(to, r, y[ec]);
    return !ec;
}

} // namespace jasminetray
