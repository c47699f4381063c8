// Implementation of uploads at the exit side; see exit_upload.hpp.
#include "node/exit_upload.hpp"

#include "base/on_exit.hpp"
#include "node/http_func.hpp"

namespace jasminetray {

namespace {

/// For the entry node to close after an answer that came early.
constexpr span_us close_timeout = us_per_s;
/// Beyond body_timeout, so that the entry node's ends first: it knows that the
/// caller is slow, and not the path.
constexpr span_us first_window_margin = us_per_s;

/// Asks for the body and reads its first part. A backend server learns of the
/// request only then.
void read_first_window(arriving_upload& u, beast::error_code& ec,
                       const yield& y)
{
    u.begun = true;
    http::response<http::empty_body> go_ahead(http::status::continue_, 11);
    u.entry.expires_after(
        std::chrono::microseconds(body_timeout + first_window_margin));
    http::async_write(u.entry, go_ahead, y[ec]);
    while (!ec && !u.parser.is_done() && u.parser.get().body().empty()) {
        u.room.wait([&u] { u.entry.cancel(); });
        const auto bytes =
            http::async_read_some(u.entry, u.buf, u.parser, y[ec]);
        u.room.arrived(bytes);
    }
    u.entry.expires_never();
    u.source_failed = static_cast<bool>(ec);
}

/// Returns the error of a relay after which no answer can come.
beast::error_code relay_error(const body_relay& x, relay_end end)
{
    switch (end) {
    case relay_end::whole:
    case relay_end::sink_answered:
        return {};
    case relay_end::sink_failed:
        // A backend server that closed may have answered before.
        return x.sink_error == asio::error::operation_aborted
                   ? x.sink_error
                   : beast::error_code();
    case relay_end::sink_slow:
        return beast::error::timeout;
    case relay_end::source_failed:
    case relay_end::source_slow:
    case relay_end::stopped:
        break;
    }
    return asio::error::operation_aborted;
}

} // namespace

std::size_t forward_upload(arriving_upload& u, http_connection& to,
                           const http::request_header<>& head,
                           beast::error_code& ec, const yield& y)
{
    const auto since = mono_now();
    const on_exit note_time([&] { u.took = mono_now() - since; });
    u.cut = true;
    read_first_window(u, ec, y);
    // Meanwhile nothing was read from the backend server, which may have ended.
    if (!ec && peer_closed(to.stream.socket()))
        ec = asio::error::connection_reset;
    if (ec)
        return 0;
    to.stream.expires_after(std::chrono::microseconds(body_timeout));
    const auto head_bytes = send_streamed_head(to, head, u.parser, ec, y);
    if (ec)
        return head_bytes;
    const auto x =
        std::make_shared<body_relay>(u.entry, u.buf, u.parser, to, u.room);
    const auto end = relay_body(x, y);
    u.cut = end != relay_end::whole;
    u.sent = x->bytes;
    u.source_failed =
        end == relay_end::source_failed || end == relay_end::source_slow;
    ec = relay_error(*x, end);
    return head_bytes + static_cast<std::size_t>(x->bytes);
}

void end_upload(arriving_upload& u, const yield& y)
{
    if (!u.begun || u.parser.is_done() || u.source_failed)
        return;
    beast::error_code ignored;
    u.entry.socket().shutdown(tcp::socket::shutdown_send, ignored);
    discard_body(u.entry, u.buf, u.parser, close_timeout, y);
}

} // namespace jasminetray
