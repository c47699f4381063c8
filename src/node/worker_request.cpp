// Requests to a backend server; see worker_request.hpp.
#include "node/worker_request.hpp"

#include "base/on_exit.hpp"
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "http/message_head.hpp"
#include "node/crash_watch.hpp"
#include "node/guard_func.hpp"
#include "node/health_driver.hpp"
#include "node/http_func.hpp"
#include "node/worker_answer_func.hpp"
#include "node/worker_notice.hpp"
#include "outlier/outlier_cmd.hpp"
#include "outlier/outlier_math.hpp"

#include <cmath>

namespace jasminetray {

namespace {

constexpr span_us connect_timeout = 250 * us_per_ms;
constexpr span_us max_idle_age = 30 * us_per_s;
constexpr std::size_t max_idle_connections = 16; // per backend server
/// A timeout counts as a failure after this multiple of the baseline duration.
constexpr double timeout_failure_factor = 4;
/// Allows an answer that was sent at the deadline to arrive.
constexpr span_us answer_margin = 30 * us_per_ms;

/// Returns an idle or a new connection to a backend server. Non-idempotent work
/// gets only a recently used one: it can't be sent again when a stale
/// connection turns out to be closed, and a new one takes only 1 ms.
/// @param fresh for work that can't be sent again at all
std::unique_ptr<http_connection> connect_worker(node_state& n, local_worker& w,
                                                const gate_request& r,
                                                bool fresh, const yield& y)
{
    const auto now = mono_now();
    const auto since =
        now - (r.idempotent ? max_idle_age : n.settings.idle_ping_after);
    // A refusal without id proves itself only on a new connection; without
    // proof, non-idempotent work could not be sent again.
    const auto* c = n.config ? find_service(*n.config, w.service) : nullptr;
    const bool has_ids = c == nullptr || c->echo_required;
    const bool may_reuse =
        !fresh && (r.idempotent || (has_ids && !w.sends_bare_refusals));
    if (auto link = may_reuse ? take_idle_connection(w.idle, since) : nullptr)
        return link;
    auto link = std::make_unique<http_connection>(n.ctx);
    const auto at = w.at;
    link->stream.expires_after(std::chrono::microseconds(
        std::min(connect_timeout, std::max<span_us>(1, r.deadline - now))));
    beast::error_code ec;
    link->stream.async_connect(at, y[ec]);
    if (ec)
        return nullptr;
    link->stream.socket().set_option(tcp::no_delay(true), ec);
    return link;
}

borrowed_request make_worker_message(const node_state& n, const local_worker& w,
                                     const string_request& from,
                                     const gate_request& r, mono_us now)
{
    const auto& d = n.dialect;
    auto q = borrow_message(from);
    strip_hop_fields(q);
    q.version(11);
    q.keep_alive(true);
    if (!d.preserve_request_id)
        q.set(to_beast_view(d.request), to_text(r.attempt));
    if (!d.expected_worker.empty())
        q.set(to_beast_view(d.expected_worker), w.name);
    q.set(to_beast_view(d.deadline),
          std::to_string(std::max<span_us>(0, r.deadline - now) / us_per_ms));
    q.prepare_payload();
    return q;
}

outcome_kind classify_missing_answer(const local_worker& w,
                                     std::uint32_t route_class, span_us target,
                                     const beast::error_code& ec,
                                     span_us waited)
{
    if (ec != beast::error::timeout)
        return outcome_kind::failed; // closed or reset by the backend server
    // A timeout after a short deadline is no evidence of a failure. Until the
    // baseline is known, the route's target stands in for it.
    const auto& baseline = w.health.baseline;
    const bool baseline_known =
        target == 0 || is_duration_known(baseline, route_class);
    const double expected =
        baseline_known
            ? timeout_failure_factor *
                  std::exp(
                      baseline.times[route_class % max_route_classes].log_mean)
            : static_cast<double>(target);
    return static_cast<double>(waited) > expected ? outcome_kind::failed
                                                  : outcome_kind::neutral;
}

expected_answer make_expected_answer(const node_state& n, const local_worker& w,
                                     const http::request_header<>& sent,
                                     const gate_request& r)
{
    expected_answer f;
    f.id = w.id;
    f.worker = w.name;
    f.repeatable = r.idempotent;
    f.echo = header_value(sent, to_beast_view(n.dialect.request));
    const auto* c = n.config ? find_service(*n.config, w.service) : nullptr;
    f.echo_required = c == nullptr || c->echo_required;
    return f;
}

/// Status of a process that another one's request has reached.
constexpr unsigned misdirected = 421;

answer_kind classify_head(const node_state& n, const expected_answer& f,
                          const worker_exchange& a)
{
    const answer_position at{!a.link->used, a.link->buf.size() > 0};
    return classify_answer(
        n.dialect, f, at, a.parser->get(),
        {n.safeguards.check_echo, n.safeguards.prove_refusal});
}

/// Guards against answers that an intermediary made or recoded.
bool has_origin_proof(const node_state& n, const http::response_header<>& head)
{
    if (n.dialect.response_seal.empty())
        return true;
    return !header_value(head, to_beast_view(n.dialect.response_seal))
                .empty() &&
           head.count(http::field::content_encoding) == 0;
}

/// Returns whether a failure may come from a downstream call through this node,
/// and must not count against the caller. An unhealthy backend server fails
/// before it makes any call.
bool may_be_downstream_failure(const node_state& n, const worker_exchange& a)
{
    constexpr span_us immediate_failure = 20 * us_per_ms;
    return mono_now() - a.started_at > immediate_failure &&
           n.last_failure_reported_at >= a.started_at;
}

/// Not counted as a failure: the deadline may have been too short. A backend
/// server that hangs is detected by its overdue requests.
constexpr unsigned gateway_timeout = 504;

void record_answer(node_state& n, const expected_answer& f,
                   const gate_request& r, worker_exchange& a)
{
    const auto& head = a.parser->get();
    const auto status = head.result_int();
    const auto kind = classify_head(n, f, a);
    // An answer with 421 is another process's.
    if (status != misdirected &&
        (kind == answer_kind::own || kind == answer_kind::not_run))
        apply_worker_notice(n, r.worker, read_worker_notice(n.dialect, head),
                            limit_source::answer, a.started_at);
    if (kind == answer_kind::not_run) {
        a.result = work_result::shed;
        a.reason = "shed";
        return;
    }
    if (kind == answer_kind::unproven_refusal) {
        a.result = work_result::lost;
        a.reason = "refusal-unproven";
        n.events.write(event_id::refusal_unproven, f.echo,
                       "worker=" + f.worker + " stray=0");
        return;
    }
    const bool success = status / 100 == 2;
    if (kind != answer_kind::own || (success && !has_origin_proof(n, head))) {
        // Not this request's own answer. It must not reach the caller, nor may
        // later answers on this connection.
        a.result = work_result::lost;
        a.outcome = outcome_kind::failed;
        a.reason = "echo-mismatch";
        n.events.write(
            event_id::echo_mismatch, to_text(r.attempt),
            "worker=" + f.worker + " expected=" + f.echo +
                " got=" + header_value(head, to_beast_view(n.dialect.request)));
        return;
    }
    a.result = work_result::answered;
    if (status == gateway_timeout ||
        (status >= 500 && may_be_downstream_failure(n, a)))
        a.outcome = outcome_kind::neutral;
    else if (status >= 500)
        a.outcome = outcome_kind::failed;
    else if (status >= 400)
        a.outcome = outcome_kind::neutral;
    else
        a.outcome = outcome_kind::success;
}

/// Returns whether an answer is skipped, as the current request's follows it.
bool is_stray(const node_state& n, const expected_answer& f,
              const worker_exchange& a)
{
    if (!a.parser->is_done() || !a.parser->keep_alive())
        return false;
    const auto kind = classify_head(n, f, a);
    return kind == answer_kind::unproven_refusal ||
           (kind == answer_kind::other && a.link->used);
}

void note_bare_refusal(node_state& n, const expected_answer& f,
                       const http::response_header<>& head)
{
    const auto it = n.workers.find(f.id);
    if (it != n.workers.end() && is_bare_refusal(n.dialect, head))
        it->second.sends_bare_refusals = true;
}

/// Returns whether an answer only announces the final one. It isn't passed on:
/// the caller's next bytes may be another backend server's answer.
bool is_interim(const response_parser& parser)
{
    return parser.get().result_int() / 100 == 1;
}

/// Reads an answer up to the number of bytes that are held in memory. Answers
/// that belong to earlier requests or to none are skipped, and interim ones;
/// the current request's own limits bound the wait for its answer.
beast::error_code read_answer(node_state& n, const expected_answer& f,
                              worker_exchange& a, bool head_only,
                              const yield& y)
{
    constexpr int max_duplicate_answers = 4;
    constexpr int max_interim_answers = 8;
    int interim = 0;
    beast::error_code ec;
    for (int k = 0; k < max_duplicate_answers + interim; ++k) {
        a.parser = std::make_unique<response_parser>();
        apply_limits(*a.parser, a.link->buf, answer_limits);
        a.parser->skip(head_only);
        ec = read_held_answer(n, *a.link, *a.parser, a.room, y);
        if (!ec && is_interim(*a.parser)) {
            if (++interim > max_interim_answers)
                return make_error_code(
                    boost::system::errc::errc_t::protocol_error);
            continue;
        }
        if (!ec)
            note_bare_refusal(n, f, a.parser->get());
        if (ec || !is_stray(n, f, a))
            break;
        const bool refusal = is_refusal(n.dialect, a.parser->get());
        n.events.write(refusal ? event_id::refusal_unproven
                               : event_id::echo_mismatch,
                       f.echo, "worker=" + f.worker + " stray=1");
    }
    return ec;
}

/// Notes that a request is at its backend server, whose silence counts from now
/// on.
void record_sent(node_state& n, const gate_request& r, const worker_exchange& a)
{
    const auto it = n.workers.find(r.worker);
    if (it != n.workers.end())
        health_record_sent(it->second.health,
                           {a.evidence_key, a.started_at, a.source,
                            a.route_class, r.target, false});
}

/// Streams an upload to its backend server. Its time is the caller's: it moves
/// the deadline, and is no evidence about the backend server.
std::size_t send_streamed(arriving_upload& u,
                          const http::request_header<>& head, gate_request& r,
                          worker_exchange& a, beast::error_code& ec,
                          const yield& y)
{
    const auto sent = forward_upload(u, *a.link, head, ec, y);
    a.body_time = u.took;
    a.body_cut = u.cut;
    a.started_at += u.took;
    r.deadline += u.took;
    const auto left = std::max<span_us>(1, r.deadline - mono_now());
    a.link->stream.expires_after(
        std::chrono::microseconds(left + answer_margin));
    return sent;
}

void exchange_with_worker(node_state& n, local_worker& w,
                          const string_request& message, gate_request& r,
                          worker_exchange& a, beast::tcp_stream& entry,
                          arriving_upload* upload, const yield& y)
{
    auto q = make_worker_message(n, w, message, r, mono_now());
    const auto expected = make_expected_answer(n, w, q, r);
    const auto id = w.id;
    const auto left = std::max<span_us>(1, r.deadline - mono_now());
    a.link->stream.expires_after(
        std::chrono::microseconds(left + answer_margin));
    std::shared_ptr<peer_watch> watch;
    if (r.idempotent && upload == nullptr)
        watch = watch_peer(entry, *a.link);
    w.busy.insert(a.link.get());
    const on_exit leave([&n, &a, &watch, id] {
        if (watch)
            watch->link = nullptr;
        const auto at = n.workers.find(id);
        if (at != n.workers.end())
            at->second.busy.erase(a.link.get());
    });
    beast::error_code ec;
    const auto sent = upload != nullptr
                          ? send_streamed(*upload, q, r, a, ec, y)
                          : http::async_write(a.link->stream, q, y[ec]);
    const bool written = !ec;
    if (upload != nullptr)
        record_sent(n, r, a);
    if (written && upload != nullptr && r.idempotent)
        watch = watch_peer(entry, *a.link);
    if (written)
        ec = read_answer(n, expected, a, message.method() == http::verb::head,
                         y);
    if (watch) {
        watch->link = nullptr;
        beast::error_code ignored;
        entry.socket().cancel(ignored);
    }
    const auto it = n.workers.find(id);
    if (!ec)
        return record_answer(n, expected, r, a);
    const bool caller_left =
        (watch && watch->left) || (upload != nullptr && upload->source_failed);
    a.result = !written && sent == 0 ? work_result::unsent : work_result::lost;
    a.reason = caller_left ? "caller-left"
               : written   ? "worker-silent"
                           : "worker-write";
    a.closed_by_worker =
        !caller_left && ec != beast::error::timeout && !exceeds_limit(ec);
    log_unreadable(n, message_side::backend_server, ec, answer_limits,
                   a.link->buf, expected.echo);
    if (is_unreadable(ec))
        a.reason = malformed_answer_reason;
    if (ec == http::error::header_limit) {
        // The backend server works, but its answer can't be passed on.
        a.closed_by_worker = false;
        a.reason = answer_head_reason;
        n.events.write(event_id::answer_head_too_large, expected.echo,
                       "worker=" + expected.worker +
                           " limit=" + std::to_string(max_answer_head));
        return;
    }
    if (upload == nullptr && a.result == work_result::lost &&
        (caller_left || a.closed_by_worker))
        record_lost_work(n, id, message, a.closed_by_worker);
    if (it != n.workers.end() && !caller_left)
        a.outcome = written ? classify_missing_answer(it->second, a.route_class,
                                                      r.target, ec,
                                                      mono_now() - a.started_at)
                            : outcome_kind::failed;
}

} // namespace

worker_exchange execute_on_worker(node_state& n, const string_request& message,
                                  gate_request& r, std::uint32_t source,
                                  beast::tcp_stream& entry,
                                  arriving_upload* upload, const yield& y)
{
    worker_exchange a;
    a.source = source;
    a.started_at = mono_now();
    auto it = n.workers.find(r.worker);
    if (it == n.workers.end()) {
        a.reason = "no-worker";
        return a;
    }
    a.route_class =
        health_route_class(it->second.health, r.route_class, a.started_at);
    a.evidence_key = ++it->second.next_work_key;
    if (upload == nullptr)
        record_sent(n, r, a);
    bool returned = false;
    const on_exit abandon([&] {
        if (!returned)
            run_guarded(n, "work", [&] { finish_on_worker(n, r, a, false); });
    });
    a.link = connect_worker(n, it->second, r, upload != nullptr, y);
    it = n.workers.find(r.worker); // may have been removed meanwhile
    if (it != n.workers.end() && a.link) {
        exchange_with_worker(n, it->second, message, r, a, entry, upload, y);
    } else {
        a.outcome = outcome_kind::failed;
        a.reason = "worker-connect";
    }
    if (a.result != work_result::answered)
        finish_on_worker(n, r, a, false);
    returned = true;
    return a;
}

void finish_on_worker(node_state& n, const gate_request& r, worker_exchange& a,
                      bool whole)
{
    const auto now = mono_now();
    const auto it = n.workers.find(r.worker);
    if (it == n.workers.end())
        return;
    if (!whole && a.result == work_result::lost && a.parser &&
        a.outcome == outcome_kind::success)
        a.outcome = outcome_kind::failed; // truncated answer
    record_worker_outcome(
        n, it->second, a.evidence_key,
        {a.outcome, now - a.started_at, a.source, a.route_class}, now);
    const bool keep = whole && !a.body_cut && a.parser->keep_alive() &&
                      is_reusable(*a.link, true);
    if (a.link && (keep || !n.safeguards.close_incomplete))
        return_connection(it->second.idle, std::move(a.link),
                          max_idle_connections, now);
}

} // namespace jasminetray
