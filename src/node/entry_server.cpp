// Handles callers' connections and requests.
#include "node/entry_server.hpp"

#include "base/on_exit.hpp"
#include "base/random_func.hpp"
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "node/caller_read.hpp"
#include "node/entry_budget.hpp"
#include "node/entry_hedge.hpp"
#include "node/entry_refusal.hpp"
#include "node/entry_stop.hpp"
#include "node/entry_team.hpp"
#include "node/entry_upload.hpp"
#include "node/guard_func.hpp"
#include "node/http_func.hpp"
#include "node/idempotency_key.hpp"
#include "node/quarantine_driver.hpp"

namespace jasminetray {

namespace {

constexpr span_us write_timeout = 10 * us_per_s;
constexpr span_us late_time = us_per_s; // for an answer past its deadline
constexpr span_us overload_retry_after = 100 * us_per_ms;
/// Gates that a request is offered to. Gates queue work themselves, so that
/// repeated offers would only cost traffic between data centres.
constexpr std::uint32_t max_gates = 4;
/// Larger request bodies (bytes) are offered to fewer gates and never as a
/// fallback, as each offer transmits the body again. Four offers of scans of
/// 60 KB were two thirds of the traffic between data centres.
constexpr std::size_t large_body_bytes = 16384;
constexpr std::uint32_t max_gates_large_body = 2;

struct caller
{
    beast::tcp_stream& stream;
    bool keep_alive = true;
    bool answer_begun = false; ///< bytes of the current answer may be sent
};

bool send(caller& c, string_response m, const yield& y)
{
    m.keep_alive(c.keep_alive);
    m.prepare_payload();
    c.answer_begun = true;
    c.stream.expires_after(std::chrono::microseconds(write_timeout));
    beast::error_code ec;
    http::async_write(c.stream, m, y[ec]);
    return !ec && c.keep_alive;
}

bool send_refusal(node_state& n, caller& c, const request_id& id,
                  const std::string& label, const refusal& x, const yield& y)
{
    n.events.write(x.event, label,
                   "reason=" + x.reason + " status=" +
                       std::to_string(static_cast<unsigned>(x.status)) +
                       " retry_after_us=" + std::to_string(x.retry_after) +
                       (x.team.empty() ? "" : " team=" + x.team));
    increment_counter(*n.metrics.requests, "outcome",
                      std::string(name_of(final_outcome_names, x.outcome)));
    return send(c, make_refusal(id, x, n.dialect.explain), y);
}

std::string request_host(const string_request& m)
{
    const auto host = header_value(m, "host");
    return host.substr(0, host.find(':'));
}

std::string_view request_path(const string_request& m)
{
    const std::string_view target(m.target().data(), m.target().size());
    return target.substr(0, target.find('?'));
}

/// Selects the service of a route's next request. A low-discrepancy sequence
/// keeps to the configured shares even over short runs of requests, where
/// random draws are off by a tenth at 100 requests.
const std::string& choose_service(node_state& n, const route_config& r)
{
    if (r.weighted_services.empty())
        return r.service;
    const auto [it, inserted] = n.split_positions.try_emplace(r.name, 0.0);
    if (inserted)
        it->second = random_unit(n.rng);
    it->second = next_position(it->second);
    return choose_weighted_service(r, it->second);
}

/// Finds the route and service of a request and checks the node's limits.
/// @return a refusal, or nothing with `r` filled in
std::optional<refusal> route_request(node_state& n, entry_request& r)
{
    refusal x;
    r.config = n.config;
    if (!r.config) {
        x.event = event_id::refused_no_config;
        x.reason = "no-config";
        x.retry_after = us_per_s;
        return x;
    }
    r.route =
        find_route(*r.config, request_host(r.message), request_path(r.message));
    if (r.route == nullptr) {
        x.status = http::status::not_found;
        x.event = event_id::refused_no_route;
        x.reason = "no-route";
        return x;
    }
    if (!r.route->unclear_reason.empty()) {
        x.event = event_id::refused_unclear;
        x.reason = "route-unclear";
        x.retry_after = us_per_s;
        return x;
    }
    const auto& name = choose_service(n, *r.route);
    r.service = find_service(*r.config, name);
    r.service_key = service_of(name);
    r.route_class = static_cast<std::uint32_t>(text_hash(r.route->name));
    if (auto refused = identify_team(n, r))
        return refused;
    // The process exits before a request that starts now could finish.
    if (mono_now() >= n.refuse_at) {
        x.reason = "stopping";
        x.retry_after = us_per_s;
        return x;
    }
    // The limit per service keeps one with hanging backend servers from
    // exhausting the node's limit.
    if (n.in_flight > n.settings.max_in_flight ||
        n.in_flight_by_service[name] >= n.settings.service_in_flight) {
        x.event = event_id::refused_overload;
        x.reason = "entry-full";
        x.retry_after = overload_retry_after;
        return x;
    }
    return std::nullopt;
}

/// Ends a request when its caller closes the connection.
void watch_caller(const std::shared_ptr<entry_request>& r, caller& c)
{
    r->watching_caller = true;
    auto* stream = &c.stream;
    const std::weak_ptr<entry_request> weak = r;
    auto on_readable = [weak, stream](beast::error_code ec) {
        const auto run = weak.lock();
        if (ec || !run || !run->watching_caller)
            return;
        if (peer_closed(stream->socket()))
            run->queue_event({attempt_event_kind::caller_disconnected, 0, ""});
    };
    stream->socket().async_wait(tcp::socket::wait_read, std::move(on_readable));
}

void unwatch_caller(entry_request& r, caller& c)
{
    r.watching_caller = false;
    beast::error_code ec;
    c.stream.socket().cancel(ec);
}

/// Returns the bytes of an answer's body. One without a length counts as far as
/// it is held.
std::size_t body_bytes(const response_parser& parser)
{
    const auto held = parser.get().body().size();
    const auto length = parser.content_length();
    return parser.is_done() || !length
               ? held
               : std::max(held, static_cast<std::size_t>(*length));
}

/// Learns the size of a complete answer.
void note_answer_bytes(entry_request& r, const entry_attempt& t,
                       std::size_t bytes)
{
    constexpr unsigned first_failure = 300; // says nothing about answers
    if (r.n.placing.byte_cost <= 0 ||
        t.parser->get().result_int() >= first_failure ||
        r.message.method() == http::verb::head)
        return;
    add_answer_bytes(r.n.answer_sizes, text_hash(r.route->name),
                     static_cast<double>(bytes), mono_now());
}

/// @return whether the connection can be reused
bool deliver_answer(entry_request& r, std::uint32_t number, caller& c,
                    const yield& y)
{
    auto& n = r.n;
    auto& t = r.attempts[number - 1];
    auto& answer = t.parser->get();
    const auto bytes = body_bytes(*t.parser);
    strip_hop_fields(answer);
    if (!n.dialect.preserve_request_id)
        answer.erase(to_beast_view(n.dialect.request));
    if (n.dialect.explain) {
        answer.set(caller_field::outcome, "answered");
        answer.set(caller_field::request, to_text(r.id));
    }
    increment_counter(*n.metrics.requests, "outcome", "answered");
    n.events.record(event_id::request_answered, r.label,
                    "status=" + std::to_string(answer.result_int()) +
                        " attempts=" + std::to_string(r.attempts.size()) +
                        " us=" + std::to_string(mono_now() - r.received_at));
    if (!t.parser->is_done()) {
        c.answer_begun = true;
        const auto held = answer.body().size();
        // The exit node, nearer to the source, ends a silent answer first.
        const relay_limits limits{r.machine.deadline + us_per_s, late_time,
                                  write_timeout, true};
        if (relay_answer(*t.connection, *t.parser, answer.base(), c.stream,
                         limits, y)) {
            count_carried_bytes(r, t, bytes - held);
            note_answer_bytes(r, t, bytes);
            return c.keep_alive;
        }
        n.events.write(event_id::answer_cut, r.label, "");
        return false; // the caller detects truncation by the close
    }
    note_answer_bytes(r, t, bytes);
    string_response m(answer.base(), std::move(answer.body()));
    m.version(11);
    if (r.message.method() != http::verb::head)
        return send(c, std::move(m), y);
    m.keep_alive(c.keep_alive);
    c.answer_begun = true;
    beast::error_code ec;
    http::response_serializer<arriving_body> s(m);
    http::async_write_header(c.stream, s, y[ec]);
    return !ec && c.keep_alive;
}

/// @return number of the attempt to deliver, or 0
std::uint32_t execute_actions(const std::shared_ptr<entry_request>& r,
                              const std::vector<attempt_action>& actions)
{
    std::uint32_t delivered = 0;
    for (const auto& a : actions) {
        switch (a.kind) {
        case attempt_action_kind::send:
        case attempt_action_kind::send_fresh:
        case attempt_action_kind::send_fallback:
            start_attempt(r, a.count, a.kind);
            break;
        case attempt_action_kind::revoke:
            start_revoke(r, a.count);
            break;
        case attempt_action_kind::cancel:
            cancel_attempt(*r, a.count);
            break;
        case attempt_action_kind::deliver:
            delivered = a.count;
            break;
        case attempt_action_kind::refuse:
            break;
        }
    }
    return delivered;
}

/// Stops further attempts of a request that was quarantined meanwhile, without
/// charging the retry budget.
void check_quarantine(entry_request& r, attempt_event& e)
{
    if (r.machine.quarantined || r.upload ||
        !is_quarantined(r.n, r.message, r.message_fingerprint))
        return;
    r.machine.quarantined = true;
    e.reason = quarantined_reason;
}

/// Feeds events to the state machine until the request has its final outcome.
/// @return number of the attempt to deliver, or 0
std::uint32_t run_state_machine(const std::shared_ptr<entry_request>& r,
                                const yield& y)
{
    auto& budget = current_retry_budget(r->n, *r->service);
    count_request(budget, mono_now());
    auto delivered = execute_actions(
        r, step_request(r, {attempt_event_kind::begin, 0, ""}, budget));
    if (r->n.stopping)
        schedule_stop_hedge(*r);
    while (r->machine.outcome == final_outcome::open) {
        if (r->event_queue.empty()) {
            const auto wait = r->machine.wake_at - mono_now();
            r->signal.expires_after(
                std::chrono::microseconds(std::max<span_us>(0, wait)));
            beast::error_code ec;
            r->signal.async_wait(y[ec]);
        }
        attempt_event e{attempt_event_kind::timer, 0, ""};
        if (!r->event_queue.empty()) {
            e = std::move(r->event_queue.front());
            r->event_queue.pop_front();
        }
        check_quarantine(*r, e);
        delivered = execute_actions(r, step_request(r, e, budget));
    }
    return delivered;
}

/// Returns the response timeout after which another attempt starts. With a
/// latency target it is most of the target, which leaves time for the retry.
span_us response_timeout(const node_state& n, const entry_request& r,
                         bool idempotent)
{
    constexpr double target_share = 0.8;
    if (r.route->target_us == 0)
        return n.settings.response_timeout;
    return idempotent
               ? static_cast<span_us>(target_share *
                                      static_cast<double>(r.route->target_us))
               : r.route->deadline_us;
}

attempt_policy make_policy(const node_state& n, const entry_request& r)
{
    attempt_policy p;
    const auto& m = r.message.method_string();
    p.idempotent = is_idempotent(*r.route, {m.data(), m.size()});
    const auto max_attempts =
        r.route->attempts > 0 ? r.route->attempts : n.settings.max_attempts;
    p.max_attempts = static_cast<std::uint32_t>(max_attempts);
    if (!n.settings.experiment.is_enabled(mechanism::retries))
        p.max_attempts = 1;
    p.response_timeout = response_timeout(n, r, p.idempotent);
    if (r.upload) // one attempt has the body: there is nothing to hedge
        p.response_timeout = body_timeout + r.route->deadline_us;
    p.revoke_margin = std::min(p.revoke_margin, r.route->deadline_us / 4);
    if (n.balance.estimate.on) {
        p.max_tries = max_gates;
        p.use_fallback = p.idempotent &&
                         n.settings.experiment.is_enabled(mechanism::fallback);
        // A streamed body is transmitted once, whoever is asked.
        if (!r.upload && r.message.body().size() > large_body_bytes) {
            p.max_tries = max_gates_large_body;
            p.use_fallback = false;
        }
    }
    return p;
}

/// Rewrites the caller's header fields for the exit node and the backend
/// server. Unlisted fields pass through.
void prepare_message(node_state& n, entry_request& r)
{
    auto& m = r.message;
    strip_connection_fields(m);
    m.erase(http::field::expect);
    if (!n.dialect.expected_worker.empty())
        m.erase(to_beast_view(n.dialect.expected_worker));
    set_team_header(n, r);
    if (!n.dialect.caller_service.empty())
        m.set(to_beast_view(n.dialect.caller_service),
              n.settings.hosted.service);
}

/// Returns the request's timeout: the route's, or a shorter one that the caller
/// sends.
span_us request_timeout(const node_state& n, const entry_request& r)
{
    if (!n.dialect.preserve_request_id)
        return r.route->deadline_us;
    const auto ms =
        parse_int(header_value(r.message, to_beast_view(n.dialect.deadline)));
    if (!ms || *ms < 0 || *ms > r.route->deadline_us / us_per_ms)
        return r.route->deadline_us;
    return *ms * us_per_ms;
}

bool is_failure(const entry_request& r, std::uint32_t delivered)
{
    constexpr unsigned first_failure = 500;
    if (delivered == 0)
        return true; // includes callers that gave up waiting
    const auto& t = r.attempts[delivered - 1];
    return t.parser->get().result_int() >= first_failure;
}

/// @return whether the caller's connection can be reused
bool run_request(const std::shared_ptr<entry_request>& r, caller& c,
                 const yield& y)
{
    auto& n = r->n;
    auto& in_flight_of_service = n.in_flight_by_service[r->service->name];
    ++in_flight_of_service;
    // The node may have begun to stop while the request waited for its grant.
    r->machine.deadline = std::min(r->machine.deadline, n.last_answer_at);
    n.open_requests.insert(r.get());
    const on_exit leave([&n, &r, &in_flight_of_service] {
        n.open_requests.erase(r.get());
        r->watching_caller = false;
        if (r->upload)
            r->upload->on_whole = nullptr;
        --in_flight_of_service;
    });
    // Of a caller that still sends, whoever reads learns that it has left.
    if (!r->upload)
        watch_caller(r, c);
    else
        r->upload->on_whole = [r = r.get(), &c] {
            watch_caller(r->shared_from_this(), c);
        };
    const auto delivered = run_state_machine(r, y);
    n.open_requests.erase(r.get());
    if (r->upload)
        stop_upload(*r->upload, y);
    unwatch_caller(*r, c);
    n.metrics.duration->Observe(
        static_cast<double>(mono_now() - r->received_at) / us_per_s);
    if (is_failure(*r, delivered))
        n.last_failure_reported_at = mono_now();
    bool keep = false;
    if (delivered != 0)
        keep = deliver_answer(*r, delivered, c, y);
    else if (r->machine.outcome == final_outcome::not_run)
        return_grant(n, *r);
    // What the caller failed to send can't be read past.
    if (r->upload && r->upload->failed != http::status::unknown)
        c.keep_alive = false;
    if (delivered == 0 && r->machine.outcome != final_outcome::disconnected)
        keep = send_refusal(n, c, r->id, r->label, final_refusal(*r), y);
    return keep;
}

bool handle_request(node_state& n, read_result& from, caller& c, const yield& y)
{
    auto r = std::make_shared<entry_request>(n);
    r->id = {n.self.id, n.next_request++};
    r->received_at = mono_now();
    r->message = std::move(*from.message);
    r->room = std::move(from.room);
    r->upload = from.upload;
    r->label = n.dialect.preserve_request_id
                   ? header_value(r->message, to_beast_view(n.dialect.request))
                   : to_text(r->id);
    if (const auto x = route_request(n, *r))
        return send_refusal(n, c, r->id, r->label, *x, y);
    r->machine = make_request(
        make_policy(n, *r),
        std::min(n.last_answer_at, r->received_at + request_timeout(n, *r)));
    prepare_message(n, *r);
    // The fingerprint covers the body, which isn't known yet.
    if (!r->upload && is_quarantined(n, r->message, r->message_fingerprint))
        return send_refusal(n, c, r->id, r->label, quarantine_refusal(n), y);
    for (const auto step : {acquire_grant, apply_idempotency_key}) {
        if (const auto x = step(n, *r, y)) {
            return_grant(n, *r);
            return send_refusal(n, c, r->id, r->label, *x, y);
        }
    }
    return run_request(r, c, y);
}

/// Handles a request; one whose handling throws is answered, if that is still
/// possible, with a status that does not say whether the work ran.
bool handle_guarded(node_state& n, read_result& from, caller& c, const yield& y)
{
    c.answer_begun = false;
    bool keep = false;
    if (run_guarded(n, "request",
                    [&] { keep = handle_request(n, from, c, y); }))
        return keep;
    c.keep_alive = false;
    if (c.answer_begun)
        return false;
    if (from.upload)
        stop_upload(*from.upload, y);
    refusal x;
    x.status = http::status::internal_server_error;
    x.outcome = final_outcome::unknown;
    x.event = event_id::handler_failed;
    x.reason = "internal";
    const request_id id{n.self.id, n.next_request++};
    return send_refusal(n, c, id, to_text(id), x, y);
}

} // namespace

void serve_caller(node_state& n, beast::tcp_stream connection, const yield& y)
{
    const auto link = std::make_shared<caller_link>(std::move(connection));
    auto& stream = link->stream;
    caller c{stream, true};
    while (c.keep_alive) {
        auto r = read_caller(n, link, y);
        if (r.refused) {
            c.keep_alive = false;
            const request_id id{n.self.id, n.next_request++};
            send_refusal(n, c, id, to_text(id), *r.refused, y);
        }
        bool keep = false;
        if (r.message) {
            c.keep_alive = r.message->keep_alive() && !n.stopping;
            keep = handle_guarded(n, r, c, y);
        }
        r.open.reset();
        if (r.upload && !skip_upload(*r.upload, y))
            break;
        if (!keep)
            break;
    }
    beast::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

void probe_avoided_paths(node_state& n, mono_us now)
{
    for (const auto id : path_due_probes(n.paths, n.path_settings, now))
        start_path_probe(n, id);
}

} // namespace jasminetray
