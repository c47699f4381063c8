// The entry side; see entry_server.hpp.
#include "node/entry_server.hpp"

#include "attempt/attempt_func.hpp"
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "node/entry_run.hpp"
#include "node/http_func.hpp"

#include <boost/json.hpp>
#include <cmath>

namespace jasminetray {

namespace {

namespace json = boost::json;

constexpr span_us idle_bound = 60 * us_per_s;  // of a caller's connection
constexpr span_us write_bound = 10 * us_per_s; // for a caller to take it
constexpr int most_claims = 256;               // waiting for the table service
constexpr span_us default_retry = 100 * us_per_ms;

/// A refusal before or after attempts.
struct refusal
{
    http::status status = http::status::service_unavailable;
    final_outcome outcome = final_outcome::not_run;
    event_id event = event_id::refused_not_run;
    std::string reason;
    span_us retry_after = 0; ///< 0 when repeating is of no use
};

string_response make_refusal(const request_id& id, const refusal& x)
{
    string_response m(x.status, 11);
    const std::string outcome(name_of(final_outcome_names, x.outcome));
    m.set(caller_field::outcome, outcome);
    m.set(caller_field::reason, x.reason);
    m.set(caller_field::event, std::to_string(number_of(x.event)));
    m.set(caller_field::request, to_text(id));
    m.set(http::field::content_type, "application/json");
    json::object body{{"outcome", outcome},
                      {"reason", x.reason},
                      {"event", number_of(x.event)},
                      {"request", to_text(id)}};
    if (x.retry_after > 0) {
        const auto ms = std::max<span_us>(1, x.retry_after / us_per_ms);
        m.set(http::field::retry_after, std::to_string((ms + 999) / 1000));
        m.set(caller_field::retry_ms, std::to_string(ms));
        body["retry_after_ms"] = ms;
    }
    m.body() = json::serialize(body) + "\n";
    return m;
}

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
                  const refusal& x, const yield& y)
{
    n.events.write(x.event, to_text(id), "reason=" + x.reason);
    count(*n.metrics.requests, "outcome",
          std::string(name_of(final_outcome_names, x.outcome)));
    return send(c, make_refusal(id, x), y);
}

std::string host_of(const string_request& m)
{
    const auto host = field_of(m, "host");
    return host.substr(0, host.find(':'));
}

std::string_view path_of(const string_request& m)
{
    const std::string_view target(m.target().data(), m.target().size());
    return target.substr(0, target.find('?'));
}

/// Finds route and service and checks the entry node's limits.
/// @return a refusal, or nothing with `r` filled in
std::optional<refusal> route_request(node_state& n, entry_run& r)
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
    r.service = find_service(*r.config, r.route->service);
    r.service_key = service_of(r.route->service);
    r.klass =
        static_cast<std::uint32_t>(text_hash(r.route->name) % work_classes);
    const auto team = field_of(r.message, caller_field::team);
    if (!pass_team(n.teams, *r.config, team, mono_now())) {
        x.status = http::status::too_many_requests;
        x.event = event_id::refused_team_limit;
        x.reason = "team-limit";
        x.retry_after = us_per_s;
        return x;
    }
    // Each service has its own share, so that one whose backend servers
    // hang cannot take the places of the others.
    if (n.in_flight >= n.settings.most_in_flight ||
        n.in_flight_by_service[r.route->service] >=
            n.settings.service_in_flight) {
        x.event = event_id::refused_overload;
        x.reason = "entry-full";
        x.retry_after = default_retry;
        return x;
    }
    return std::nullopt;
}

