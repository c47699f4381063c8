// Network I/O of attempts: connections, pings, messages and answers.
#include "attempt/attempt_func.hpp"
#include "base/on_exit.hpp"
#include "base/text_func.hpp"
#include "node/entry_placement.hpp"
#include "node/entry_upload.hpp"
#include "node/guard_func.hpp"
#include "node/http_func.hpp"
#include "node/peer_request.hpp"
#include "node/quarantine_driver.hpp"
#include "node/worker_notice_type.hpp"

namespace jasminetray {

namespace {

constexpr span_us connect_timeout = 250 * us_per_ms;
constexpr span_us ping_timeout = 100 * us_per_ms;
constexpr span_us revoke_timeout = 80 * us_per_ms;
/// Of attempts that an exception ended.
constexpr char internal_reason[] = "internal";

/// Result of an attempt.
struct attempt_result
{
    attempt_event_kind kind{};
    std::string reason;
    bool reached = false; ///< not-run: a backend server rejected it
    bool moved = false;   ///< not-run: another backend server has room
};

void update_stamp(node_state& n, node_id exit, const hop_answer& a)
{
    const auto it = n.view.nodes.find(exit);
    if (it == n.view.nodes.end())
        return;
    auto& v = it->second;
    const auto now = mono_now();
    v.last_reply_at = now;
    if (a.boot == boot_id{})
        return;
    // Stamps of one process are monotonic; a new process starts its own.
    if (v.stamp_boot != a.boot || a.stamp > v.stamp) {
        v.stamp_boot = a.boot;
        v.stamp = a.stamp;
        v.stamp_at = now;
    }
}

void update_candidate(node_state& n, const entry_request& r,
                      const entry_attempt& t, const hop_answer& a)
{
    const auto it = n.view.services.find(r.service_key);
    auto* c = view_candidate(n.view, r.service_key, t.worker);
    if (c == nullptr || it == n.view.services.end())
        return;
    const auto now = mono_now();
    view_update_load(*c,
                     {t.worker,
                      r.service_key,
                      a.load,
                      a.baseline_work,
                      a.failure_percent,
                      a.suspect,
                      {}},
                     now);
    const auto index =
        static_cast<std::size_t>(c - it->second.candidates.data());
    auto& reported = it->second.answer_severities[index];
    // Applies a changed ejection request at once; gossip would delay it.
    const bool moved = reported.severity / 25 != a.severity / 25;
    reported = {a.severity, now};
    if (moved && r.service != nullptr)
        view_apply_ejections(n.view, r.service_key, *r.service, n.paths, now);
}

/// Longer than the state machine waits, so that its timer fires first.
void set_answer_timeout(const entry_request& r, entry_attempt& t)
{
    t.connection->stream.expires_after(std::chrono::microseconds(
        std::max<span_us>(0, r.machine.deadline - mono_now()) + us_per_s));
}

/// Checks a connection with a round trip, and fetches a fresh stamp.
/// @return nothing when the exit node did not answer
std::optional<hop_answer> ping(node_state& n, http_connection& connection,
                               node_id exit, const yield& y)
{
    const auto reply = exchange_messages(n, connection, ping_path, "",
                                         mono_now() + ping_timeout, y);
    const auto a = reply ? parse_hop_answer(*reply) : std::nullopt;
    if (a)
        update_stamp(n, exit, *a);
    return a;
}

bool needs_ping(const entry_request& r, const http_connection& connection,
                node_id exit)
{
    if (r.machine.policy.idempotent)
        return false;
    const auto now = mono_now();
    const auto it = r.n.view.nodes.find(exit);
    const bool stale = it == r.n.view.nodes.end() ||
                       it->second.stamp_boot != it->second.record.boot ||
                       now - it->second.stamp_at > r.n.settings.idle_ping_after;
    return stale || (connection.used &&
                     now - connection.last_used > r.n.settings.idle_ping_after);
}

/// Returns an idle or new connection that is safe for this request, or null.
std::unique_ptr<http_connection> open_connection(entry_request& r,
                                                 entry_attempt& t,
                                                 bool new_connection,
                                                 const yield& y)
{
    auto& n = r.n;
    if (!new_connection) {
        auto connection = take_idle_connection(n.exit_connections[t.exit],
                                               mono_now() - exit_idle_timeout);
        // A middlebox may have dropped an idle connection; a ping finds out
        // without risking non-idempotent work.
        if (connection && (!needs_ping(r, *connection, t.exit) ||
                           ping(n, *connection, t.exit, y)))
            return connection;
    }
    auto connection = connect_exit(n, t.address, r.machine.deadline, y);
    if (connection && needs_ping(r, *connection, t.exit) &&
        !ping(n, *connection, t.exit, y))
        connection = nullptr;
    return connection;
}

borrowed_request make_hop_message(const entry_request& r,
                                  const entry_attempt& t, std::uint32_t count)
{
    const auto& n = r.n;
    auto q = borrow_message(r.message);
    strip_hop_fields(q);
    q.version(11);
    q.keep_alive(true);
    const auto it = n.view.nodes.find(t.exit);
    const bool known =
        it != n.view.nodes.end() && it->second.stamp_boot == t.boot;
    hop_request h;
    h.attempt = {r.id, count};
    h.worker = t.worker;
    h.idempotent = r.machine.policy.idempotent;
    h.may_probe = t.may_probe;
    h.is_fallback = t.is_fallback;
    // A gate refuses work of a stopping node that it may not finish, so that
    // the caller can retry it. After an attempt that may have run, the caller
    // can't, and a late answer is better than none.
    h.entry_stopping = r.machine.deadline >= n.last_answer_at &&
                       attempt_is_proven_not_run(r.machine, count);
    const auto& limits = n.local_gate.limits;
    if (limits.fair.on)
        h.pressure = r.pressure;
    h.may_move = t.may_move;
    h.streamed = is_streamed(r);
    h.priority = r.priority;
    h.route_class = r.route_class;
    h.centre = static_cast<std::uint32_t>(n.self.centre);
    const auto now = mono_now();
    const auto& notices = n.view.notices;
    if (const auto at = find_exit_leaving(notices, t.exit, r.service_key, now))
        h.leaving_age = now - *at;
    else if (const auto limit =
                 find_noted_limit(notices, t.exit, r.service_key, now))
        h.limit = reported_limit{limit->rate, now - limit->at};
    h.remaining = r.machine.deadline - now;
    h.elapsed = now - r.received_at;
    h.target = r.route->target_us;
    h.boot = t.boot;
    h.stamp = known ? it->second.stamp : 0;
    q.set(hop_header, to_text(h));
    q.prepare_payload();
    return q;
}

void note_leaving_worker(const entry_request& r, const entry_attempt& t,
                         mono_us sent_at)
{
    auto& n = r.n;
    if (!n.settings.experiment.is_enabled(mechanism::leaving_answers))
        return;
    note_exit_leaving(n.view.notices, t.exit, r.service_key, t.worker, sent_at);
    if (!note_leaving(n.view.notices, t.worker, mono_now()))
        return;
    n.events.write(
        event_id::worker_notice_noted, r.label,
        "leaving=1 worker=" + to_hex(static_cast<std::uint64_t>(t.worker)) +
            " service=" + r.service->name);
    apply_service_ejections(n, {r.service_key});
}

/// Remembers what a backend server says about itself in an answer. It binds
/// this node whatever the exit node or the membership says later.
void note_answer(const entry_request& r, const entry_attempt& t,
                 std::uint32_t count)
{
    auto& n = r.n;
    auto& memory = n.view.notices;
    const auto x = read_worker_notice(n.dialect, t.parser->get());
    const auto sent_at = r.machine.attempt_states[count - 1].sent_at;
    if (x.leaving)
        note_leaving_worker(r, t, sent_at);
    else
        note_exit_not_leaving(memory, t.exit, r.service_key, t.worker, sent_at);
    if (x.rate) {
        if (note_limit(memory, t.exit, r.service_key, *x.rate, mono_now()))
            n.events.write(event_id::worker_notice_noted, r.label,
                           "limit=" + std::to_string(*x.rate) + " worker=" +
                               to_hex(static_cast<std::uint64_t>(t.worker)) +
                               " service=" + r.service->name);
    } else if (!x.rate_unreadable) {
        note_no_limit(memory, t.exit, r.service_key, sent_at);
    }
}

/// Maps the exit node's answer to an event of the state machine.
attempt_result classify_answer(const entry_request& r, entry_attempt& t,
                               std::uint32_t count, const hop_answer& a)
{
    if (r.n.safeguards.check_echo &&
        a.echo != attempt_echo(attempt_id{r.id, count})) {
        r.n.events.write(event_id::echo_mismatch, r.label,
                         "exit=" + to_hex(static_cast<std::uint64_t>(t.exit)));
        return {attempt_event_kind::lost, "echo-mismatch"};
    }
    t.retry_after = a.retry_after;
    t.rate_limited =
        a.outcome == hop_outcome::not_run && a.reason == rate_limited_reason;
    switch (a.outcome) {
    case hop_outcome::answer: {
        note_answer(r, t, count);
        const bool again =
            a.failed && t.parser->is_done() && r.machine.policy.idempotent;
        return {again ? attempt_event_kind::failed_answer
                      : attempt_event_kind::answer,
                a.failed ? "server-failure" : ""};
    }
    case hop_outcome::not_run:
        return {a.reason == quarantined_reason ? attempt_event_kind::quarantined
                                               : attempt_event_kind::not_run,
                a.reason, a.reached, t.may_move && a.reason == moved_reason};
    case hop_outcome::unknown:
        break;
    }
    return {attempt_event_kind::unknown, a.reason};
}

/// Finds out whether the exit node takes a streamed body. The connection leads
/// to one process, so what it says holds for the attempt. Otherwise the body is
/// read whole first.
std::optional<attempt_result> prepare_upload(entry_request& r, entry_attempt& t,
                                             const yield& y)
{
    const auto reply = ping(r.n, *t.connection, t.exit, y);
    if (!reply) {
        if (!t.cancelled)
            record_path_result(r.n, t.exit, true);
        return attempt_result{attempt_event_kind::unsent, "exit-unreachable"};
    }
    if (reply->takes_streams)
        return std::nullopt;
    if (!hold_upload(r, y))
        return attempt_result{attempt_event_kind::unsent, body_memory_reason};
    // The exit node's stamp has aged while the body was read.
    if (t.cancelled || !ping(r.n, *t.connection, t.exit, y))
        return attempt_result{attempt_event_kind::unsent, "exit-unreachable"};
    return std::nullopt;
}

/// Sends a request, unless the exit node has answered before that. A streamed
/// body stays with its caller until the exit node asks for it.
/// @return nothing when the answer is to be read
std::optional<attempt_result> send_request(entry_request& r, entry_attempt& t,
                                           const borrowed_request& q,
                                           beast::error_code& ec,
                                           const yield& y)
{
    if (!is_streamed(r)) {
        const auto sent = http::async_write(t.connection->stream, q, y[ec]);
        if (ec && sent == 0)
            return attempt_result{attempt_event_kind::unsent, "exit-write"};
        return std::nullopt;
    }
    const auto x = send_upload(r, t, q, y);
    if (x.end == upload_end::unsent)
        return attempt_result{attempt_event_kind::unsent, x.reason};
    if (x.end == upload_end::lost)
        return attempt_result{attempt_event_kind::lost, x.reason};
    set_answer_timeout(r, t);
    return std::nullopt;
}

/// Sends an attempt and reads its answer up to the buffer limit.
attempt_result run_attempt(entry_request& r, entry_attempt& t,
                           std::uint32_t count, bool new_connection,
                           const yield& y)
{
    auto& n = r.n;
    t.connection = open_connection(r, t, new_connection, y);
    if (!t.connection || t.cancelled) {
        if (!t.cancelled)
            record_path_result(n, t.exit, true);
        return {attempt_event_kind::unsent, "exit-unreachable"};
    }
    // Non-idempotent work waits until its deadline: the path may recover and
    // the answer still arrive.
    set_path_timeouts(t.connection->stream.socket(),
                      r.machine.policy.idempotent);
    if (is_streamed(r)) {
        if (auto failed = prepare_upload(r, t, y))
            return *failed;
    }
    const auto q = make_hop_message(r, t, count);
    set_answer_timeout(r, t);
    beast::error_code ec;
    if (auto failed = send_request(r, t, q, ec, y))
        return *failed;
    if (!ec && !t.parser) {
        t.parser = std::make_unique<response_parser>();
        apply_limits(*t.parser, t.connection->buf, hop_answer_limits);
        if (r.message.method() == http::verb::head)
            t.parser->skip(true);
    }
    if (!ec)
        ec = read_held_answer(n, *t.connection, *t.parser, t.room, y);
    if (ec) {
        log_unreadable(n, message_side::node, ec, hop_answer_limits,
                       t.connection->buf, r.label);
        if (!t.cancelled)
            record_path_result(n, t.exit, true);
        return {attempt_event_kind::lost, "exit-lost"};
    }
    record_path_result(n, t.exit, false);
    const auto a = parse_hop_answer(header_value(t.parser->get(), hop_header));
    if (!a)
        return {attempt_event_kind::lost, "exit-malformed"};
    update_stamp(n, t.exit, *a);
    update_candidate(n, r, t, *a);
    return classify_answer(r, t, count, *a);
}

void finish_attempt(entry_request& r, entry_attempt& t,
                    const attempt_result& result)
{
    if (auto* c = view_candidate(r.n.view, r.service_key, t.worker))
        c->in_flight = std::max(0, c->in_flight - 1);
    if (result.kind != attempt_event_kind::unsent)
        count_carried_bytes(
            r, t,
            (is_streamed(r) ? r.upload->sent : r.message.body().size()) +
                (t.parser ? t.parser->get().body().size() : 0));
    // The caller's coroutine owns the connection of an incomplete answer.
    const bool complete = t.parser && t.parser->is_done() && !t.cancelled;
    const bool cut = r.upload && r.upload->cut;
    if (complete && !cut && result.reason != "echo-mismatch" &&
        result.reason != internal_reason &&
        is_reusable(*t.connection, t.parser->keep_alive())) {
        return_connection(r.n.exit_connections[t.exit], std::move(t.connection),
                          max_idle_exit_connections, mono_now());
    } else if (complete || t.cancelled || result.reason == internal_reason) {
        t.connection.reset();
    }
}

void log_path_step(node_state& n, node_id exit, path_transition step)
{
    const auto subject = to_hex(static_cast<std::uint64_t>(exit));
    switch (step) {
    case path_transition::none:
        return;
    case path_transition::avoid:
        n.events.write(event_id::path_avoided, subject, "");
        break;
    case path_transition::restore:
        n.events.write(event_id::path_restored, subject, "");
        break;
    case path_transition::local_fault_began:
        n.events.write(event_id::self_doubt_began, n.settings.name, "");
        break;
    case path_transition::local_fault_ended:
        n.events.write(event_id::self_doubt_ended, n.settings.name, "");
        break;
    }
    publish_self(n);
}

} // namespace

std::unique_ptr<http_connection> connect_exit(node_state& n,
                                              const node_address& to,
                                              mono_us deadline, const yield& y)
{
    auto connection = std::make_unique<http_connection>(n.ctx);
    const auto left = std::max<span_us>(1, deadline - mono_now());
    connection->stream.expires_after(
        std::chrono::microseconds(std::min(connect_timeout, left)));
    const tcp::endpoint at(asio::ip::address_v4(to.ip), to.exit_port);
    beast::error_code ec;
    connection->stream.async_connect(at, y[ec]);
    if (ec)
        return nullptr;
    connection->stream.socket().set_option(tcp::no_delay(true), ec);
    return connection;
}

void count_carried_bytes(entry_request& r, const entry_attempt& t,
                         std::size_t bytes)
{
    if (t.far && bytes > 0)
        increment_bounded(r.n.metrics.carried_bytes, r.route->name,
                          static_cast<double>(bytes));
}

void entry_request::queue_event(attempt_event e)
{
    event_queue.push_back(std::move(e));
    signal.cancel();
}

void record_path_result(node_state& n, node_id exit, bool lost)
{
    if (exit == n.self.id ||
        !n.settings.experiment.is_enabled(mechanism::path_avoidance))
        return;
    log_path_step(
        n, exit,
        path_record_result(n.paths, n.path_settings, exit, lost, mono_now()));
}

void start_attempt(const std::shared_ptr<entry_request>& r, std::uint32_t count,
                   attempt_action_kind kind)
{
    const bool new_connection = kind != attempt_action_kind::send;
    r->attempts.emplace_back();
    auto& t = r->attempts.back();
    t.is_fallback = kind == attempt_action_kind::send_fallback;
    t.may_probe = can_retry_elsewhere(*r);
    if (!select_target(*r, t, count))
        return r->queue_event({attempt_event_kind::no_worker, count,
                               t.is_fallback ? "" : "no-worker"});
    spawn_guarded(
        r->n, "attempt", [r, &t, count, new_connection](const yield& y) {
            attempt_result result{attempt_event_kind::lost, internal_reason};
            const on_exit finish([&] {
                run_guarded(r->n, "attempt", [&] {
                    finish_attempt(*r, t, result);
                    r->moves += result.moved ? 1 : 0;
                    if (!t.cancelled)
                        r->queue_event({result.kind, count, result.reason,
                                        result.reached, result.moved});
                });
            });
            result = run_attempt(*r, t, count, new_connection, y);
        });
}

void start_revoke(const std::shared_ptr<entry_request>& r, std::uint32_t count)
{
    const auto& t = r->attempts[count - 1];
    const auto left = r->machine.deadline - mono_now();
    const auto timeout = std::min(revoke_timeout, std::max<span_us>(1, left));
    r->n.control.revoke(
        t.address, attempt_id{r->id, count}, t.boot, timeout,
        [r, count](std::optional<revoke_reply> reply) {
            r->n.events.write(
                event_id::attempt_revoked, r->label,
                "attempt=" + std::to_string(count) + " reply=" +
                    std::string(reply ? name_of(revoke_reply_names, *reply)
                                      : "none"));
            const auto kind = !reply ? attempt_event_kind::revoke_unknown
                              : *reply == revoke_reply::not_run
                                  ? attempt_event_kind::revoke_not_run
                              : *reply == revoke_reply::started ||
                                      *reply == revoke_reply::finished
                                  ? attempt_event_kind::revoke_open
                                  : attempt_event_kind::revoke_unknown;
            if (!reply)
                record_path_result(r->n, r->attempts[count - 1].exit, true);
            r->queue_event({kind, count, reply ? "" : "exit-silent"});
        });
}

void cancel_attempt(entry_request& r, std::uint32_t count)
{
    auto& t = r.attempts[count - 1];
    // Without a response head the path may be at fault; a probe finds out
    // before the next request waits for it.
    if (!t.parser)
        start_path_probe(r.n, t.exit);
    t.cancelled = true;
    if (t.connection)
        t.connection->stream.cancel();
}

void start_path_probe(node_state& n, node_id exit)
{
    const auto it = n.view.nodes.find(exit);
    if (it == n.view.nodes.end())
        return;
    entry_attempt t;
    t.exit = exit;
    t.address = it->second.record.address;
    spawn_guarded(
        n, "path-probe",
        [&n,
         t = std::make_shared<entry_attempt>(std::move(t))](const yield& y) {
            auto connection =
                connect_exit(n, t->address, mono_now() + connect_timeout, y);
            record_path_result(
                n, t->exit, !connection || !ping(n, *connection, t->exit, y));
        });
}

} // namespace jasminetray
