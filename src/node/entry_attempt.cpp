// Attempts of the entry side over the network; see entry_request.hpp.
#include "base/text_func.hpp"
#include "node/entry_run.hpp"
#include "node/http_func.hpp"
#include "node/quarantine_driver.hpp"

namespace jasminetray {

namespace {

constexpr span_us connect_bound = 250 * us_per_ms;
constexpr span_us ping_bound = 100 * us_per_ms;
constexpr span_us revoke_bound = 80 * us_per_ms;

/// What an attempt came to, before it is told to the machine.
struct try_result
{
    attempt_event_kind kind{};
    std::string reason;
    bool reached = false; ///< not-run: a backend server turned it away
};

void take_stamp(node_state& n, node_id exit, const hop_answer& a)
{
    const auto it = n.view.nodes.find(exit);
    if (it == n.view.nodes.end())
        return;
    auto& v = it->second;
    const auto now = mono_now();
    v.good_at = now;
    if (a.boot == boot_id{})
        return;
    // Stamps of one process only move forward; another process starts anew.
    if (v.stamp_boot != a.boot || a.stamp > v.stamp) {
        v.stamp_boot = a.boot;
        v.stamp = a.stamp;
        v.stamp_at = now;
    }
}

void take_claim(node_state& n, const entry_request& r, const entry_attempt& t,
                const hop_answer& a)
{
    const auto it = n.view.services.find(r.service_key);
    auto* c = view_candidate(n.view, r.service_key, t.worker);
    if (c == nullptr || it == n.view.services.end())
        return;
    const auto now = mono_now();
    view_take_load(
        *c, {t.worker, r.service_key, a.load, a.work, a.doubt, a.suspect}, now);
    const auto place =
        static_cast<std::size_t>(c - it->second.candidates.data());
    auto& spoken = it->second.spoken[place];
    // A verdict acts on the next request, not when gossip brings it.
    const bool moved = spoken.severity / 25 != a.severity / 25;
    spoken = {a.severity, now};
    if (moved && r.service != nullptr)
        view_apply(n.view, r.service_key, *r.service, n.paths, now);
}

/// Proves a connection and fetches a fresh stamp.
bool ping(node_state& n, http_connection& link, node_id exit, const yield& y)
{
    http::request<http::empty_body> q(http::verb::get, ping_path, 11);
    q.keep_alive(true);
    link.stream.expires_after(std::chrono::microseconds(ping_bound));
    beast::error_code ec;
    http::async_write(link.stream, q, y[ec]);
    if (ec)
        return false;
    string_response r;
    http::async_read(link.stream, link.buf, r, y[ec]);
    if (ec)
        return false;
    const auto a = parse_hop_answer(header_value(r, hop_header));
    if (a)
        take_stamp(n, exit, *a);
    return a.has_value();
}

bool needs_ping(const entry_request& r, const http_connection& link,
                node_id exit)
{
    if (r.machine.policy.idempotent)
        return false;
    const auto now = mono_now();
    const auto it = r.n.view.nodes.find(exit);
    const bool stale = it == r.n.view.nodes.end() ||
                       it->second.stamp_boot != it->second.record.boot ||
                       now - it->second.stamp_at > r.n.settings.quiet;
    return stale || (link.used && now - link.last_used > r.n.settings.quiet);
}

/// A connection that is fit for this work, or nothing.
std::unique_ptr<http_connection> open_link(entry_request& r, entry_attempt& t,
                                           bool fresh, const yield& y)
{
    auto& n = r.n;
    if (!fresh) {
        auto link = take_idle_connection(n.exits[t.exit],
                                         mono_now() - exit_idle_timeout);
        // A connection that was quiet may have been forgotten by something
        // in between; non-idempotent work is not the way to find out.
        if (link &&
            (!needs_ping(r, *link, t.exit) || ping(n, *link, t.exit, y)))
            return link;
    }
    auto link = connect_exit(n, t.address, r.machine.deadline, y);
    if (link && needs_ping(r, *link, t.exit) && !ping(n, *link, t.exit, y))
        link = nullptr;
    return link;
}

string_request make_message(const entry_request& r, const entry_attempt& t,
                            std::uint32_t count)
{
    const auto& n = r.n;
    string_request q = r.message;
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
    h.may_probe = r.may_probe;
    h.last_resort = r.resort;
    h.leaving = r.machine.deadline >= n.last_answer_at;
    h.priority = r.priority;
    h.route_class = r.route_class;
    h.centre = static_cast<std::uint32_t>(n.self.centre);
    const auto now = mono_now();
    h.remaining = r.machine.deadline - now;
    h.elapsed = now - r.began;
    h.target = r.route->target_us;
    h.boot = t.boot;
    h.stamp = known ? it->second.stamp : 0;
    q.set(hop_header, to_text(h));
    q.prepare_payload();
    return q;
}

/// Turns the exit node's answer into an event.
try_result read_outcome(const entry_request& r, entry_attempt& t,
                        std::uint32_t count, const hop_answer& a)
{
    if (r.n.safeguards.check_echo &&
        a.echo != attempt_echo(attempt_id{r.id, count})) {
        r.n.events.write(event_id::echo_mismatch, r.label,
                         "exit=" + to_hex(static_cast<std::uint64_t>(t.exit)));
        return {attempt_event_kind::lost, "echo-mismatch"};
    }
    t.retry_after = a.retry;
    switch (a.outcome) {
    case hop_outcome::answer: {
        const bool again =
            a.failed && t.parser->is_done() && r.machine.policy.idempotent;
        return {again ? attempt_event_kind::failed_answer
                      : attempt_event_kind::answer,
                a.failed ? "server-failure" : ""};
    }
    case hop_outcome::not_run:
        return {a.reason == quarantined_reason ? attempt_event_kind::quarantined
                                               : attempt_event_kind::not_run,
                a.reason, a.reached};
    case hop_outcome::unknown:
        break;
    }
    return {attempt_event_kind::unknown, a.reason};
}

/// Sends an attempt and waits for its answer's held part.
try_result run_try(entry_request& r, entry_attempt& t, std::uint32_t count,
                   bool fresh, const yield& y)
{
    auto& n = r.n;
    t.link = open_link(r, t, fresh, y);
    if (!t.link || t.cancelled) {
        if (!t.cancelled)
            record_path_result(n, t.exit, true);
        return {attempt_event_kind::unsent, "exit-unreachable"};
    }
    // Work that must not run twice is not given up for a path that may heal:
    // its answer can still come.
    set_path_timeouts(t.link->stream.socket(), r.machine.policy.idempotent);
    auto q = make_message(r, t, count);
    // A little longer than the machine waits: it decides, not the socket.
    t.link->stream.expires_after(std::chrono::microseconds(
        std::max<span_us>(0, r.machine.deadline - mono_now()) + us_per_s));
    beast::error_code ec;
    const auto sent = http::async_write(t.link->stream, q, y[ec]);
    if (ec && sent == 0)
        return {attempt_event_kind::unsent, "exit-write"};
    if (!ec) {
        t.parser = std::make_unique<response_parser>();
        t.parser->body_limit(boost::none);
        if (r.message.method() == http::verb::head)
            t.parser->skip(true);
        ec = read_buffered(*t.link, *t.parser,
                           static_cast<std::size_t>(n.settings.hold_bytes), y);
    }
    if (ec) {
        if (!t.cancelled)
            record_path_result(n, t.exit, true);
        return {attempt_event_kind::lost, "exit-lost"};
    }
    record_path_result(n, t.exit, false);
    const auto a = parse_hop_answer(header_value(t.parser->get(), hop_header));
    if (!a)
        return {attempt_event_kind::lost, "exit-malformed"};
    take_stamp(n, t.exit, *a);
    take_claim(n, r, t, *a);
    return read_outcome(r, t, count, *a);
}

void release(entry_request& r, entry_attempt& t, const try_result& result)
{
    if (auto* c = view_candidate(r.n.view, r.service_key, t.worker))
        c->in_flight = std::max(0, c->in_flight - 1);
    // An answer that is not whole goes on; the caller's coroutine owns it.
    const bool complete = t.parser && t.parser->is_done() && !t.cancelled;
    if (complete && result.reason != "echo-mismatch" &&
        is_reusable(*t.link, t.parser->keep_alive())) {
        return_connection(r.n.exits[t.exit], std::move(t.link),
                          max_idle_exit_connections, mono_now());
    } else if (complete || t.cancelled) {
        t.link.reset();
    }
}

std::optional<choice> choose(entry_request& r)
{
    const auto it = r.n.view.services.find(r.service_key);
    if (it == r.n.view.services.end())
        return std::nullopt;
    const auto& all = it->second.candidates;
    if (r.resort)
        return place_resort(all, r.n.balance, r.tried, mono_now());
    if (!r.home && r.n.placing.on)
        return place(all, r.n.placing, r.n.balance,
                     {r.may_probe, r.route->target_us}, r.tried, r.n.rng,
                     mono_now());
    if (!r.home)
        return choose_worker(all, r.n.balance, r.machine.policy.idempotent,
                             r.tried, r.n.rng, mono_now());
    for (std::size_t k = 0; k < all.size(); ++k) {
        if (all[k].id == *r.home && all[k].weight > 0 && r.tried.empty())
            return choice{k, 0, 0};
    }
    return std::nullopt;
}

/// Fills in where an attempt goes; false when nobody is left.
bool aim(entry_request& r, entry_attempt& t, std::uint32_t count)
{
    const auto c = choose(r);
    if (!c)
        return false;
    auto& x = r.n.view.services[r.service_key].candidates[c->index];
    const auto node = r.n.view.nodes.find(x.exit);
    if (node == r.n.view.nodes.end())
        return false;
    t.worker = x.id;
    t.exit = x.exit;
    t.boot = node->second.record.boot;
    t.address = node->second.record.address;
    ++x.in_flight;
    r.tried.push_back(x.id);
    r.n.events.write(
        count == 1 ? event_id::request_routed : event_id::request_retried,
        r.label,
        "service=" + r.service->name + " attempt=" + std::to_string(count) +
            " worker=" + to_hex(static_cast<std::uint64_t>(x.id)) + " exit=" +
            node->second.record.name + " cost=" + std::to_string(c->cost) +
            " other_cost=" + std::to_string(c->other_cost) +
            (x.trickle ? " trickle=1" : ""));
    return true;
}

void log_path(node_state& n, node_id exit, path_step step)
{
    const auto subject = to_hex(static_cast<std::uint64_t>(exit));
    switch (step) {
    case path_step::none:
        return;
    case path_step::avoid:
        n.events.write(event_id::path_avoided, subject, "");
        break;
    case path_step::restore:
        n.events.write(event_id::path_restored, subject, "");
        break;
    case path_step::doubt_self:
        n.events.write(event_id::self_doubt_began, n.settings.name, "");
        break;
    case path_step::trust_self:
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
    auto link = std::make_unique<http_connection>(n.ctx);
    const auto left = std::max<span_us>(1, deadline - mono_now());
    link->stream.expires_after(
        std::chrono::microseconds(std::min(connect_bound, left)));
    const tcp::endpoint at(asio::ip::address_v4(to.ip), to.exit_port);
    beast::error_code ec;
    link->stream.async_connect(at, y[ec]);
    if (ec)
        return nullptr;
    link->stream.socket().set_option(tcp::no_delay(true), ec);
    return link;
}

void entry_request::tell(attempt_event e)
{
    inbox.push_back(std::move(e));
    signal.cancel();
}

void record_path_result(node_state& n, node_id exit, bool lost)
{
    if (exit == n.self.id || !n.settings.experiment.has(mechanism::path_guard))
        return;
    log_path(n, exit,
             path_seen(n.paths, n.path_settings, exit, lost, mono_now()));
}

namespace {

/// Whether the attempt that begins now may go to a suspect: its failure
/// would be tried again, within attempts and budget. The track of the
/// attempt stands in the machine already.
bool others_may_fail(const entry_request& r)
{
    const auto& m = r.machine;
    std::uint32_t reached = 0;
    for (const auto& t : m.attempt_states)
        reached += t.reached ? 1 : 0;
    const auto it = r.n.budgets.find(r.service->name);
    const bool paid =
        it != r.n.budgets.end() && may_retry(it->second, mono_now());
    return m.policy.idempotent && reached < m.policy.max_attempts && paid;
}

} // namespace

void start_attempt(const std::shared_ptr<entry_request>& r, std::uint32_t count,
                   attempt_action_kind kind)
{
    const bool fresh = kind != attempt_action_kind::send;
    r->resort = kind == attempt_action_kind::send_fallback;
    r->may_probe = others_may_fail(*r);
    r->tries.emplace_back();
    auto& t = r->tries.back();
    if (!aim(*r, t, count))
        return r->tell({attempt_event_kind::no_worker, count,
                        r->resort ? "" : "no-worker"});
    asio::spawn(
        r->n.ctx,
        [r, &t, count, fresh](const yield& y) {
            const auto result = run_try(*r, t, count, fresh, y);
            release(*r, t, result);
            if (!t.cancelled)
                r->tell({result.kind, count, result.reason, result.reached});
        },
        asio::detached);
}

void start_revoke(const std::shared_ptr<entry_request>& r, std::uint32_t count)
{
    const auto& t = r->tries[count - 1];
    const auto left = r->machine.deadline - mono_now();
    const auto bound = std::min(revoke_bound, std::max<span_us>(1, left));
    r->n.control.revoke(
        t.address, attempt_id{r->id, count}, t.boot, bound,
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
                record_path_result(r->n, r->tries[count - 1].exit, true);
            r->tell({kind, count, reply ? "" : "exit-silent"});
        });
}

void cancel_attempt(entry_request& r, std::uint32_t count)
{
    auto& t = r.tries[count - 1];
    // Another attempt was faster. If it is the path and not the work, the
    // next request need not find out by waiting as long.
    if (!t.parser)
        start_path_probe(r.n, t.exit);
    t.cancelled = true;
    if (t.link)
        t.link->stream.cancel();
}

void start_path_probe(node_state& n, node_id exit)
{
    const auto it = n.view.nodes.find(exit);
    if (it == n.view.nodes.end())
        return;
    entry_attempt t;
    t.exit = exit;
    t.address = it->second.record.address;
    asio::spawn(
        n.ctx,
        [&n,
         t = std::make_shared<entry_attempt>(std::move(t))](const yield& y) {
            auto link =
                connect_exit(n, t->address, mono_now() + connect_bound, y);
            record_path_result(n, t->exit,
                               !link || !ping(n, *link, t->exit, y));
        },
        asio::detached);
}

} // namespace jasminetray
