// Implementation of streamed uploads; see entry_upload.hpp.
#include "node/entry_upload.hpp"

#include "base/on_exit.hpp"
#include "http/message_head.hpp"
#include "node/entry_request.hpp"
#include "node/guard_func.hpp"
#include "node/http_func.hpp"
#include "node/step_timeout.hpp"

#include <poll.h>

namespace jasminetray {

namespace {

constexpr span_us skip_timeout = 5 * us_per_s;

/// Moves a request's deadline by the time that its body takes: the time of a
/// request begins with the last byte of its body.
class body_time
{
public:
    explicit body_time(entry_request& r)
        : r_(r), since_(mono_now()), deadline_(r.machine.deadline)
    {
        move_deadline(body_timeout);
    }

    ~body_time()
    {
        move_deadline(mono_now() - since_);
    }

    body_time(const body_time&) = delete;
    body_time& operator=(const body_time&) = delete;

private:
    void move_deadline(span_us by) noexcept
    {
        r_.machine.deadline = std::min(deadline_ + by, r_.n.last_answer_at);
        run_guarded(r_.n, "upload", [this] {
            r_.queue_event({attempt_event_kind::timer, 0, ""});
        });
    }

    entry_request& r_;
    mono_us since_;
    mono_us deadline_;
};

/// Marks the body as being read for one attempt.
class busy_upload
{
public:
    explicit busy_upload(caller_upload& u) : u_(u)
    {
        u_.busy = u_.taken = true;
    }

    ~busy_upload()
    {
        u_.busy = false;
        u_.relay = nullptr;
        u_.released.cancel();
    }