/// Writes the claim on an idempotency key, off the request thread.
/// @return none when this request owns the key
platform_error claim_key(node_state& n, const std::string& row,
                         const std::string& owner, std::string& first,
                         const yield& y)
{
    struct claim_state
    {
        platform_error error = platform_error::unclear;
        std::string first;
    };
    if (n.slow_calls == nullptr || n.claims_open >= most_claims)
        return platform_error::unreachable;
    ++n.claims_open;
    auto state = std::make_shared<claim_state>();
    auto signal = std::make_shared<asio::steady_timer>(n.ctx);
    signal->expires_at(asio::steady_timer::time_point::max());
    auto platform = n.platform;
    asio::post(*n.slow_calls, [=, &ctx = n.ctx] {
        platform_error last{};
        platform.write_rows({{row, 0, owner}}, last);
        // A lost answer or a conflict is settled by reading whose it is.
        if (last != platform_error::none) {
            platform_error read{};
            const auto found = platform.read_row(row, read);
            if (found)
                state->first = found->value;
            last = !found                  ? platform_error::unclear
                   : found->value == owner ? platform_error::none
                                           : platform_error::conflict;
        }
        state->error = last;
        asio::post(ctx, [signal] { signal->cancel(); });
    });
    beast::error_code ec;
    signal->async_wait(y[ec]);
    --n.claims_open;
    first = state->first;
    return state->error;
}

/// What an idempotency key demands before the first attempt.
std::optional<refusal> settle_key(node_state& n, entry_run& r, const yield& y)
{
    const auto key = field_of(r.message, caller_field::key);
    if (key.empty() || r.machine.policy.idempotent ||
        r.route->keys == key_mode::none)
        return std::nullopt;
    const auto hash = text_hash(r.route->name + "\n" + key);
    refusal x;
    if (r.route->keys == key_mode::home) {
        const auto& all = n.view.services[r.service_key].candidates;
        const auto at = home_worker(all, hash);
        if (at)
            r.home = all[*at].id;
        return std::nullopt;
    }
    std::string first;
    const auto e = claim_key(n, "key-" + to_hex(hash), to_text(r.id), first, y);
    if (e == platform_error::none)
        return std::nullopt;
    if (e == platform_error::conflict) {
        x.status = http::status::conflict;
        x.event = event_id::refused_key_claimed;
        x.reason = "key-claimed-by-" + first;
        return x;
    }
    x.event = event_id::refused_key_unproven;
    x.reason = "key-unproven";
    x.retry_after = us_per_s;
    return x;
}

/// A caller that closes its connection ends its request.
void watch_caller(const std::shared_ptr<entry_run>& r, caller& c)
{
    r->watching = true;
    auto* stream = &c.stream;
    stream->socket().async_wait(
        tcp::socket::wait_read,
        [weak = std::weak_ptr<entry_run>(r), stream](beast::error_code ec) {
            const auto run = weak.lock();
            if (ec || !run || !run->watching)
                return;
            if (peer_closed(stream->socket()))
                run->tell(attempt_event_kind::caller_gone, 0);
        });
}

void unwatch_caller(entry_run& r, caller& c)
{
    r.watching = false;
    beast::error_code ec;
    c.stream.socket().cancel(ec);
}

refusal final_refusal(const entry_run& r)
{
    refusal x;
    x.outcome = r.machine.outcome;
    x.reason = r.machine.reason.empty() ? "no-worker" : r.machine.reason;
    if (x.outcome == final_outcome::unknown) {
        x.status = http::status::gateway_timeout;
        x.event = event_id::refused_unknown;
        return x;
    }
    x.retry_after = default_retry;
    for (const auto& t : r.tries)
        x.retry_after = std::max(x.retry_after, t.retry_after);
    if (x.reason == "queue-full" || x.reason == "shed" ||
        x.reason == "deadline-short")
        x.event = event_id::refused_overload;
    else if (x.reason == "no-worker")
        x.event = event_id::refused_no_worker;
    return x;
}

