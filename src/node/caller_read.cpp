// Reads and checks requests of callers.
#include "node/caller_read.hpp"

#include "base/memory_reserve.hpp"
#include "base/text_func.hpp"
#include "node/entry_team.hpp"
#include "node/http_func.hpp"
#include "node/step_timeout.hpp"

namespace jasminetray {

namespace {

/// Sent to callers whose body finds no room.
constexpr span_us body_retry_after = us_per_s;

refusal bad_request(http::status status, const char* reason)
{
    refusal x;
    x.status = status;
    x.event = event_id::refused_bad_request;
    x.reason = reason;
    return x;
}

/// Returns the refusal of a request that nothing was passed on of. Its
/// connection is closed, as the body is unread.
refusal no_memory_refusal()
{
    refusal x;
    x.event = event_id::refused_overload;
    x.reason = "no-memory";
    x.retry_after = us_per_s;
    return x;
}

/// Returns the refusal for a read error; nothing when the caller disconnected.
std::optional<refusal> read_error_refusal(const beast::error_code& ec)
{
    if (ec == http::error::header_limit)
        return bad_request(http::status::request_header_fields_too_large,
                           "head-too-large");
    if (ec == http::error::buffer_overflow)
        return bad_request(http::status::bad_request, "framing-too-long");
    if (ec == http::error::body_limit)
        return bad_request(http::status::payload_too_large, "body-too-large");
    if (ec == boost::system::errc::not_enough_memory)
        return no_memory_refusal();
    const auto& parser_category =
        http::make_error_code(http::error::bad_method).category();
    if (ec.category() == parser_category && ec != http::error::end_of_stream &&
        ec != http::error::partial_message)
        return bad_request(http::status::bad_request, "malformed");
    return std::nullopt;
}

/// Returns whether the end of the body is unambiguous. Transfer codings other
/// than chunked are rejected to prevent request smuggling.
bool has_valid_framing(const http::request_header<>& head)
{
    const auto range = head.equal_range(http::field::transfer_encoding);
    if (range.first == range.second)
        return true;
    return std::next(range.first) == range.second &&
           beast::iequals(range.first->value(), "chunked") &&
           head.version() == 11;
}

/// Converts an absolute-form target (http://host/path) to origin form.
void to_origin_form(string_request& m)
{
    constexpr std::string_view scheme = "http://";
    const std::string target(m.target());
    if (target.compare(0, scheme.size(), scheme) != 0)
        return;
    const auto slash = target.find('/', scheme.size());
    m.set(http::field::host,
          target.substr(scheme.size(), slash - scheme.size()));
    m.target(slash == std::string::npos ? "/" : target.substr(slash));
}

bool wait_for_request(beast::tcp_stream& stream, const beast::flat_buffer& buf,
                      span_us timeout, const yield& y)
{
    if (buf.size() > 0)
        return true;
    const step_timeout timer(stream, timeout);
    beast::error_code ec;
    stream.socket().async_wait(tcp::socket::wait_read, y[ec]);
    return !ec;
}

/// Sends "100 Continue" when the caller expects it.
void send_continue(beast::tcp_stream& stream, const http::request_header<>& m,
                   beast::error_code& ec, const yield& y)
{
    if (!beast::iequals(m[http::field::expect], "100-continue"))
        return;
    http::response<http::empty_body> response(http::status::continue_, 11);
    http::async_write(stream, response, y[ec]);
}

/// Returns whether the unread body is long. A short one is read before a
/// refusal, so that the connection can be reused.
bool is_body_long(const request_parser& parser)
{
    constexpr std::uint64_t long_body = 16384;
    const auto left = parser.content_length_remaining();
    return !parser.is_done() && (!left || *left > long_body);
}

/// Returns whether a body is streamed rather than held. One without a length
/// is, once so much of it has arrived.
bool is_large(const node_state& n, const request_parser& parser)
{
    const auto known =
        parser.content_length().value_or(parser.get().body().size());
    return n.bodies.limit > 0 && !parser.is_done() &&
           known >= large_upload_bytes;
}

std::optional<refusal> read_head(const node_state& n, beast::tcp_stream& stream,
                                 beast::flat_buffer& buf,
                                 request_parser& parser, span_us timeout,
                                 beast::error_code& ec, const yield& y)
{
    const step_timeout timer(stream, timeout);
    http::async_read_header(stream, buf, parser, y[ec]);
    if (timer.expired())
        return bad_request(http::status::request_timeout, "slow-head");
    if (!ec && !has_valid_framing(parser.get()))
        return bad_request(http::status::bad_request, "unknown-coding");
    if (!ec && lacks_memory_for(find_memory_reserve(), n.in_flight))
        return no_memory_refusal();
    if (!ec && is_body_long(parser)) {
        if (auto refused = check_request_head(n, parser.get()))
            return refused;
    }
    if (!ec && !is_large(n, parser))
        send_continue(stream, parser.get(), ec, y);
    return std::nullopt;
}

std::optional<refusal> read_body(const node_state& n, beast::tcp_stream& stream,
                                 beast::flat_buffer& buf,
                                 request_parser& parser, beast::error_code& ec,
                                 const yield& y)
{
    if (parser.is_done())
        return std::nullopt;
    const step_timeout timer(stream, body_timeout);
    head_fields head(parser);
    if (n.bodies.limit == 0)
        http::async_read(stream, buf, parser, y[ec]);
    while (!ec && !parser.is_done() && !is_large(n, parser))
        http::async_read_some(stream, buf, parser, y[ec]);
    head.drop_trailer(parser);
    if (timer.expired())
        return bad_request(http::status::request_timeout, "slow-body");
    return std::nullopt;
}

/// Leaves a large body with its caller.
/// @param limit largest body that is accepted, bytes
void begin_upload(node_state& n, const std::shared_ptr<caller_link>& link,
                  const std::shared_ptr<request_parser>& parser,
                  std::uint64_t limit, read_result& r)
{
    r.upload = std::make_shared<caller_upload>(n.ctx, link, parser);
    r.upload->limit = limit;
    r.upload->awaits_continue =
        parser->content_length() &&
        beast::iequals(parser->get()[http::field::expect], "100-continue");
    constexpr std::uint64_t growth = 2; // of a body that arrived in parts
    r.upload->room = body_room(n, stream_window_bytes +
                                      growth * parser->get().body().size());
    if (!r.upload->room.has_value()) {
        refusal x;
        x.event = event_id::body_memory_full;
        x.reason = body_memory_reason;
        x.retry_after = body_retry_after;
        r.refused = x;
        return;
    }
    r.message.emplace();
    r.message->base() = parser->get().base();
}

} // namespace

read_result read_caller(node_state& n, const std::shared_ptr<caller_link>& link,
                        const yield& y)
{
    read_result r;
    auto& stream = link->stream;
    auto& buf = link->buf;
    const auto limits = n.config ? n.config->limits : caller_limits{};
    if (!wait_for_request(stream, buf, limits.idle_us, y))
        return r;
    r.open.emplace(n);
    const auto owner = std::make_shared<request_parser>();
    auto& parser = *owner;
    const message_limits most{static_cast<std::uint32_t>(std::min(
                                  limits.header_bytes, max_head_bytes)),
                              static_cast<std::uint64_t>(limits.body_bytes)};
    apply_limits(parser, buf, most);
    stream.expires_never();
    beast::error_code ec;
    r.refused = read_head(n, stream, buf, parser, limits.header_us, ec, y);
    if (!ec && !r.refused && !is_large(n, parser))
        r.refused = read_body(n, stream, buf, parser, ec, y);
    log_too_long(n, message_side::caller, ec, most, buf);
    if (r.refused)
        return r;
    if (ec) {
        r.refused = read_error_refusal(ec);
        return r;
    }
    if (is_large(n, parser))
        begin_upload(n, link, owner, *most.body_bytes, r);
    else
        r.message = parser.release();
    if (r.message)
        to_origin_form(*r.message);
    return r;
}

void strip_connection_fields(http::fields& f)
{
    const auto named = split(header_value(f, "connection"), ',');
    strip_hop_fields(f);
    for (const auto& name : named)
        f.erase(std::string(trim(name)));
}

} // namespace jasminetray
