// Work on a backend server; see worker_work.hpp.
#include "node/worker_work.hpp"

#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "node/health_driver.hpp"
#include "node/http_func.hpp"
#include "verdict/verdict_cmd.hpp"

#include <cmath>

namespace jasminetray {

namespace {

constexpr span_us connect_bound = 250 * us_per_ms;
constexpr span_us keep_idle = 30 * us_per_s;
constexpr std::size_t most_idle = 16; // connections per backend server
constexpr double late_factor = 4;     // of the usual time, to be evidence

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

string_request make_message(const string_request& from, const gate_request& r,
                            mono_us now)
{
    string_request q = from;
    strip_hop_fields(q);
    q.version(11);
    q.keep_alive(true);
    q.set(worker_field::request, to_text(r.attempt));
    q.set(worker_field::deadline,
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
outcome_kind judge_silence(const local_worker& w, std::uint32_t klass,
                           const beast::error_code& ec, span_us waited)
{
    if (ec != beast::error::timeout)
        return outcome_kind::failed; // it closed or cut the connection
    // A deadline that was short from the start says nothing.
    const auto& t = w.health.usual.times[klass % work_classes];
    const double usual = std::exp(t.log_mean);
    return static_cast<double>(waited) > late_factor * usual
               ? outcome_kind::failed
               : outcome_kind::neutral;
}

bool echo_fits(node_state& n, const local_worker& w, const gate_request& r,
               const response_parser& p)
{
    if (!n.safeguards.check_echo)
        return true;
    const auto echo = field_of(p.get(), worker_field::request);
    const auto* c = n.config ? find_service(*n.config, w.service) : nullptr;
    if (echo.empty())
        return c != nullptr && !c->echo_required;
    return echo == to_text(r.attempt);
}

void judge_answer(node_state& n, const local_worker& w, const gate_request& r,
                  worker_answer& a)
{
    const auto status = a.parser->get().result_int();
    if (status == 503 && field_of(a.parser->get(), worker_field::shed) == "1") {
        a.end = work_end::shed;
        a.reason = "shed";
        return;
    }
    if (!echo_fits(n, w, r, *a.parser)) {
        // Another request's answer: it must not reach this caller, and this
        // connection's later answers would be off by one too.
        a.end = work_end::lost;
        a.seen = outcome_kind::failed;
        a.reason = "echo-mismatch";
        n.events.write(event_id::echo_mismatch, to_text(r.attempt),
                       "worker=" + w.name + " got=" +
                           field_of(a.parser->get(), worker_field::request));
        return;
    }
    a.end = work_end::answered;
    if (status >= 500)
        a.seen = outcome_kind::failed;
    else if (status >= 400)
        a.seen = outcome_kind::neutral;
    else
        a.seen = outcome_kind::good;
}

/// Writes the request and reads the answer's held part.
void exchange(node_state& n, local_worker& w, const string_request& message,
              const gate_request& r, worker_answer& a, beast::tcp_stream& entry,
              const yield& y)
{
    auto q = make_message(message, r, mono_now());
    const auto left = std::max<span_us>(1, r.deadline - mono_now());
    a.link->stream.expires_after(std::chrono::microseconds(left));
    beast::error_code ec;
    const auto id = w.id;
    const auto sent = http::async_write(a.link->stream, q, y[ec]);
    if (ec) {
        a.end = sent == 0 ? work_end::unsent : work_end::lost;
        a.seen = outcome_kind::failed;
        a.reason = "worker-write";
        return;
    }
    a.parser = std::make_unique<response_parser>();
    a.parser->body_limit(boost::none);
    if (message.method() == http::verb::head)
        a.parser->skip(true);
    std::shared_ptr<caller_watch> watch;
    if (r.idempotent)
        watch = watch_caller(entry, *a.link);
    ec = read_held(*a.link, *a.parser,
                   static_cast<std::size_t>(n.settings.hold_bytes), y);
    if (watch) {
        watch->link = nullptr;
        beast::error_code ignored;
        entry.socket().cancel(ignored);
    }
    const auto it = n.workers.find(id);
    if (it == n.workers.end() || ec) {
        a.end = work_end::lost;
        const bool left_early = watch && watch->left;
        a.reason = left_early ? "caller-left" : "worker-silent";
        if (it != n.workers.end() && !left_early)
            a.seen =
                judge_silence(it->second, a.klass, ec, mono_now() - a.began);
        return;
    }
    judge_answer(n, it->second, r, a);
}

} // namespace

worker_answer run_on_worker(node_state& n, const string_request& message,
                            const gate_request& r, std::uint32_t source,
                            std::uint32_t klass, beast::tcp_stream& entry,
                            const yield& y)
{
    worker_answer a;
    a.source = source;
    a.klass = klass;
    a.began = mono_now();
    auto it = n.workers.find(r.worker);
    if (it == n.workers.end()) {
        a.reason = "no-worker";
        return a;
    }
    a.key = ++it->second.next_key;
    health_sent(it->second.health, {a.key, a.began, source, klass});
    a.link = connect_worker(n, it->second, r, y);
    it = n.workers.find(r.worker); // it may have left while we connected
    if (it != n.workers.end() && a.link) {
        exchange(n, it->second, message, r, a, entry, y);
    } else {
        a.seen = outcome_kind::failed;
        a.reason = "worker-connect";
    }
    if (a.end != work_end::answered)
        end_on_worker(n, r, a, false);
    return a;
}

void end_on_worker(node_state& n, const gate_request& r, worker_answer& a,
                   bool whole)
{
    const auto now = mono_now();
    const auto it = n.workers.find(r.worker);
    if (it == n.workers.end())
        return;
    if (!whole && a.end == work_end::lost && a.parser &&
        a.seen == outcome_kind::good)
        a.seen = outcome_kind::failed; // cut in the middle
    note_outcome(n, it->second, a.key,
                 {a.seen, now - a.began, a.source, a.klass}, now);
    const bool keep =
        whole && a.parser->keep_alive() && is_clean(*a.link, true);
    if (a.link && (keep || !n.safeguards.close_unclean))
        give_back(it->second.idle, std::move(a.link), most_idle, now);
}

} // namespace jasminetray
