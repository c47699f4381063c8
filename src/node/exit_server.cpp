// Implementation of the exit side; see exit_server.hpp.
#include "node/exit_server.hpp"

#include "base/on_exit.hpp"
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "gate/gate_query.hpp"
#include "gate/gate_queue.hpp"
#include "node/announce.hpp"
#include "node/crash_watch.hpp"
#include "node/entry_loan.hpp"
#include "node/entry_team.hpp"
#include "node/guard_func.hpp"
#include "node/health_driver.hpp"
#include "node/held_body.hpp"
#include "node/http_func.hpp"
#include "node/peer_request.hpp"
#include "node/quarantine_driver.hpp"
#include "node/room_update.hpp"
#include "node/worker_notice.hpp"
#include "node/worker_request.hpp"
#include "outlier/outlier_query.hpp"

namespace jasminetray {

namespace {

/// Allows an answer that was sent at the deadline to arrive.
constexpr span_us answer_margin = 30 * us_per_ms;
/// For an answer that goes on past its deadline.
constexpr span_us late_time = 250 * us_per_ms;
constexpr span_us connection_idle_timeout = 60 * us_per_s;
/// An unhealthy backend server may answer 500 without running the request, so
/// such an answer doesn't clear a request of suspicion.
constexpr unsigned first_server_error = 500;
constexpr std::size_t max_logged_target = 200; // bytes in a log line
constexpr span_us min_logged_wait = 250 * us_per_ms;

struct exit_request
{
    string_request message;
    std::optional<fingerprint> fingerprint_cache; ///< computed on first use
    gate_request request;
    std::optional<reported_limit> limit; ///< that the entry node remembers
    std::optional<span_us> leaving_age;  ///< as hop_request
    std::uint32_t source = 0;            ///< see node_state::source_index
    arriving_upload* upload = nullptr;   ///< body that isn't in the message
};

std::uint32_t source_index_of(node_state& n, std::uint32_t id)
{
    const auto next = static_cast<std::uint32_t>(n.source_index.size());
    return n.source_index.emplace(id, next).first->second;
}

std::optional<exit_request>
parse_exit_request(node_state& n, string_request message, mono_us now)
{
    const auto h = parse_hop_request(header_value(message, hop_header));
    if (!h)
        return std::nullopt;
    exit_request w;
    w.request.attempt = h->attempt;
    w.request.boot = h->boot;
    w.request.worker = h->worker;
    w.request.stamp = h->stamp;
    w.request.idempotent = h->idempotent;
    w.request.may_probe = h->may_probe;
    w.request.is_fallback = h->is_fallback;
    w.request.entry_stopping = h->entry_stopping;
    w.limit = h->limit;
    w.leaving_age = h->leaving_age;
    w.request.priority = h->priority;
    w.request.deadline =
        now + std::min(h->remaining, n.local_gate.limits.longest_deadline);
    w.request.target = h->target;
    if (h->target > 0)
        w.request.due = now + h->target - h->elapsed;
    w.source = source_index_of(n, h->centre);
    w.request.route_class = h->route_class;
    w.request.pressure = h->pressure;
    w.request.may_move = h->may_move;
    w.message = std::move(message);
    return w;
}

std::string logged_id(const node_state& n, const exit_request& w)
{
    return n.dialect.preserve_request_id
               ? header_value(w.message, to_beast_view(n.dialect.request))
               : to_text(w.request.attempt);
}

std::string worker_name(const node_state& n, worker_id id)
{
    const auto it = n.workers.find(id);
    return it == n.workers.end() ? "gone" : it->second.name;
}

hop_answer make_hop_answer(const node_state& n, const exit_request& w,
                           hop_outcome outcome, const std::string& reason)
{
    const auto now = mono_now();
    const auto id = w.request.worker;
    hop_answer a;
    a.echo = attempt_echo(w.request.attempt);
    a.outcome = outcome;
    a.reason = reason;
    a.load = gate_load(n.local_gate, id, now);
    a.baseline_work = gate_mean_duration(n.local_gate, id);
    a.failure_percent =
        percent_of(gate_failure_probability(n.local_gate, id, now));
    a.suspect = is_suspect(n.local_gate, id, now);
    const auto it = n.workers.find(id);
    if (it != n.workers.end())
        a.severity = severity_for_source(it->second, w.source);
    // Only non-idempotent requests name the exit process and its stamp.
    if (!w.request.idempotent) {
        a.boot = n.local_gate.boot;
        a.stamp = now;
    }
    return a;
}

/// @param reached whether the backend server itself refused the work
/// @return false when the response could not be written
bool send_refusal(node_state& n, const exit_request& w, beast::tcp_stream& to,
                  hop_outcome outcome, const std::string& reason, bool reached,
                  const yield& y)
{
    string_response r(http::status::service_unavailable, 11);
    auto a = make_hop_answer(n, w, outcome, reason);
    a.reached = reached;
    a.retry_after =
        reason == rate_limited_reason
            ? gate_promise_start(n.local_gate, w.request.worker, mono_now())
            : gate_retry_after(n.local_gate, w.request.worker);
    r.set(hop_header, to_text(a));
    r.keep_alive(true);
    r.prepare_payload();
    beast::error_code ec;
    to.expires_after(std::chrono::microseconds(us_per_s));
    http::async_write(to, r, y[ec]);
    return !ec;
}

/// Waits for a slot, or until the entry node's connection closes.
gate_error wait_for_slot(node_state& n, exit_request& w,
                         beast::tcp_stream& stream, const yield& y)
{
    auto admission =
        std::make_shared<pending_admission>(n.ctx, w.request.deadline);
    n.pending_admissions[w.request.attempt] = admission;
    const on_exit forget(
        [&n, a = w.request.attempt] { n.pending_admissions.erase(a); });
    stream.socket().async_wait(
        tcp::socket::wait_read, [admission, &stream](beast::error_code ec) {
            if (ec || admission->decision || !peer_closed(stream.socket()))
                return;
            admission->caller_left = true;
            admission->signal.cancel();
        });
    while (!admission->decision && !admission->caller_left) {
        const auto left = admission->deadline - mono_now() + us_per_ms;
        admission->signal.expires_after(std::chrono::microseconds(left));
        beast::error_code ec;
        admission->signal.async_wait(y[ec]);
        if (!admission->decision && !admission->caller_left)
            advance_gate(n, w.request.worker);
    }
    n.pending_admissions.erase(w.request.attempt);
    w.request.deadline = admission->deadline;
    w.request.entry_stopping = w.request.entry_stopping || admission->shortened;
    // The socket's handler may still run; a decision makes it return at once.
    if (!admission->decision)
        admission->decision = gate_decision{};
    beast::error_code ec;
    stream.socket().cancel(ec);
    if (!admission->caller_left || admission->decision->start)
        return admission->decision->start ? gate_error::none
                                          : admission->decision->refusal;
    gate_cancel_queued(n.local_gate, w.request, mono_now());
    return gate_error::revoked;
}

void log_queue_wait(node_state& n, const exit_request& w, mono_us since,
                    gate_error refused)
{
    const auto now = mono_now();
    const auto waited = now - since;
    observe_gate_wait(n.metrics, w.request.priority,
                      static_cast<double>(waited) / us_per_s);
    const auto text =
        "worker=" + worker_name(n, w.request.worker) +
        " waited_ms=" + std::to_string(waited / us_per_ms) +
        " left_ms=" + std::to_string((w.request.deadline - now) / us_per_ms) +
        " outcome=" +
        (refused == gate_error::none
             ? "started"
             : std::string(name_of(gate_error_names, refused))) +
        " priority=" + std::to_string(w.request.priority) +
        (n.local_gate.limits.fair.on
             ? " pressure=" + std::to_string(percent_of(w.request.pressure))
             : "") +
        (w.request.entry_stopping ? " leaving=1" : "");
    // Short waits are frequent under load; they get no log line.
    if (waited < min_logged_wait && refused == gate_error::none)
        n.events.record(event_id::work_waited, logged_id(n, w), text);
    else
        n.events.write(event_id::work_waited, logged_id(n, w), text);
}

void log_move(node_state& n, const exit_request& w, span_us waited)
{
    const auto it = n.local_gate.workers.find(w.request.worker);
    if (it == n.local_gate.workers.end())
        return;
    const auto& g = it->second;
    const auto now = mono_now();
    n.events.write(
        event_id::work_moved, logged_id(n, w),
        "worker=" + worker_name(n, w.request.worker) +
            " waited_ms=" + std::to_string(waited / us_per_ms) +
            " due_ms=" + std::to_string((w.request.due - now) / us_per_ms) +
            " usual_ms=" + std::to_string(g.mean_duration / us_per_ms) +
            " waiting=" + std::to_string(g.queue.size()) +
            " limit=" + std::to_string(static_cast<int>(g.limit)) +
            " free_elsewhere=" + std::to_string(g.elsewhere.slots) +
            " age_ms=" + std::to_string((now - g.elsewhere.at) / us_per_ms));
}

/// Releases the slot of work that was quarantined while it was queued.
gate_error withdraw_quarantined(node_state& n, const exit_request& w)
{
    gate_finish(n.local_gate, w.request, work_result::unsent, 0, mono_now());
    advance_gate(n, w.request.worker);
    return gate_error::quarantined;
}

gate_error admit_work(node_state& n, exit_request& w, beast::tcp_stream& stream,
                      const yield& y)
{
    gate_error error{};
    const auto since = mono_now();
    if (w.leaving_age)
        apply_reported_leaving(n, w.request.worker, *w.leaving_age);
    if (w.limit)
        apply_reported_limit(n, w.request.worker, *w.limit);
    // Matched by content: a resubmitted request has another id and would crash
    // the next process too.
    if (!w.upload && is_quarantined(n, w.message, w.fingerprint_cache))
        return gate_refuse_quarantined(n.local_gate, w.request, since,
                                       n.safeguards.gate);
    if (n.local_gate.limits.speeds.on)
        update_room_elsewhere(n, w.request.worker);
    const auto a = gate_admit(command_mode::apply, n.local_gate, w.request,
                              since, error, n.safeguards.gate);
    if (!a)
        return error;
    if (*a != admission::queued)
        return gate_error::none;
    error = wait_for_slot(n, w, stream, y);
    log_queue_wait(n, w, since, error);
    if (error == gate_error::moved)
        log_move(n, w, mono_now() - since);
    if (error == gate_error::none && !w.upload &&
        is_quarantined(n, w.message, w.fingerprint_cache))
        return withdraw_quarantined(n, w);
    return error;
}

/// Handles a notice from an entry node that shuts down. Queued work that can't
/// end by the shorter deadline is refused while it can still run elsewhere;
/// once started, it would be cut off with an unknown result.
bool handle_shorten_notice(node_state& n, const string_request& m,
                           beast::tcp_stream& to, const yield& y)
{
    const auto notice = parse_shorten_notice(header_value(m, hop_header));
    if (!notice)
        return false;
    const auto deadline = mono_now() + notice->remaining;
    std::set<worker_id> affected;
    for (const auto& a : notice->attempts) {
        const auto queued_at = gate_shorten_deadline(n.local_gate, a, deadline);
        const auto it = n.pending_admissions.find(a);
        if (!queued_at || it == n.pending_admissions.end())
            continue;
        it->second->deadline = std::min(it->second->deadline, deadline);
        it->second->shortened = true;
        affected.insert(*queued_at);
    }
    for (const auto id : affected)
        advance_gate(n, id);
    return send_peer_reply(to, "", y);
}

bool send_answer(node_state& n, const exit_request& w, worker_exchange& a,
                 beast::tcp_stream& to, const yield& y)
{
    auto& answer = a.parser->get();
    const bool whole = a.parser->is_done();
    strip_hop_fields(answer);
    auto h = make_hop_answer(n, w, hop_outcome::answer, "");
    h.failed = a.outcome == outcome_kind::failed;
    answer.set(hop_header, to_text(h));
    if (!whole) {
        const auto left = std::max<span_us>(0, w.request.deadline - mono_now());
        const relay_limits limits{w.request.deadline + answer_margin, late_time,
                                  left + us_per_s, w.request.idempotent};
        return relay_answer(*a.link, *a.parser, answer.base(), to, limits, y);
    }
    string_response r(answer.base(), std::move(answer.body()));
    r.version(11);
    r.keep_alive(true);
    if (w.message.method() != http::verb::head)
        r.prepare_payload();
    beast::error_code ec;
    to.expires_after(std::chrono::microseconds(us_per_s));
    http::async_write(to, r, y[ec]);
    return !ec;
}

std::string describe_lost_work(const node_state& n, const exit_request& w,
                               const worker_exchange& a)
{
    if (a.result != work_result::lost)
        return "";
    const std::string method(w.message.method_string());
    const std::string target(w.message.target());
    return " attempt=" + std::to_string(w.request.attempt.count) +
           " closed=" + std::to_string(a.closed_by_worker ? 1 : 0) +
           " fingerprint=" + to_text(fingerprint_of(n, w.message)) +
           " method=" + method +
           " target=" + target.substr(0, max_logged_target);
}

/// Frees the slot of work whose handling an exception has ended.
void abandon_work(node_state& n, const exit_request& w, worker_exchange& a,
                  mono_us started_at)
{
    const auto now = mono_now();
    gate_finish(n.local_gate, w.request, work_result::lost, now - started_at,
                now);
    if (a.result == work_result::answered) {
        a.result = work_result::lost;
        finish_on_worker(n, w.request, a, false);
    }
    advance_gate(n, w.request.worker);
}

bool execute_admitted(node_state& n, exit_request& w, beast::tcp_stream& stream,
                      const yield& y)
{
    const auto started_at = mono_now();
    worker_exchange a;
    bool finished = false;
    const on_exit abandon([&] {
        if (!finished)
            run_guarded(n, "work", [&] { abandon_work(n, w, a, started_at); });
    });
    a = execute_on_worker(n, w.message, w.request, w.source, stream, w.upload,
                          y);
    // Done before the response is sent, as the response carries the estimate.
    record_gate_outcome(n, w.request.worker, a.outcome,
                        mono_now() - started_at - a.body_time);
    if (a.outcome == outcome_kind::success)
        gate_add_time(n.local_gate, w.request,
                      mono_now() - started_at - a.body_time, mono_now());
    bool alive = true;
    if (a.result == work_result::answered) {
        alive = send_answer(n, w, a, stream, y);
        const bool whole = a.parser->is_done();
        if (!whole) {
            // A refusal after the head would count as a part of the body.
            a.head_forwarded = true;
            a.result = work_result::lost;
            a.closed_by_worker = a.link && peer_closed(a.link->stream.socket());
        }
        if (a.closed_by_worker && !w.upload)
            record_lost_work(n, w.request.worker, w.message, true);
        if (whole && !w.upload &&
            a.parser->get().result_int() < first_server_error)
            clear_answered_request(n, w.message, w.fingerprint_cache);
        finish_on_worker(n, w.request, a, whole);
    }
    const auto now = mono_now();
    gate_finish(n.local_gate, w.request, a.result,
                now - started_at - a.body_time, now);
    finished = true;
    n.events.write(
        event_id::work_ended, logged_id(n, w),
        "worker=" + worker_name(n, w.request.worker) +
            " end=" + std::string(name_of(work_result_names, a.result)) +
            (a.reason.empty() ? "" : " reason=" + a.reason) +
            (a.result == work_result::answered
                 ? " status=" + std::to_string(a.parser->get().result_int())
                 : "") +
            describe_lost_work(n, w, a) +
            " us=" + std::to_string(mono_now() - started_at));
    advance_gate(n, w.request.worker);
    increment_counter(*n.metrics.gate, "decision",
                      a.reason.empty() ? "ran" : a.reason);
    if (a.result == work_result::answered || a.head_forwarded)
        return alive;
    const bool ran = a.result == work_result::lost;
    return send_refusal(n, w, stream,
                        ran ? hop_outcome::unknown : hop_outcome::not_run,
                        a.reason, a.result == work_result::shed, y);
}

std::string describe_gate(const node_state& n, const exit_request& w)
{
    const auto it = n.local_gate.workers.find(w.request.worker);
    if (it == n.local_gate.workers.end())
        return "";
    const auto now = mono_now();
    const auto& g = it->second;
    const auto percent = [](double share) {
        return std::to_string(percent_of(share));
    };
    const auto start = next_start(g.starts, n.local_gate.limits.starts, 0, now);
    return " running=" + std::to_string(g.in_flight) +
           " waiting=" + std::to_string(g.queue.size()) +
           " start_ms=" + std::to_string((start - now) / us_per_ms) +
           " limit=" + std::to_string(static_cast<int>(g.limit)) +
           " usual_ms=" + std::to_string(g.mean_duration / us_per_ms) +
           " pressure=" +
           percent(on_time_load_now(g, n.local_gate.limits, now)) + " doubt=" +
           percent(
               gate_failure_probability(n.local_gate, w.request.worker, now)) +
           " left_ms=" + std::to_string((w.request.deadline - now) / us_per_ms);
}

/// Refuses a request whose body finds no room.
bool refuse_body(node_state& n, const exit_request& w,
                 beast::tcp_stream& stream, const yield& y)
{
    const bool not_run = gate_record_refusal(n.local_gate, w.request,
                                             mono_now(), n.safeguards.gate);
    increment_counter(*n.metrics.gate, "decision", body_memory_reason);
    note_bodies_full(n, "exit");
    return send_refusal(n, w, stream,
                        not_run ? hop_outcome::not_run : hop_outcome::unknown,
                        body_memory_reason, false, y);
}

/// @param received_at when the message's head was complete
/// @param upload body that the entry node holds back; null when the message is
///        complete
bool handle_work(node_state& n, string_request message, mono_us received_at,
                 arriving_upload* upload, beast::tcp_stream& stream,
                 const yield& y)
{
    auto w = parse_exit_request(n, std::move(message), received_at);
    if (!w)
        return false; // not sent by an entry node
    w->upload = upload;
    if (upload != nullptr) {
        upload->room = body_room(n, peer_kinds.window, stream_window_bytes);
        if (!upload->room.has_value())
            return refuse_body(n, *w, stream, y);
    }
    const auto refused = admit_work(n, *w, stream, y);
    if (refused == gate_error::none)
        return execute_admitted(n, *w, stream, y);
    const std::string reason(name_of(gate_error_names, refused));
    increment_counter(*n.metrics.gate, "decision", reason);
    // Only after this refusal may the work have run: its first copy did.
    const bool ran = refused == gate_error::duplicate;
    n.events.write(
        event_id::work_refused, logged_id(n, *w),
        "worker=" + to_hex(static_cast<std::uint64_t>(w->request.worker)) +
            " reason=" + reason + describe_gate(n, *w));
    return send_refusal(n, *w, stream,
                        ran ? hop_outcome::unknown : hop_outcome::not_run,
                        reason, false, y);
}

bool send_ping_reply(node_state& n, beast::tcp_stream& to, const yield& y)
{
    hop_answer a;
    a.outcome = hop_outcome::answer;
    a.takes_streams = n.bodies.limit > 0;
    a.boot = n.local_gate.boot;
    a.stamp = mono_now();
    return send_peer_reply(to, to_text(a), y);
}

/// Returns whether a request's body is to be asked for.
bool asks_to_stream(const node_state& n, const request_parser& parser)
{
    const auto length = parser.content_length_remaining();
    if (n.bodies.limit == 0 || parser.is_done() ||
        (length && *length <= small_body_bytes))
        return false;
    const auto h = parse_hop_request(header_value(parser.get(), hop_header));
    return h && h->streamed;
}

/// @return false when the connection can't be used any more
bool handle_upload(node_state& n, request_parser& parser,
                   beast::flat_buffer& buf, beast::tcp_stream& stream,
                   const yield& y)
{
    stream.expires_never();
    arriving_upload upload{stream, buf, parser};
    string_request message;
    message.base() = parser.get().base();
    const bool alive =
        handle_work(n, std::move(message), mono_now(), &upload, stream, y);
    end_upload(upload, y);
    return alive && !upload.cut;
}

/// Reads past a body that finds no room and refuses its request.
/// @return false when the connection can't be used any more
bool refuse_unread(node_state& n, request_parser& parser,
                   beast::flat_buffer& buf, beast::tcp_stream& stream,
                   const yield& y)
{
    constexpr span_us skip_timeout = 5 * us_per_s;
    if (!discard_body(stream, buf, parser, skip_timeout, y))
        return false;
    const auto w = parse_exit_request(n, parser.release(), mono_now());
    return w && refuse_body(n, *w, stream, y);
}

} // namespace

void serve_exit_connection(node_state& n, beast::tcp_stream stream,
                           const yield& y)
{
    const message_limits limits{
        max_hop_head, static_cast<std::uint64_t>(n.settings.max_body)};
    beast::flat_buffer buf(limits.head_bytes);
    bool alive = true;
    while (alive) {
        request_parser parser;
        apply_limits(parser, buf, limits);
        stream.expires_after(
            std::chrono::microseconds(connection_idle_timeout));
        beast::error_code ec;
        body_room head_room;
        if (!read_held_head(n, peer_kinds, stream, buf, parser, head_room, ec,
                            y)) {
            note_bodies_full(n, "exit");
            break;
        }
        if (!ec && asks_to_stream(n, parser)) {
            alive = handle_upload(n, parser, buf, stream, y);
            continue;
        }
        const auto received_at = mono_now();
        body_room room;
        if (!ec && !parser.is_done()) {
            stream.expires_never();
            // A node that doesn't stream sends large bodies whole, too.
            const auto need =
                held_body_need(n, peer_kinds, parser)
                    .value_or(body_need{peer_kinds.held,
                                        parser.content_length().value_or(0)});
            room = wait_for_room(n, need.kind, need.bytes, y);
            stream.expires_after(
                std::chrono::microseconds(connection_idle_timeout));
            if (!room.has_value()) {
                alive = refuse_unread(n, parser, buf, stream, y);
                continue;
            }
        }
        head_fields head(parser);
        if (!ec)
            read_held_body(stream, buf, parser, room, ec, y);
        head.drop_trailer(parser);
        log_too_long(n, message_side::node, ec, limits, buf);
        if (ec || !parser.is_done())
            break;
        stream.expires_never();
        auto message = parser.release();
        if (message.target() == ping_path)
            alive = send_ping_reply(n, stream, y);
        else if (message.target() == allowance_path)
            alive = serve_grant_request(n, message, stream, y);
        else if (message.target() == retry_path)
            alive = grant_retry_loan(n, message, stream, y);
        else if (message.target() == shorten_path)
            alive = handle_shorten_notice(n, message, stream, y);
        else
            alive = handle_work(n, std::move(message), received_at, nullptr,
                                stream, y);
    }
}

void advance_gate(node_state& n, worker_id w)
{
    update_room_elsewhere(n, w);
    deliver_gate_decisions(n, gate_advance(n.local_gate, w, mono_now()));
}

void tick_gate(node_state& n, mono_us now)
{
    gate_expire_records(n.local_gate, now);
    for (const auto& [id, w] : n.workers) {
        record_early_success(n, id, now);
        advance_gate(n, id);
    }
}

revoke_reply handle_revoke(node_state& n, const attempt_id& a, boot_id boot)
{
    const auto reply =
        gate_revoke(n.local_gate, a, boot, mono_now(), n.safeguards.gate);
    const auto it = n.pending_admissions.find(a);
    if (reply == revoke_reply::not_run && it != n.pending_admissions.end()) {
        it->second->decision = gate_decision{a, false, gate_error::revoked};
        it->second->signal.cancel();
    }
    return reply;
}

} // namespace jasminetray