    busy_upload(const busy_upload&) = delete;
    busy_upload& operator=(const busy_upload&) = delete;

private:
    caller_upload& u_;
};

/// Returns whether the caller has closed its side, also behind unread bytes.
bool has_left(tcp::socket& s)
{
    pollfd p{s.native_handle(), POLLRDHUP, 0};
    return ::poll(&p, 1, 0) > 0 &&
           (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void ask_for_body(caller_upload& u, beast::error_code& ec, const yield& y)
{
    if (!std::exchange(u.awaits_continue, false))
        return;
    http::response<http::empty_body> m(http::status::continue_, 11);
    http::async_write(u.link->stream, m, y[ec]);
}

/// Ends a request whose caller failed to send the body.
std::string note_caller_failure(entry_request& r, relay_end end,
                                const beast::error_code& ec)
{
    auto& u = *r.upload;
    log_too_long(r.n, message_side::caller, ec,
                 {static_cast<std::uint32_t>(u.link->buf.max_size()), u.limit},
                 u.link->buf);
    if (end == relay_end::source_slow) {
        u.failed = http::status::request_timeout;
        return "slow-body";
    }
    if (ec == http::error::body_limit) {
        u.failed = http::status::payload_too_large;
        return "body-too-large";
    }
    if (is_malformed(ec)) {
        u.failed = http::status::bad_request;
        return "malformed";
    }
    r.queue_event({attempt_event_kind::caller_disconnected, 0, ""});
    return "caller-left";
}

upload_result finish_stream(entry_request& r, entry_attempt& t, relay_end end)
{
    auto& u = *r.upload;
    switch (end) {
    case relay_end::whole:
        if (u.on_whole)
            u.on_whole();
        return {upload_end::answered, ""};
    case relay_end::sink_answered:
    case relay_end::sink_failed:
        return {upload_end::answered, ""};
    case relay_end::source_failed:
    case relay_end::source_slow:
        // The exit node learns it by the close.
        t.connection->stream.close();
        return {upload_end::lost,
                note_caller_failure(r, end, u.relay->source_error)};
    case relay_end::sink_slow:
    case relay_end::stopped:
        break;
    }
    t.connection->stream.close();
    return {upload_end::lost,
            "body-" + std::string(name_of(relay_end_names, end))};
}

/// Waits for the exit node's permission to send the body.
/// @return nothing when it was given
std::optional<upload_result> await_admission(entry_request& r, entry_attempt& t,
                                             const http::request_header<>& head,
                                             const yield& y)
{
    beast::error_code ec;
    send_streamed_head(*t.connection, head, *r.upload->parser, ec, y);
    auto answer = std::make_unique<response_parser>();
    apply_limits(*answer, t.connection->buf, hop_answer_limits);
    if (!ec)
        read_head(*t.connection, *answer, ec, y);
    log_unreadable(r.n, message_side::node, ec, hop_answer_limits,
                   t.connection->buf, r.label);
    if (ec) {
        // Without a byte of the body the exit node starts nothing. Its slot is
        // free once the connection closes.
        t.connection->stream.close();
        if (!t.cancelled)
            record_path_result(r.n, t.exit, true);
        return upload_result{upload_end::unsent, "exit-lost"};
    }
    if (answer->get().result() == http::status::continue_)
        return std::nullopt;
    t.parser = std::move(answer);
    return upload_result{upload_end::answered, ""};
}

} // namespace

bool is_streamed(const entry_request& r)
{
    return r.upload && !r.upload->held;
}

std::uint64_t request_body_bytes(const entry_request& r)
{
    if (!is_streamed(r))
        return r.message.body().size();
    const auto length = r.upload->parser->content_length();
    return std::max<std::uint64_t>(r.upload->sent, length.value_or(0));
}

upload_result send_upload(entry_request& r, entry_attempt& t,
                          const http::request_header<>& head, const yield& y)
{
    auto& u = *r.upload;
    if (auto refused = await_admission(r, t, head, y))
        return *refused;
    auto& caller = u.link->stream;
    if (t.cancelled || u.stopped || u.taken) {
        t.connection->stream.close();
        return {upload_end::unsent, "body-taken"};
    }
    if (has_left(caller.socket())) {
        t.connection->stream.close();
        r.queue_event({attempt_event_kind::caller_disconnected, 0, ""});
        return {upload_end::unsent, "caller-left"};
    }
    const busy_upload busy(u);
    const body_time time(r);
    r.machine.body_spent = true;
    beast::error_code ec;
    ask_for_body(u, ec, y);
    if (ec || u.stopped || t.cancelled) {
        t.connection->stream.close();
        return {upload_end::unsent, "caller-left"};
    }
    u.relay = std::make_shared<body_relay>(caller, u.link->buf, *u.parser,
                                           *t.connection, u.room);
    // The kernel counts a receiver without room as a broken path.
    auto& path = t.connection->stream.socket();
    set_path_timeouts(path, false);
    const auto end = relay_body(u.relay, y);
    set_path_timeouts(path, r.machine.policy.idempotent);
    u.sent = u.relay->bytes;
    u.cut = end != relay_end::whole;
    if (end != relay_end::whole)
        r.n.events.write(
            event_id::upload_ended, r.label,
            "side=entry end=" + std::string(name_of(relay_end_names, end)) +
                " bytes=" + std::to_string(u.sent));
    return finish_stream(r, t, end);
}

bool hold_upload(entry_request& r, const yield& y)
{
    auto& u = *r.upload;
    if (u.stopped || u.taken)
        return u.held;
    const auto length = u.parser->content_length();
    body_room room(r.n, body_kind::held, length.value_or(u.limit));
    if (!room.has_value()) {
        note_bodies_full(r.n, "entry");
        return false;
    }
    const busy_upload busy(u);
    const body_time time(r);
    const step_timeout timer(u.link->stream, body_timeout);
    beast::error_code ec;
    ask_for_body(u, ec, y);
    while (!ec && !u.stopped && !u.parser->is_done()) {
        room.wait([&u] { u.link->stream.cancel(); });
        const auto got = http::async_read_some(u.link->stream, u.link->buf,
                                               *u.parser, y[ec]);
        room.arrived(got);
    }
    const bool idle = timer.expired() || room.withdrawn();
    u.room = std::move(room);
    if (u.stopped)
        return false;
    if (ec) {
        r.machine.body_spent = true;
        note_caller_failure(
            r, idle ? relay_end::source_slow : relay_end::source_failed, ec);
        return false;
    }
    r.message.body() = std::move(u.parser->get().body());
    u.held = true;
    r.n.events.write(event_id::upload_held, r.label,
                     "bytes=" + std::to_string(r.message.body().size()));
    if (u.on_whole)
        u.on_whole();
    return true;
}

void stop_upload(caller_upload& u, const yield& y)
{
    u.stopped = true;
    u.on_whole = nullptr;
    if (!u.busy)
        return;
    if (u.relay)
        stop_relay(*u.relay);
    else
        u.link->stream.cancel();
    while (u.busy) {
        beast::error_code ec;
        u.released.async_wait(y[ec]);
    }
}

bool skip_upload(caller_upload& u, const yield& y)
{
    if (u.parser->is_done())
        return true;
    if (u.awaits_continue)
        return false;
    std::string().swap(u.parser->get().body());
    return discard_body(u.link->stream, u.link->buf, *u.parser, skip_timeout,
                        y);
}

} // namespace jasminetray
