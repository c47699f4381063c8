// Reads and checks requests of callers.
#include "node/caller_read.hpp"

#include "base/memory_reserve.hpp"
#include "base/text_func.hpp"
#include "http/message_head.hpp"
#include "node/entry_team.hpp"
#include "node/held_body.hpp"
#include "node/http_func.hpp"
#include "node/step_timeout.hpp"

namespace jasminetray {

namespace {

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

/// Returns the refusal of a request that finds no room. Nothing of it was
/// passed on.
refusal no_room_refusal(node_state& n)
{
    refusal x;
    x.event = event_id::refused_overload;
    x.reason = body_memory_reason;
    x.retry_after = body_retry_after;
    note_bodies_full(n, "entry");
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
    if (is_malformed(ec))
        return bad_request(http::status::bad_request, "malformed");
    return std::nullopt;
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

std::optional<refusal> read_head(node_state& n, beast::tcp_stream& stream,
                                 beast::flat_buffer& buf,
                                 request_parser& parser, body_room& room,
                                 span_us timeout, beast::error_code& ec,
                                 const yield& y)
{
    const step_timeout timer(stream, timeout);
    if (!read_held_head(n, caller_kinds, stream, buf, parser, room, ec, y))
        return no_room_refusal(n);
    if (timer.expired())
        return bad_request(http::status::request_timeout, "slow-head");
    if (!ec && !has_valid_coding(parser.get()))
        return bad_request(http::status::bad_request, "unknown-coding");
    if (!ec && lacks_memory_for(find_memory_reserve(), n.in_flight))
        return no_memory_refusal();
    if (!ec && is_body_long(parser)) {
        if (auto refused = check_request_head(n, parser.get()))
            return refused;
    }
    return std::nullopt;
}

/// Reads a body that has room. One without a length may outgrow it.
std::optional<refusal> read_body(node_state& n, beast::tcp_stream& stream,
                                 beast::flat_buffer& buf,
                                 request_parser& parser, body_room& room,
                                 beast::error_code& ec, const yield& y)
{
    send_continue(stream, parser.get(), ec, y);
    if (parser.is_done())
        return std::nullopt;
    const step_timeout timer(stream, body_timeout);
    head_fields head(parser);
    read_held_body(stream, buf, parser, room, ec, y);
    head.drop_trailer(parser);
    if (room.withdrawn())
        return no_room_refusal(n);
    if (timer.expired())
        return bad_request(http::status::request_timeout, "slow-body");
    return std::nullopt;
}

/// Leaves a body with its caller.
/// @param limit largest body that is accepted, bytes
/// @param asked the caller was told to send it
std::shared_ptr<caller_upload>
make_upload(node_state& n, const std::shared_ptr<caller_link>& link,
            const std::shared_ptr<request_parser>& parser, std::uint64_t limit,
            bool asked)
{
    auto u = std::make_shared<caller_upload>(n.ctx, link, parser);
    u->limit = limit;
    u->awaits_continue =
        !asked &&
        beast::iequals(parser->get()[http::field::expect], "100-continue");
    return u;
}

/// Takes the window of a body that is streamed.
std::optional<refusal> begin_stream(node_state& n, read_result& r,
                                    const yield& y)
{
    constexpr std::uint64_t growth = 2; // of a body that arrived in parts
    const auto& parser = *r.upload->parser;
    r.room = body_room();
    r.upload->room = wait_for_room(
        n, caller_kinds.window,
        stream_window_bytes + growth * parser.get().body().size(), y);
    if (!r.upload->room.has_value())
        return no_room_refusal(n);
    r.message.emplace();
    r.message->base() = parser.get().base();
    return std::nullopt;
}

/// Reads a body that is to be held whole, and begins to stream another.
std::optional<refusal> take_body(node_state& n,
                                 const std::shared_ptr<caller_link>& link,
                                 const std::shared_ptr<request_parser>& owner,
                                 std::uint64_t limit, read_result& r,
                                 beast::error_code& ec, const yield& y)
{
    auto& parser = *owner;
    const bool empty = parser.is_done();
    const auto need =
        empty ? std::nullopt : held_body_need(n, caller_kinds, parser);
    if (need) {
        // A caller that isn't read waits: refused, it would come back later.
        r.room = wait_for_room(n, need->kind, need->bytes, y);
        if (!r.room.has_value()) {
            r.upload = make_upload(n, link, owner, limit, false);
            return no_room_refusal(n);
        }
    }
    if (need || empty) {
        auto refused =
            read_body(n, link->stream, link->buf, parser, r.room, ec, y);
        if (refused || ec || parser.is_done())
            return refused;
    }
    r.upload = make_upload(n, link, owner, limit, need.has_value());
    return begin_stream(n, r, y);
}

} // namespace

read_result read_caller(node_state& n, const std::shared_ptr<caller_link>& link,
                        const yield& y)
{
    read_result r;
    auto& stream = link->stream;
    auto& buf = link->buf;
    const auto limits = n.config ? n.config->limits : caller_limits{};
    if (buf.size() == 0)
        buf.shrink_to_fit(); // an idle connection holds no memory
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
    r.refused =
        read_head(n, stream, buf, parser, r.head_room, limits.header_us, ec, y);
    if (!ec && !r.refused)
        r.refused = take_body(n, link, owner, *most.body_bytes, r, ec, y);
    log_too_long(n, message_side::caller, ec, most, buf);
    if (r.refused)
        return r;
    if (ec) {
        r.refused = read_error_refusal(ec);
        return r;
    }
    if (!r.upload)
        r.message = parser.release();
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