/// Gives an attempt's answer to the caller.
bool deliver(entry_run& r, std::uint32_t number, caller& c, const yield& y)
{
    auto& n = r.n;
    auto& t = r.tries[number - 1];
    auto& answer = t.parser->get();
    strip_hop_fields(answer);
    answer.erase(worker_field::request);
    answer.set(caller_field::outcome, "answered");
    answer.set(caller_field::request, to_text(r.id));
    count(*n.metrics.requests, "outcome", "answered");
    n.events.note(event_id::request_answered, to_text(r.id),
                  "attempts=" + std::to_string(r.tries.size()) +
                      " us=" + std::to_string(mono_now() - r.began));
    if (!t.parser->is_done()) {
        if (relay_answer(*t.link, *t.parser, answer.base(), c.stream,
                         write_bound, y))
            return c.keep_alive;
        n.events.write(event_id::answer_cut, to_text(r.id), "");
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
std::uint32_t carry_out(const std::shared_ptr<entry_run>& r,
                        const std::vector<attempt_action>& actions)
{
    std::uint32_t delivered = 0;
    for (const auto& a : actions) {
        switch (a.kind) {
        case attempt_action_kind::send:
            start_attempt(r, a.count, false);
            break;
        case attempt_action_kind::send_fresh:
            start_attempt(r, a.count, true);
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

/// Feeds the machine until the request has its final outcome.
std::uint32_t drive(const std::shared_ptr<entry_run>& r, const yield& y)
{
    auto& budget = r->n.budgets[r->service->name];
    earn_retry(budget, r->service->retry_share);
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
        delivered =
            carry_out(r, attempt_step(r->machine, e, budget, mono_now(), on));
    }
    return delivered;
}

attempt_policy policy_of(const node_state& n, const entry_run& r)
{
    attempt_policy p;
    const auto& m = r.message.method_string();
    p.idempotent = is_idempotent(*r.route, {m.data(), m.size()});
    p.most_attempts = static_cast<std::uint32_t>(n.settings.most_attempts);
    p.silence = n.settings.silence;
    p.revoke_margin = std::min(p.revoke_margin, r.route->deadline_us / 4);
    return p;
}

/// Runs a routed request to its final answer.
bool run_request(const std::shared_ptr<entry_run>& r, caller& c, const yield& y)
{
    auto& n = r->n;
    auto& of_service = n.in_flight_by_service[r->route->service];
    ++n.in_flight;
    ++of_service;
    watch_caller(r, c);
    const auto delivered = drive(r, y);
    unwatch_caller(*r, c);
    n.metrics.duration->Observe(static_cast<double>(mono_now() - r->began) /
                                us_per_s);
    bool keep = false;
    if (delivered != 0)
        keep = deliver(*r, delivered, c, y);
    else if (r->machine.outcome != final_outcome::gone)
        keep = send_refusal(n, c, r->id, final_refusal(*r), y);
    --n.in_flight;
    --of_service;
    return keep;
}

bool handle_request(node_state& n, string_request message, caller& c,
                    const yield& y)
{
    auto r = std::make_shared<entry_run>(n);
    r->id = {n.self.id, n.next_request++};
    r->began = mono_now();
    r->message = std::move(message);
    if (const auto x = route_request(n, *r))
        return send_refusal(n, c, r->id, *x, y);
    r->machine =
        make_request(policy_of(n, *r), r->began + r->route->deadline_us);
    if (const auto x = settle_key(n, *r, y))
        return send_refusal(n, c, r->id, *x, y);
    return run_request(r, c, y);
}

refusal bad_request(const beast::error_code& ec)
{
    refusal x;
    const bool large = ec == http::error::body_limit;
    x.status =
        large ? http::status::payload_too_large : http::status::bad_request;
    x.event = event_id::refused_bad_request;
    x.reason = large ? "body-too-large" : "malformed";
    return x;
}

} // namespace

void serve_caller(node_state& n, beast::tcp_stream stream, const yield& y)
{
    beast::flat_buffer buf;
    caller c{stream, true};
    while (c.keep_alive) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(static_cast<std::uint64_t>(n.settings.most_body));
        stream.expires_after(std::chrono::microseconds(idle_bound));
        beast::error_code ec;
        http::async_read(stream, buf, parser, y[ec]);
        if (ec == http::error::end_of_stream || ec == beast::error::timeout)
            break;
        if (ec) {
            c.keep_alive = false;
            if (ec.category() ==
                http::make_error_code(http::error::bad_method).category())
                send_refusal(n, c, {n.self.id, n.next_request++},
                             bad_request(ec), y);
            break;
        }
        stream.expires_never();
        c.keep_alive = parser.get().keep_alive() && !n.stopping;
        if (!handle_request(n, parser.release(), c, y))
            break;
    }
    beast::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

void tick_paths(node_state& n, mono_us now)
{
    for (const auto id : path_probes(n.paths, n.path_settings, now))
        start_path_probe(n, id);
}

} // namespace jasminetray
