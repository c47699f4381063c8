// Implementation of streamed bodies; see body_relay.hpp.
#include "node/body_relay.hpp"

#include "base/on_exit.hpp"

namespace jasminetray {

namespace {

void cancel_both(body_relay& x)
{
    x.from.cancel();
    x.to.stream.cancel();
}

/// Returns why a relay can't go on. What interrupted an operation counts before
/// the error that it caused.
relay_end interrupted_end(const body_relay& x, relay_end otherwise)
{
    if (x.stopped)
        return relay_end::stopped;
    if (x.sink_ready)
        return relay_end::sink_answered;
    if (x.expired)
        return x.writing ? relay_end::sink_slow : relay_end::source_slow;
    return otherwise;
}

/// An idle source that loses its room ends the relay as a slow one does.
void wait_for_source(body_relay& x)
{
    x.room.wait([relay = x.shared_from_this()] {
        if (!relay->active)
            return;
        relay->expired = true;
        cancel_both(*relay);
    });
}

bool send_window(body_relay& x, bool chunked, const yield& y)
{
    auto& body = x.parser.get().body();
    x.writing = true;
    if (chunked)
        asio::async_write(x.to.stream, http::make_chunk(asio::buffer(body)),
                          y[x.sink_error]);
    else
        asio::async_write(x.to.stream, asio::buffer(body), y[x.sink_error]);
    if (x.sink_error)
        return false;
    x.writing = false;
    x.bytes += body.size();
    body.clear();
    return true;
}

relay_end run_relay(body_relay& x, const yield& y)
{
    const bool chunked = !x.parser.content_length();
    const auto& body = x.parser.get().body();
    while (true) {
        const auto end = interrupted_end(x, relay_end::whole);
        if (end != relay_end::whole)
            return end;
        if (!body.empty()) {
            if (!send_window(x, chunked, y))
                return interrupted_end(x, relay_end::sink_failed);
        } else if (x.parser.is_done()) {
            break;
        } else {
            wait_for_source(x);
            const auto bytes = http::async_read_some(
                x.from, x.from_buffer, x.parser, y[x.source_error]);
            x.room.arrived(bytes);
            if (x.source_error)
                return interrupted_end(x, relay_end::source_failed);
        }
    }
    if (chunked)
        asio::async_write(x.to.stream, http::make_chunk_last(),
                          y[x.sink_error]);
    return x.sink_error ? interrupted_end(x, relay_end::sink_failed)
                        : relay_end::whole;
}

} // namespace

relay_end relay_body(const std::shared_ptr<body_relay>& x, const yield& y)
{
    asio::steady_timer timer(x->from.get_executor());
    const on_exit leave([&] {
        x->active = false;
        beast::error_code ignored;
        x->to.stream.socket().cancel(ignored);
    });
    x->from.expires_never();
    x->to.stream.expires_never();
    timer.expires_after(std::chrono::microseconds(body_timeout));
    timer.async_wait([x](beast::error_code ec) {
        if (ec || !x->active)
            return;
        x->expired = true;
        cancel_both(*x);
    });
    // A receiver that answers early may not read on.
    x->to.stream.socket().async_wait(tcp::socket::wait_read,
                                     [x](beast::error_code ec) {
                                         if (ec || !x->active)
                                             return;
                                         x->sink_ready = true;
                                         cancel_both(*x);
                                     });
    return run_relay(*x, y);
}

void stop_relay(body_relay& x)
{
    if (!x.active)
        return;
    x.stopped = true;
    cancel_both(x);
}

bool discard_body(beast::tcp_stream& from, beast::flat_buffer& buf,
                  request_parser& parser, span_us timeout, const yield& y)
{
    beast::error_code ec;
    from.expires_after(std::chrono::microseconds(timeout));
    while (!ec && !parser.is_done()) {
        parser.get().body().clear();
        http::async_read_some(from, buf, parser, y[ec]);
    }
    parser.get().body().clear();
    from.expires_never();
    return !ec;
}

std::size_t send_streamed_head(http_connection& to,
                               const http::request_header<>& head,
                               const request_parser& parser,
                               beast::error_code& ec, const yield& y)
{
    http::request_header<> fields = head;
    http::request<http::empty_body> m(std::move(fields));
    if (const auto length = parser.content_length())
        m.content_length(*length);
    else
        m.chunked(true);
    http::request_serializer<http::empty_body> serializer(m);
    return http::async_write_header(to.stream, serializer, y[ec]);
}

} // namespace jasminetray
