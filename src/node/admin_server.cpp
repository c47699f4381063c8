// Administration HTTP server; see admin_server.hpp. Targets: /metrics,
// /healthz, /readyz, /announce and /api.
#include "node/admin_server.hpp"

#include "node/admin_api.hpp"
#include "node/announce.hpp"
#include "node/http_func.hpp"

namespace jasminetray {

namespace {

string_response make_response(http::status status, std::string body,
                              const char* type = "application/json")
{
    string_response r(status, 11);
    r.set(http::field::content_type, type);
    r.body() = std::move(body);
    return r;
}

string_response from_api_response(const api_response& a)
{
    return make_response(static_cast<http::status>(a.status), a.json + "\n");
}

void set_start_metrics(node_state& n, mono_us now)
{
    double limited = 0;
    double rate = 0;
    double most = 0;
    for (const auto& [id, w] : n.local_gate.workers) {
        most = std::max<double>(most, starts_in_window(w.starts, now));
        if (!is_limited(w.starts))
            continue;
        rate = limited == 0 ? w.starts.rate : std::min(rate, w.starts.rate);
        ++limited;
    }
    n.metrics.limited_workers->Set(limited);
    n.metrics.start_rate->Set(rate);
    n.metrics.window_starts->Set(most);
}

string_response render_metrics(node_state& n)
{
    auto& m = n.metrics;
    std::size_t alive = 0;
    for (const auto& [id, v] : n.view.nodes)
        alive += v.state != liveness::dead ? 1 : 0;
    m.members->Set(static_cast<double>(alive));
    m.in_flight->Set(n.in_flight);
    m.body_bytes->Set(static_cast<double>(n.bodies.held));
    m.body_limit->Set(static_cast<double>(n.bodies.limit));
    for (std::size_t k = 0; k < body_kind_names.size(); ++k) {
        m.body_bytes_by_kind[k]->Set(
            static_cast<double>(n.bodies.held_by_kind[k]));
        m.bodies_refused[k]->Set(static_cast<double>(n.bodies.refused[k]));
    }
    m.body_bytes_peak->Set(static_cast<double>(n.bodies.peak));
    m.bodies_withdrawn->Set(static_cast<double>(n.bodies.withdrawn));
    m.gate_records->Set(static_cast<double>(n.local_gate.records.size()));
    set_start_metrics(n, mono_now());
    m.store_up->Set(n.store_reachable ? 1 : 0);
    m.dropped_lines->Set(static_cast<double>(n.events.dropped_lines()));
    if (n.config) {
        m.config_version->Set(static_cast<double>(n.config->version));
        m.config_age->Set(static_cast<double>(mono_now() - n.config_at) /
                          us_per_s);
    }
    return make_response(http::status::ok, metrics_text(m), "text/plain");
}

string_response serve_announcement(node_state& n, const std::string& body,
                                   bool loopback)
{
    // An announced backend server receives traffic, so only processes on this
    // VM may announce.
    if (!loopback)
        return make_response(http::status::forbidden, "{}\n");
    std::string reason;
    const auto a = parse_announcement(body, reason);
    if (!a)
        return make_response(http::status::bad_request,
                             "{\"error\":\"" + reason + "\"}\n");
    handle_announcement(n, *a);
    return make_response(http::status::ok, "{}\n");
}

std::string bearer_token(const string_request& q)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto field = header_value(q, "authorization");
    return field.rfind(scheme, 0) == 0 ? field.substr(scheme.size()) : "";
}

string_response handle_request(node_state& n, const string_request& q,
                               bool loopback)
{
    const auto target = q.target();
    if (target == "/metrics")
        return render_metrics(n);
    if (target == "/healthz")
        return make_response(http::status::ok, "ok\n", "text/plain");
    if (target == "/readyz") {
        const bool ready = n.config != nullptr && !n.stopping;
        return make_response(ready ? http::status::ok
                                   : http::status::service_unavailable,
                             ready        ? "ready\n"
                             : n.stopping ? "stopping\n"
                                          : "no configuration yet\n",
                             "text/plain");
    }
    if (target == "/announce" && q.method() == http::verb::post)
        return serve_announcement(n, q.body(), loopback);
    if (target == "/api" && q.method() == http::verb::post) {
        const api_caller who{loopback, bearer_token(q), "http"};
        return from_api_response(is_command(q.body())
                                     ? handle_command(n, q.body(), who)
                                     : handle_query(n, q.body()));
    }
    return make_response(http::status::not_found,
                         "{\"error\":\"no such target\"}\n");
}

} // namespace

void serve_admin(node_state& n, beast::tcp_stream stream, const yield& y)
{
    beast::error_code ec;
    const auto from = stream.socket().remote_endpoint(ec);
    if (ec)
        return;
    const bool loopback = from.address().is_loopback();
    serve_http(n, message_side::administration, stream, y,
               [&](const string_request& q) {
                   return handle_request(n, q, loopback);
               });
}

} // namespace jasminetray
