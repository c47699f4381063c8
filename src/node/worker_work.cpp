// Work on a backend server; see worker_work.hpp.
#include "node/worker_work.hpp"

#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "node/crash_watch.hpp"
#include "node/health_driver.hpp"
#include "node/http_func.hpp"
#include "verdict/verdict_cmd.hpp"
#include "verdict/verdict_math.hpp"

#include <cmath>

namespace jasminetray {

namespace {

constexpr span_us connect_bound = 250 * us_per_ms;
constexpr span_us keep_idle = 30 * us_per_s;
constexpr std::size_t max_idle = 16; // connections per backend server
constexpr double late_factor = 4;    // of the usual time, to be evidence
/// The backend server answers at its deadline; that answer is on its way.
constexpr span_us answer_margin = 30 * us_per_ms;

/// A connection to a backend server; a quiet one is not trusted with
/// non-idempotent work, because opening a new one costs a millisecond and
/// finding out that it was dead costs the answer.
std::unique_ptr<http_link> connect_worker(node_state& n, local_worker& w,
                                          const gate_request& r, const yield& y)
{
    const auto now = mono_now();
    const auto since = now - (r.idempotent ? keep_idle : n.settings.quiet);
    if (auto link = take_idle(w.idle, since))
        return link;
    auto link = std::make_unique<http_link>(n.ctx);
    const auto at = w.at;
    link->stream.expires_after(std::chrono::microseconds(
        std::min(connect_bound, std::max<span_us>(1, r.deadline - now))));
    beast::error_code ec;
    link->stream.async_connect(at, y[ec]);
    if (ec)
        return nullptr;
    link->stream.socket().set_option(tcp::no_delay(true), ec);
    return link;
}

string_request make_message(const node_state& n, const local_worker& w,
                            const string_request& from, const gate_request& r,
                            mono_us now)
{
    const auto& d = n.dialect;
    string_request q = from;
    strip_hop_fields(q);
    q.version(11);
    q.keep_alive(true);
    if (!d.callers_id)
        q.set(beast_text(d.request), to_text(r.attempt));
    if (!d.expected_worker.empty())
        q.set(beast_text(d.expected_worker), w.name);
    q.set(beast_text(d.deadline),
          std::to_string(std::max<span_us>(0, r.deadline - now) / us_per_ms));
    q.prepare_payload();
    return q;
}

/// Watches the entry node's connection and cancels the work's connection
/// when it closes.
struct caller_watch
{
    http_link* link = nullptr; ///< null when the work has ended
    bool left = false;
};

std::shared_ptr<caller_watch> watch_caller(beast::tcp_stream& entry,
                                           http_link& link)
{
    auto watch = std::make_shared<caller_watch>();
    watch->link = &link;
    entry.socket().async_wait(
        tcp::socket::wait_read, [watch, &entry](beast::error_code ec) {
            if (ec || !watch->link || !peer_closed(entry.socket()))
                return;
            watch->left = true;
            watch->link->stream.cancel();
        });
    return watch;
}

/// What a missing answer says about the backend server.
outcome_kind judge_silence(const local_worker& w, std::uint32_t route_class,
                           span_us target, const beast::error_code& ec,
                           span_us waited)
{
    if (ec != beast::error::timeout)
        return outcome_kind::failed; // it closed or cut the connection
    // A deadline that was short from the start says nothing. How short that is
    // the operator's target tells before durations are known.
    const auto& usual = w.health.usual;
    const bool learned = target == 0 || is_duration_known(usual, route_class);
    const double expected =
        learned ? late_factor *
                      std::exp(usual.times[route_class % work_classes].log_mean)
                : static_cast<double>(target);
    return static_cast<double>(waited) > expected ? outcome_kind::failed
                                                  : outcome_kind::neutral;
}

/// What an answer is judged by. The backend server itself may have left the
/// node's list meanwhile; its answer is delivered all the same.
struct answer_facts
{
    std::string worker; ///< name, for the log
    std::string echo;   ///< that the answer must carry; empty for any
    bool echo_required = true;
};

answer_facts make_facts(const node_state& n, const local_worker& w,
                        const string_request& sent)
{
    answer_facts f;
    f.worker = w.name;
    f.echo = field_of(sent, beast_text(n.dialect.request));
    const auto* c = n.config ? find_service(*n.config, w.service) : nullptr;
    f.echo_required = c == nullptr || c->echo_required;
    return f;
}

bool echo_fits(const node_state& n, const answer_facts& f,
               const response_parser& p)
{
    if (!n.safeguards.check_echo)
        return true;
    const auto echo = field_of(p.get(), beast_text(n.dialect.request));
    return echo.empty() ? !f.echo_required : echo == f.echo;
}

/// Whether the backend server says that it did not run the work. A refusal
/// may come without an echo; one with another request's echo is not ours, and
/// taken for ours it would make "not run" a lie.
bool is_not_run(const node_state& n, const answer_facts& f,
                const http::response_header<>& head)
{
    const auto echo = field_of(head, beast_text(n.dialect.request));
    if (!echo.empty() && echo != f.echo)
        return false;
    const auto status = head.result_int();
    constexpr unsigned too_many = 429;
    constexpr unsigned unavailable = 503;
    constexpr unsigned misdirected = 421;
    if (!n.dialect.expected_worker.empty() && status == misdirected)
        return true;
    const auto word = field_of(head, beast_text(n.dialect.not_run));
    return word == "1" && (status == unavailable || status == too_many);
}

/// Whether a success is the backend server's own whole answer, as far as its
/// head tells. Bytes that something else made must not pass for it.
bool is_proven(const node_state& n, const http::response_header<>& head)
{
    if (n.dialect.proof.empty())
        return true;
    return !field_of(head, beast_text(n.dialect.proof)).empty() &&
           head.count(http::field::content_encoding) == 0;
}

/// Whether a failure may come from a call that the backend server made
/// through this node while it ran the work. That call's failure is another
/// backend server's, and must not make this one a suspect. Sick ones fail at
/// once, before they call anybody.
bool is_calls_fault(const node_state& n, const worker_exchange& a)
{
    constexpr span_us at_once = 20 * us_per_ms;
    return mono_now() - a.began > at_once && n.call_failed_at >= a.began;
}

/// Says that the deadline passed, not whose fault that was: it may have come
/// short. A backend server that hangs shows by its silence long before.
constexpr unsigned gateway_timeout = 504;

void judge_answer(node_state& n, const answer_facts& f, const gate_request& r,
                  worker_exchange& a)
{
    const auto& head = a.parser->get();
    const auto status = head.result_int();
    if (is_not_run(n, f, head)) {
        a.end = work_result::shed;
        a.reason = "shed";
        return;
    }
    const bool success = status / 100 == 2;
    if (!echo_fits(n, f, *a.parser) || (success && !is_proven(n, head))) {
        // Another request's answer: it must not reach this caller, and this
        // connection's later answers would be off by one too.
        a.end = work_result::lost;
        a.seen = outcome_kind::failed;
        a.reason = "echo-mismatch";
        n.events.write(event_id::echo_mismatch, to_text(r.attempt),
                       "worker=" + f.worker + " expected=" + f.echo + " got=" +
                           field_of(head, beast_text(n.dialect.request)));
        return;
    }
    a.end = work_result::answered;
    if (status == gateway_timeout || (status >= 500 && is_calls_fault(n, a)))
        a.seen = outcome_kind::neutral;
    else if (status >= 500)
        a.seen = outcome_kind::failed;
    else if (status >= 400)
        a.seen = outcome_kind::neutral;
    else
        a.seen = outcome_kind::good;
}

/// Reads an answer's held part. A second answer to an earlier request may
/// stand in front of it on a kept connection; the echo tells, and it is read
/// past, because the right one is still to come.
beast::error_code read_answer(node_state& n, const answer_facts& f,
                              worker_exchange& a, bool head_only,
                              const yield& y)
{
    constexpr int max_strays = 4;
    beast::error_code ec;
    for (int k = 0; k < max_strays; ++k) {
        a.parser = std::make_unique<response_parser>();
        a.parser->body_limit(boost::none);
        a.parser->skip(head_only);
        ec = read_held(*a.link, *a.parser,
                       static_cast<std::size_t>(n.settings.hold_bytes), y);
        const bool stray = !ec && a.link->used && a.parser->is_done() &&
                           a.parser->keep_alive() &&
                           !is_not_run(n, f, a.parser->get()) &&
                           !echo_fits(n, f, *a.parser);
        if (!stray)
            break;
        n.events.write(event_id::echo_mismatch, f.echo,
                       "worker=" + f.worker + " stray=1");
    }
    return ec;
}

/// Writes the request and reads the answer's held part.
void exchange(node_state& n, local_worker& w, const string_request& message,
              const gate_request& r, worker_exchange& a,
              beast::tcp_stream& entry, const yield& y)
{
    auto q = make_message(n, w, message, r, mono_now());
    const auto facts = make_facts(n, w, q);
    const auto id = w.id;
    const auto left = std::max<span_us>(1, r.deadline - mono_now());
    a.link->stream.expires_after(
        std::chrono::microseconds(left + answer_margin));
    std::shared_ptr<caller_watch> watch;
    if (r.idempotent)
        watch = watch_caller(entry, *a.link);
    w.busy.insert(a.link.get());
    beast::error_code ec;
    const auto sent = http::async_write(a.link->stream, q, y[ec]);
    const bool written = !ec;
    if (written)
        ec = read_answer(n, facts, a, message.method() == http::verb::head, y);
    if (watch) {
        watch->link = nullptr;
        beast::error_code ignored;
        entry.socket().cancel(ignored);
    }
    const auto it = n.workers.find(id);
    if (it != n.workers.end())
        it->second.busy.erase(a.link.get());
    if (!ec)
        return judge_answer(n, facts, r, a);
    const bool left_early = watch && watch->left;
    a.end = !written && sent == 0 ? work_result::unsent : work_result::lost;
    a.reason = left_early ? "caller-left"
               : written  ? "worker-silent"
                          : "worker-write";
    a.closed = !left_early && ec != beast::error::timeout;
    if (a.end == work_result::lost && (left_early || a.closed))
        record_lost_work(n, id, message, a.closed);
    if (it != n.workers.end() && !left_early)
        a.seen = written ? judge_silence(it->second, a.route_class, r.target,
                                         ec, mono_now() - a.began)
                         : outcome_kind::failed;
}

} // namespace

worker_exchange execute_on_worker(node_state& n, const string_request& message,
                                  const gate_request& r, std::uint32_t source,
                                  beast::tcp_stream& entry, const yield& y)
{
    worker_exchange a;
    a.source = source;
    a.began = mono_now();
    auto it = n.workers.find(r.worker);
    if (it == n.workers.end()) {
        a.reason = "no-worker";
        return a;
    }
    a.route_class = health_class(it->second.health, r.route_class, a.began);
    a.key = ++it->second.next_key;
    health_sent(it->second.health,
                {a.key, a.began, source, a.route_class, r.target, false});
    a.link = connect_worker(n, it->second, r, y);
    it = n.workers.find(r.worker); // it may have left while we connected
    if (it != n.workers.end() && a.link) {
        exchange(n, it->second, message, r, a, entry, y);
    } else {
        a.seen = outcome_kind::failed;
        a.reason = "worker-connect";
    }
    if (a.end != work_result::answered)
        finish_on_worker(n, r, a, false);
    return a;
}

void finish_on_worker(node_state& n, const gate_request& r, worker_exchange& a,
                      bool whole)
{
    const auto now = mono_now();
    const auto it = n.workers.find(r.worker);
    if (it == n.workers.end())
        return;
    if (!whole && a.end == work_result::lost && a.parser &&
        a.seen == outcome_kind::good)
        a.seen = outcome_kind::failed; // cut in the middle
    record_worker_outcome(n, it->second, a.key,
                          {a.seen, now - a.began, a.source, a.route_class},
                          now);
    const bool keep =
        whole && a.parser->keep_alive() && is_clean(*a.link, true);
    if (a.link && (keep || !n.safeguards.close_unclean))
        give_back(it->second.idle, std::move(a.link), max_idle, now);
}

} // namespace jasminetray
