// The entry side; see entry_server.hpp.
#include "node/entry_server.hpp"

#include "attempt/attempt_func.hpp"
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "node/caller_read.hpp"
#include "node/entry_refusal.hpp"
#include "node/entry_team.hpp"
#include "node/http_func.hpp"
#include "node/key_claim.hpp"
#include "node/quarantine_driver.hpp"

#include <cmath>

namespace jasminetray {

namespace {

constexpr span_us write_bound = 10 * us_per_s;  // for a caller to take it
constexpr span_us full_retry = 100 * us_per_ms; // when the entry side is full
/// Gates that one request asks. Asking all again after a pause, for a second,
/// served no more and cost a sixth of the bytes between data centres; a gate
/// holds work for as long as that is worth it.
constexpr std::uint32_t max_gates = 4;
/// Request bodies of more bytes are offered to fewer gates, and not to
/// suspects: each offer carries the body again. Scans of 60 KB that four gates
/// refused were two thirds of all bytes between data centres (0.15 GB of a
/// day at 92 VMs, 0.06 with two gates); 0.31 of them were served with four
/// gates and 0.27 with two, within the noise of one day.
constexpr std::size_t large_body = 16384;
constexpr std::uint32_t max_large_gates = 2;
constexpr double golden_step = 0.6180339887498949; // fills evenly at any length

/// A caller's connection with what is needed to answer on it.
struct caller
{
    beast::tcp_stream& stream;
    bool keep_alive = true;
};

bool send(caller& c, string_response m, const yield& y)
{
    m.keep_alive(c.keep_alive);
    m.prepare_payload();
    c.stream.expires_after(std::chrono::microseconds(write_bound));
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
    count(*n.metrics.requests, "outcome",
          std::string(name_of(final_outcome_names, x.outcome)));
    return send(c, make_refusal(id, x, n.dialect.explain), y);
}

std::string host_of(const string_request& m)
{
    const auto host = header_value(m, "host");
    return host.substr(0, host.find(':'));
}

std::string_view path_of(const string_request& m)
{
    const std::string_view target(m.target().data(), m.target().size());
    return target.substr(0, target.find('?'));
}

/// Service of a route's next request. Steps of the golden ratio fill the
/// parts in proportion over any run of requests, where random draws would be
/// off by a tenth at 100 requests.
const std::string& choose_service(node_state& n, const route_config& r)
{
    if (r.parts.empty())
        return r.service;
    const auto [it, fresh] = n.split_places.try_emplace(r.name, 0.0);
    if (fresh)
        it->second = random_unit(n.rng);
    it->second = std::fmod(it->second + golden_step, 1.0);
    return choose_part(r, it->second);
}

/// Finds route and service and checks the entry node's limits.
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
    r.route = find_route(*r.config, host_of(r.message), path_of(r.message));
    if (r.route == nullptr) {
        x.status = http::status::not_found;
        x.event = event_id::refused_no_route;
        x.reason = "no-route";
        return x;
    }
    if (!r.route->unclear.empty()) {
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
    // What is begun now could not end before the process does, and its
    // caller would see a closed connection.
    if (mono_now() >= n.refuse_at) {
        x.reason = "stopping";
        x.retry_after = us_per_s;
        return x;
    }
    // Each service has its own share, so that one whose backend servers
    // hang cannot take the places of the others.
    if (n.in_flight >= n.settings.max_in_flight ||
        n.in_flight_by_service[name] >= n.settings.service_in_flight) {
        x.event = event_id::refused_overload;
        x.reason = "entry-full";
        x.retry_after = full_retry;
        return x;
    }
    return std::nullopt;
}

/// A caller that closes its connection ends its request.
void watch_caller(const std::shared_ptr<entry_request>& r, caller& c)
{
    r->watching = true;
    auto* stream = &c.stream;
    stream->socket().async_wait(
        tcp::socket::wait_read,
        [weak = std::weak_ptr<entry_request>(r), stream](beast::error_code ec) {
            const auto run = weak.lock();
            if (ec || !run || !run->watching)
                return;
            if (peer_closed(stream->socket()))
                run->tell({attempt_event_kind::caller_gone, 0, ""});
        });
}

void unwatch_caller(entry_request& r, caller& c)
{
    r.watching = false;
    beast::error_code ec;
    c.stream.socket().cancel(ec);
}

/// Gives an attempt's answer to the caller.
bool deliver(entry_request& r, std::uint32_t number, caller& c, const yield& y)
{
    auto& n = r.n;
    auto& t = r.tries[number - 1];
    auto& answer = t.parser->get();
    strip_hop_fields(answer);
    if (!n.dialect.preserve_request_id)
        answer.erase(to_beast_view(n.dialect.request));
    if (n.dialect.explain) {
        answer.set(caller_field::outcome, "answered");
        answer.set(caller_field::request, to_text(r.id));
    }
    count(*n.metrics.requests, "outcome", "answered");
    n.events.note(event_id::request_answered, r.label,
                  "status=" + std::to_string(answer.result_int()) +
                      " attempts=" + std::to_string(r.tries.size()) +
                      " us=" + std::to_string(mono_now() - r.began));
    if (!t.parser->is_done()) {
        if (relay_answer(*t.link, *t.parser, answer.base(), c.stream,
                         write_bound, y))
            return c.keep_alive;
        n.events.write(event_id::answer_cut, r.label, "");
        return false; // closing is how the caller sees the cut
    }
    string_response m(answer.base(), std::move(answer.body()));
    m.version(11);
    if (r.message.method() != http::verb::head)
        return send(c, std::move(m), y);
    m.keep_alive(c.keep_alive);
    beast::error_code ec;
    http::response_serializer<http::string_body> s(m);
    http::async_write_header(c.stream, s, y[ec]);
    return !ec && c.keep_alive;
}

/// Carries out actions; gives the attempt to deliver, or 0.
std::uint32_t carry_out(const std::shared_ptr<entry_request>& r,
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

/// A request that came into quarantine while it was tried is sent to nobody
/// else, and costs the service no retry.
void note_quarantine(entry_request& r, attempt_event& e)
{
    if (r.machine.quarantined || !is_quarantined(r.n, r.message, r.content))
        return;
    r.machine.quarantined = true;
    e.reason = quarantined_reason;
}

/// Feeds the machine until the request has its final outcome.
std::uint32_t drive(const std::shared_ptr<entry_request>& r, const yield& y)
{
    auto& budget = r->n.budgets[r->service->name];
    const auto& h = r->n.settings.hosted;
    const auto now = mono_now();
    if (r->n.balance.doubt.on) {
        apply_fleet_allowance(budget,
                              {h.retry_ratio, h.retry_slack, h.retry_window,
                               std::max<std::size_t>(1, r->n.max_nodes)},
                              now - r->n.started_at);
    } else {
        budget.share = r->service->retry_share;
    }
    count_request(budget, now);
    const auto& on = r->n.safeguards.attempt;
    auto delivered = carry_out(
        r, attempt_step(r->machine, {attempt_event_kind::begin, 0, ""}, budget,
                        mono_now(), on));
    while (r->machine.outcome == final_outcome::open) {
        if (r->inbox.empty()) {
            const auto wait = r->machine.wake_at - mono_now();
            r->signal.expires_after(
                std::chrono::microseconds(std::max<span_us>(0, wait)));
            beast::error_code ec;
            r->signal.async_wait(y[ec]);
        }
        attempt_event e{attempt_event_kind::timer, 0, ""};
        if (!r->inbox.empty()) {
            e = std::move(r->inbox.front());
            r->inbox.pop_front();
        }
        note_quarantine(*r, e);
        delivered =
            carry_out(r, attempt_step(r->machine, e, budget, mono_now(), on));
    }
    return delivered;
}

/// Time without an answer after which another attempt is worth its cost. A
/// route that says when an answer stops being worth all is given most of
/// that; a hanging backend server still leaves time for one more attempt.
span_us silence_of(const node_state& n, const entry_request& r, bool idempotent)
{
    constexpr double share = 0.8;
    if (r.route->target_us == 0)
        return n.settings.silence;
    return idempotent ? static_cast<span_us>(
                            share * static_cast<double>(r.route->target_us))
                      : r.route->deadline_us;
}

attempt_policy policy_of(const node_state& n, const entry_request& r)
{
    attempt_policy p;
    const auto& m = r.message.method_string();
    p.idempotent = is_idempotent(*r.route, {m.data(), m.size()});
    const auto most =
        r.route->attempts > 0 ? r.route->attempts : n.settings.max_attempts;
    p.max_attempts = static_cast<std::uint32_t>(most);
    if (!n.settings.experiment.has(mechanism::retries))
        p.max_attempts = 1;
    p.response_timeout = silence_of(n, r, p.idempotent);
    p.revoke_margin = std::min(p.revoke_margin, r.route->deadline_us / 4);
    if (n.balance.doubt.on) {
        p.max_tries = max_gates;
        p.use_fallback =
            p.idempotent && n.settings.experiment.has(mechanism::last_resort);
        if (r.message.body().size() > large_body) {
            p.max_tries = max_large_gates;
            p.use_fallback = false;
        }
    }
    return p;
}

/// What the exit node and the backend server are to see of the caller's
/// head; everything else passes through.
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

/// The caller's own limit, when it says one.
span_us patience_of(const node_state& n, const entry_request& r)
{
    if (!n.dialect.preserve_request_id)
        return r.route->deadline_us;
    const auto ms =
        parse_whole(header_value(r.message, to_beast_view(n.dialect.deadline)));
    if (!ms || *ms < 0 || *ms > r.route->deadline_us / us_per_ms)
        return r.route->deadline_us;
    return *ms * us_per_ms;
}

bool is_failure(const entry_request& r, std::uint32_t delivered)
{
    constexpr unsigned first_failure = 500;
    if (delivered == 0)
        return true; // also when the caller left: it may have waited in vain
    const auto& t = r.tries[delivered - 1];
    return t.parser->get().result_int() >= first_failure;
}

/// Runs a routed request to its final answer.
bool run_request(const std::shared_ptr<entry_request>& r, caller& c,
                 const yield& y)
{
    auto& n = r->n;
    auto& of_service = n.in_flight_by_service[r->service->name];
    ++n.in_flight;
    ++of_service;
    watch_caller(r, c);
    n.open_runs.insert(r.get());
    const auto delivered = drive(r, y);
    n.open_runs.erase(r.get());
    unwatch_caller(*r, c);
    n.metrics.duration->Observe(static_cast<double>(mono_now() - r->began) /
                                us_per_s);
    if (is_failure(*r, delivered))
        n.call_failed_at = mono_now();
    bool keep = false;
    if (delivered != 0)
        keep = deliver(*r, delivered, c, y);
    else if (r->machine.outcome != final_outcome::gone)
        keep = send_refusal(n, c, r->id, r->label, final_refusal(*r), y);
    --n.in_flight;
    --of_service;
    return keep;
}

bool handle_request(node_state& n, string_request message, caller& c,
                    const yield& y)
{
    auto r = std::make_shared<entry_request>(n);
    r->id = {n.self.id, n.next_request++};
    r->began = mono_now();
    r->message = std::move(message);
    r->label = n.dialect.preserve_request_id
                   ? header_value(r->message, to_beast_view(n.dialect.request))
                   : to_text(r->id);
    if (const auto x = route_request(n, *r))
        return send_refusal(n, c, r->id, r->label, *x, y);
    r->machine =
        make_request(policy_of(n, *r),
                     std::min(n.last_answer_at, r->began + patience_of(n, *r)));
    prepare_message(n, *r);
    if (is_quarantined(n, r->message, r->content))
        return send_refusal(n, c, r->id, r->label, quarantine_refusal(n), y);
    if (const auto x = acquire_grant(n, *r, y))
        return send_refusal(n, c, r->id, r->label, *x, y);
    if (const auto x = apply_idempotency_key(n, *r, y))
        return send_refusal(n, c, r->id, r->label, *x, y);
    return run_request(r, c, y);
}

} // namespace

void serve_caller(node_state& n, beast::tcp_stream stream, const yield& y)
{
    beast::flat_buffer buf;
    caller c{stream, true};
    while (c.keep_alive) {
        auto r = read_caller(n, stream, buf, y);
        if (r.refused) {
            c.keep_alive = false;
            const request_id id{n.self.id, n.next_request++};
            send_refusal(n, c, id, to_text(id), *r.refused, y);
        }
        if (!r.message)
            break;
        c.keep_alive = r.message->keep_alive() && !n.stopping;
        if (!handle_request(n, std::move(*r.message), c, y))
            break;
    }
    beast::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

void probe_avoided_paths(node_state& n, mono_us now)
{
    for (const auto id : path_probes(n.paths, n.path_settings, now))
        start_path_probe(n, id);
}

} // namespace jasminetray
