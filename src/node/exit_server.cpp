// The exit side; see exit_server.hpp.
#include "node/exit_server.hpp"

#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "gate/gate_query.hpp"
#include "node/announce.hpp"
#include "node/health_driver.hpp"
#include "node/http_func.hpp"
#include "node/worker_work.hpp"
#include "verdict/verdict_query.hpp"

namespace jasminetray {

namespace {

constexpr span_us idle_bound = 60 * us_per_s; // of an entry node's connection

/// One piece of work at the exit side.
struct exit_work
{
    string_request message;
    gate_request request;
    std::uint32_t source = 0; ///< index of the entry node's data centre
    std::uint32_t klass = 0;
};

std::uint32_t source_of(node_state& n, const std::string& centre)
{
    const auto id = static_cast<std::uint32_t>(centre_of(centre));
    const auto next = static_cast<std::uint32_t>(n.source_index.size());
    return n.source_index.emplace(id, next).first->second;
}

/// Reads the hop's fields; nothing when they are not an entry node's.
std::optional<exit_work> parse_work(node_state& n, string_request message,
                                    mono_us now)
{
    exit_work w;
    const auto whole = [&](const char* name) {
        return parse_whole(field_of(message, name));
    };
    const auto attempt =
        parse_attempt_id(field_of(message, hop_field::attempt));
    const auto boot = parse_hex(field_of(message, hop_field::boot));
    const auto worker = parse_hex(field_of(message, hop_field::worker));
    const auto remaining = whole(hop_field::remaining);
    if (!attempt || !boot || !worker || !remaining)
        return std::nullopt;
    w.request.attempt = *attempt;
    w.request.boot = static_cast<boot_id>(*boot);
    w.request.worker = static_cast<worker_id>(*worker);
    w.request.stamp = whole(hop_field::stamp).value_or(0);
    w.request.idempotent = field_of(message, hop_field::idempotent) == "1";
    w.request.priority =
        static_cast<int>(whole(hop_field::priority).value_or(5));
    w.request.deadline =
        now + std::min(*remaining, n.door.limits.longest_deadline);
    if (const auto due = whole(hop_field::due))
        w.request.due = now + *due;
    w.request.target = whole(hop_field::target).value_or(0);
    w.source = source_of(n, field_of(message, hop_field::centre));
    w.klass =
        static_cast<std::uint32_t>(whole(hop_field::klass).value_or(0) &
                                   static_cast<std::int64_t>(work_classes - 1));
    w.request.klass = w.klass;
    w.message = std::move(message);
    return w;
}

/// Id of a request in log lines: the caller's own where it has one.
std::string label_of(const node_state& n, const exit_work& w)
{
    return n.dialect.callers_id
               ? field_of(w.message, beast_text(n.dialect.request))
               : to_text(w.request.attempt);
}

std::string name_at(const node_state& n, worker_id id)
{
    const auto it = n.workers.find(id);
    return it == n.workers.end() ? "gone" : it->second.name;
}

/// Fields that ride on every answer of the exit side.
template <typename Message>
void set_hop_fields(node_state& n, const exit_work& w, Message& m,
                    const char* outcome, const std::string& reason)
{
    m.set(hop_field::attempt, to_text(w.request.attempt));
    m.set(hop_field::boot, to_hex(static_cast<std::uint64_t>(n.door.boot)));
    m.set(hop_field::stamp, std::to_string(mono_now()));
    m.set(hop_field::outcome, outcome);
    const auto load = gate_load(n.door, w.request.worker);
    m.set(hop_field::load, std::to_string(load));
    m.set(hop_field::work_us,
          std::to_string(gate_usual(n.door, w.request.worker)));
    if (n.door.limits.doubt.on) {
        const auto doubt = gate_doubt(n.door, w.request.worker, mono_now());
        m.set(hop_field::doubt, std::to_string(percent_of(doubt)));
    }
    const auto it = n.workers.find(w.request.worker);
    if (it != n.workers.end())
        m.set(hop_field::severity,
              std::to_string(claim_for(it->second, w.source)));
    if (!reason.empty())
        m.set(hop_field::reason, reason);
}

/// @param reached a backend server turned it away
bool send_refusal(node_state& n, const exit_work& w, beast::tcp_stream& to,
                  const char* outcome, const std::string& reason, bool reached,
                  const yield& y)
{
    string_response r(http::status::service_unavailable, 11);
    set_hop_fields(n, w, r, outcome, reason);
    if (reached)
        r.set(hop_field::reached, "1");
    r.set(hop_field::retry_us,
          std::to_string(gate_retry_after(n.door, w.request.worker)));
    r.keep_alive(true);
    r.prepare_payload();
    beast::error_code ec;
    to.expires_after(std::chrono::microseconds(us_per_s));
    http::async_write(to, r, y[ec]);
    return !ec;
}

/// Waits for a slot. The entry node's connection is watched meanwhile: work
/// whose caller has left is taken out of the queue.
gate_error wait_for_slot(node_state& n, const exit_work& w,
                         beast::tcp_stream& stream, const yield& y)
{
    auto ticket = std::make_shared<gate_ticket>(n.ctx);
    n.tickets[w.request.attempt] = ticket;
    stream.socket().async_wait(
        tcp::socket::wait_read, [ticket, &stream](beast::error_code ec) {
            if (ec || ticket->decision || !peer_closed(stream.socket()))
                return;
            ticket->caller_left = true;
            ticket->signal.cancel();
        });
    while (!ticket->decision && !ticket->caller_left) {
        const auto left = w.request.deadline - mono_now() + us_per_ms;
        ticket->signal.expires_after(std::chrono::microseconds(left));
        beast::error_code ec;
        ticket->signal.async_wait(y[ec]);
        if (!ticket->decision && !ticket->caller_left)
            advance_gate(n, w.request.worker);
    }
    n.tickets.erase(w.request.attempt);
    // A late handler sees the decision and leaves the stream alone.
    if (!ticket->decision)
        ticket->decision = gate_decision{};
    beast::error_code ec;
    stream.socket().cancel(ec);
    if (!ticket->caller_left || ticket->decision->start)
        return ticket->decision->start ? gate_error::none
                                       : ticket->decision->why;
    gate_abandon(n.door, w.request, mono_now());
    return gate_error::revoked;
}

/// Lets work in; waits when it is queued.
gate_error let_in(node_state& n, const exit_work& w, beast::tcp_stream& stream,
                  const yield& y)
{
    gate_error last{};
    const auto a = gate_admit(command_mode::apply, n.door, w.request,
                              mono_now(), last, n.safeguards.gate);
    if (!a)
        return last;
    return *a == admission::queued ? wait_for_slot(n, w, stream, y)
                                   : gate_error::none;
}

bool send_answer(node_state& n, const exit_work& w, worker_answer& a,
                 beast::tcp_stream& to, const yield& y)
{
    auto& answer = a.parser->get();
    const bool whole = a.parser->is_done();
    strip_hop_fields(answer);
    set_hop_fields(n, w, answer, "answer", "");
    if (a.seen == outcome_kind::failed)
        answer.set(hop_field::failed, "1");
    if (!whole) {
        const auto bound = w.request.deadline - mono_now() + us_per_s;
        return relay_answer(*a.link, *a.parser, answer.base(), to, bound, y);
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

/// Runs started work to its end and answers the entry node.
bool run_started(node_state& n, exit_work& w, beast::tcp_stream& stream,
                 const yield& y)
{
    const auto began = mono_now();
    auto a =
        run_on_worker(n, w.message, w.request, w.source, w.klass, stream, y);
    // Doubt moves before the answer goes out, so that the answer carries it.
    note_doubt(n, w.request.worker, a.seen);
    bool alive = true;
    if (a.end == work_end::answered) {
        alive = send_answer(n, w, a, stream, y);
        const bool whole = a.parser->is_done();
        if (!whole)
            a.end = work_end::lost;
        end_on_worker(n, w.request, a, whole);
    }
    const auto now = mono_now();
    gate_finish(n.door, w.request, a.end, now - began, now);
    n.events.write(event_id::work_ended, label_of(n, w),
                   "worker=" + name_at(n, w.request.worker) + " end=" +
                       std::string(name_of(work_end_names, a.end)) +
                       (a.reason.empty() ? "" : " reason=" + a.reason) +
                       (a.end == work_end::answered
                            ? " status=" + std::to_string(
                                               a.parser->get().result_int())
                            : "") +
                       " us=" + std::to_string(mono_now() - began));
    advance_gate(n, w.request.worker);
    count(*n.metrics.gate, "decision", a.reason.empty() ? "ran" : a.reason);
    if (a.end == work_end::answered || a.parser_sent)
        return alive;
    const bool ran = a.end == work_end::lost;
    return send_refusal(n, w, stream, ran ? "unknown" : "not-run", a.reason,
                        a.end == work_end::shed, y);
}

bool handle_work(node_state& n, string_request message,
                 beast::tcp_stream& stream, const yield& y)
{
    auto w = parse_work(n, std::move(message), mono_now());
    if (!w)
        return false; // no entry node speaks like this
    const auto refused = let_in(n, *w, stream, y);
    if (refused == gate_error::none)
        return run_started(n, *w, stream, y);
    const std::string reason(name_of(gate_error_names, refused));
    count(*n.metrics.gate, "decision", reason);
    // A duplicate is the one refusal after which the work may have run.
    const bool ran = refused == gate_error::duplicate;
    n.events.write(event_id::work_refused, label_of(n, *w),
                   "worker=" + to_hex(static_cast<std::uint64_t>(
                                   w->request.worker)) +
                       " reason=" + reason);
    return send_refusal(n, *w, stream, ran ? "unknown" : "not-run", reason,
                        false, y);
}

bool send_pong(node_state& n, beast::tcp_stream& to, const yield& y)
{
    string_response r(http::status::no_content, 11);
    r.set(hop_field::boot, to_hex(static_cast<std::uint64_t>(n.door.boot)));
    r.set(hop_field::stamp, std::to_string(mono_now()));
    r.keep_alive(true);
    beast::error_code ec;
    http::async_write(to, r, y[ec]);
    return !ec;
}

} // namespace

void serve_exit(node_state& n, beast::tcp_stream stream, const yield& y)
{
    beast::flat_buffer buf;
    bool alive = true;
    while (alive) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(static_cast<std::uint64_t>(n.settings.most_body));
        stream.expires_after(std::chrono::microseconds(idle_bound));
        beast::error_code ec;
        http::async_read(stream, buf, parser, y[ec]);
        if (ec)
            break;
        stream.expires_never();
        auto message = parser.release();
        alive = message.target() == ping_path
                    ? send_pong(n, stream, y)
                    : handle_work(n, std::move(message), stream, y);
    }
}

void advance_gate(node_state& n, worker_id w)
{
    for (const auto& d : gate_advance(n.door, w, mono_now())) {
        const auto it = n.tickets.find(d.attempt);
        if (it == n.tickets.end())
            continue;
        it->second->decision = d;
        it->second->signal.cancel();
    }
}

void tick_gate(node_state& n, mono_us now)
{
    gate_forget(n.door, now);
    for (const auto& [id, w] : n.workers)
        advance_gate(n, id);
}

revoke_reply answer_revoke(node_state& n, const attempt_id& a, boot_id boot)
{
    const auto reply =
        gate_revoke(n.door, a, boot, mono_now(), n.safeguards.gate);
    const auto it = n.tickets.find(a);
    if (reply == revoke_reply::not_run && it != n.tickets.end()) {
        it->second->decision = gate_decision{a, false, gate_error::revoked};
        it->second->signal.cancel();
    }
    return reply;
}

} // namespace jasminetray
