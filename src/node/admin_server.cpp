// HTTP for operators; see admin_server.hpp. Targets: /metrics /healthz
// /readyz /announce /api.
#include "node/admin_server.hpp"

#include "node/admin_api.hpp"
#include "node/announce.hpp"
#include "node/http_func.hpp"

namespace jasminetray {

namespace {

string_response make(http::status status, std::string body,
                     const char* type = "application/json")
{
    string_response r(status, 11);
    r.set(http::field::content_type, type);
    r.body() = std::move(body);
    return r;
}

string_response from_api(const api_response& a)
{
    return make(static_cast<http::status>(a.status), a.json + "\n");
}

string_response metrics(node_state& n)
{
    auto& m = n.metrics;
    std::size_t alive = 0;
    for (const auto& [id, v] : n.view.nodes)
        alive += v.state != liveness::dead ? 1 : 0;
    m.members->Set(static_cast<double>(alive));
    m.in_flight->Set(n.in_flight);
    m.gate_records->Set(static_cast<double>(n.local_gate.records.size()));
    m.store_up->Set(n.store_reachable ? 1 : 0);
    m.dropped_lines->Set(static_cast<double>(n.events.dropped_lines()));
    if (n.config) {
        m.config_version->Set(static_cast<double>(n.config->version));
        m.config_age->Set(static_cast<double>(mono_now() - n.config_at) /
                          us_per_s);
    }
    return make(http::status::ok, metrics_text(m), "text/plain");
}

string_response announce(node_state& n, const std::string& body, bool loopback)
{
    // Whoever may announce may draw traffic: only this VM's own.
    if (!loopback)
        return make(http::status::forbidden, "{}\n");
    std::string why;
    const auto a = parse_announcement(body, why);
    if (!a)
        return make(http::status::bad_request, "{\"error\":\"" + why + "\"}\n");
    handle_announcement(n, *a);
    return make(http::status::ok, "{}\n");
}

std::string bearer(const string_request& q)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto field = header_value(q, "authorization");
    return field.rfind(scheme, 0) == 0 ? field.substr(scheme.size()) : "";
}

string_response answer(node_state& n, const string_request& q, bool loopback)
{
    const auto target = q.target();
    if (target == "/metrics")
        return metrics(n);
    if (target == "/healthz")
        return make(http::status::ok, "ok\n", "text/plain");
    if (target == "/readyz") {
        const bool ready = n.config != nullptr && !n.stopping;
        return make(ready ? http::status::ok
                          : http::status::service_unavailable,
                    ready        ? "ready\n"
                    : n.stopping ? "stopping\n"
                                 : "no configuration yet\n",
                    "text/plain");
    }
    if (target == "/announce" && q.method() == http::verb::post)
        return announce(n, q.body(), loopback);
    if (target == "/api" && q.method() == http::verb::post) {
        const api_caller who{loopback, bearer(q), "http"};
        return from_api(is_command(q.body()) ? handle_command(n, q.body(), who)
                                             : handle_query(n, q.body()));
    }
    return make(http::status::not_found, "{\"error\":\"no such target\"}\n");
}

} // namespace

void serve_admin(node_state& n, beast::tcp_stream stream, const yield& y)
{
    beast::error_code ec;
    const auto from = stream.socket().remote_endpoint(ec);
    if (ec)
        return;
    const bool loopback = from.address().is_loopback();
    serve_http(stream, y,
               [&](const string_request& q) { return answer(n, q, loopback); });
}

} // namespace jasminetray
