// Read-only queries of the administration API.
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "gate/gate_query.hpp"
#include "node/admin_api.hpp"
#include "node/admin_placement.hpp"
#include "node/admin_quarantine.hpp"
#include "node/admin_team.hpp"
#include "outlier/outlier_query.hpp"
#include "table/event_table.hpp"

#include <boost/json.hpp>

namespace jasminetray {

namespace {

constexpr std::size_t max_records = 200;

inline constexpr std::array<std::string_view, event_family_count> family_names =
    {"routing",       "health",    "membership",
     "configuration", "operation", "process"};

std::string hex(worker_id id)
{
    return to_hex(static_cast<std::uint64_t>(id));
}

std::string string_field(const json::object& o, const char* key)
{
    const auto* v = o.if_contains(key);
    return v && v->is_string() ? std::string(v->as_string()) : std::string();
}

json::object service_json(const node_state& n, const std::string& name,
                          const service_view& s)
{
    json::array workers;
    for (std::size_t k = 0; k < s.candidates.size(); ++k) {
        const auto& c = s.candidates[k];
        const auto node = n.view.nodes.find(c.exit);
        workers.push_back(json::object{
            {"worker", hex(c.id)},
            {"node",
             node == n.view.nodes.end() ? "" : node->second.record.name},
            {"slots", c.slots},
            {"weight", c.weight},
            {"severity", s.ejection_requests[k].severity},
            {"alive", s.ejection_requests[k].alive},
            {"ejected", c.probe_only},
            {"held_by_floor", c.held},
            {"load", c.load},
            {"in_flight_here", c.in_flight}});
    }
    const auto* c = n.config ? find_service(*n.config, name) : nullptr;
    return {{"service", name},
            {"slots", s.total},
            {"floor_slots", c ? floor_slots(*c, s.total) : 0},
            {"at_floor", s.at_floor},
            {"workers", workers}};
}

json::object start_limit_json(const node_state& n, worker_id id, mono_us now)
{
    const auto it = n.local_gate.workers.find(id);
    if (it == n.local_gate.workers.end())
        return {};
    const auto& s = it->second.starts;
    json::object o{{"source", name_of(limit_source_names, s.source)},
                   {"window_starts", starts_in_window(s, now)},
                   {"refused", s.refused}};
    if (is_limited(s)) {
        o["starts_per_s"] = s.rate;
        o["named_ms_ago"] = (now - s.named_at) / us_per_ms;
        o["in_force_ms"] = (now - s.begun_at) / us_per_ms;
    }
    return o;
}

json::object status_json(const node_state& n)
{
    json::array workers;
    const auto now = mono_now();
    for (const auto& [id, w] : n.workers) {
        workers.push_back(json::object{
            {"worker", hex(id)},
            {"name", w.name},
            {"service", w.service},
            {"slots", w.slots},
            {"draining", w.draining || w.drained_by_operator},
            {"said_leaving", w.said_leaving},
            {"reported_leaving", w.leaving_reported_ms != 0},
            {"start_limit", start_limit_json(n, id, now)},
            {"standing", name_of(ejection_state_names, w.health.state)},
            {"evidence", health_score(w.health, w.policy, now)},
            {"threshold", health_threshold(w.health, w.policy)},
            {"load", gate_load(n.local_gate, id, now)}});
    }
    return {{"node", n.settings.name},
            {"data_centre", n.settings.centre},
            {"boot", to_hex(static_cast<std::uint64_t>(n.local_gate.boot))},
            {"stopping", n.stopping},
            {"config_version",
             n.config ? static_cast<std::int64_t>(n.config->version) : 0},
            {"config_age_s", n.config ? (now - n.config_at) / us_per_s : 0},
            {"store_reachable", n.store_reachable},
            {"members", n.view.nodes.size()},
            {"self_doubt", n.paths.local_fault},
            {"in_flight", n.in_flight},
            {"gate_records", n.local_gate.records.size()},
            {"workers", workers}};
}

json::object fleet_json(const node_state& n)
{
    json::array nodes;
    for (const auto& [id, v] : n.view.nodes) {
        const auto& r = v.record;
        nodes.push_back(
            json::object{{"node", r.name},
                         {"state", name_of(liveness_names, v.state)},
                         {"leaving", r.leaving},
                         {"ip", asio::ip::address_v4(r.address.ip).to_string()},
                         {"entry_port", r.address.entry_port},
                         {"rpc_port", r.address.rpc_port},
                         {"workers", r.workers.size()},
                         {"path_usable", path_usable(n.paths, id)}});
    }
    return {{"asked", n.settings.name}, {"nodes", nodes}};
}

json::object record_json(const event_record& r)
{
    const auto& row = find_event_row(r.id);
    return {{"event", event_number(r.id)},
            {"name", row.name},
            {"wall_ms", r.wall_ms},
            {"config_version", static_cast<std::int64_t>(r.config_version)},
            {"subject", r.subject},
            {"detail", r.detail},
            {"meaning", row.meaning},
            {"action", row.action}};
}

/// Returns the entry node of a request id, when it is another node: only the
/// entry node keeps the request's events.
std::optional<json::object> redirect_to_entry_node(const node_state& n,
                                                   const std::string& subject)
{
    const auto id = parse_request_id(subject);
    if (!id || id->entry == n.self.id)
        return std::nullopt;
    const auto it = n.view.nodes.find(id->entry);
    if (it == n.view.nodes.end())
        return json::object{
            {"error", "the entry node of this request is no member any more"}};
    const auto& r = it->second.record;
    return json::object{{"ask", asio::ip::address_v4(r.address.ip).to_string() +
                                    ":" + std::to_string(r.address.rpc_port)},
                        {"node", r.name}};
}

json::object explain_json(const node_state& n, const json::object& q)
{
    const auto subject = string_field(q, "subject");
    if (auto other = redirect_to_entry_node(n, subject))
        return *other;
    const auto family =
        value_of<event_family>(family_names, string_field(q, "family"));
    if (!family)
        return {{"error", "unknown family"}};
    json::array records;
    for (const auto& r : n.events.find(*family, subject, max_records))
        records.push_back(record_json(r));
    return {{"node", n.settings.name},
            {"records", records},
            {"overwritten_up_to",
             static_cast<std::int64_t>(n.events.last_overwritten(*family))}};
}

json::object dispatch_query(const node_state& n, const json::object& q)
{
    const auto name = string_field(q, "query");
    if (name == "status")
        return status_json(n);
    if (name == "fleet")
        return fleet_json(n);
    if (name == "explain")
        return explain_json(n, q);
    if (name == "quarantine")
        return quarantine_json(n);
    if (name == "service" || name == "placement") {
        const auto service = string_field(q, "name");
        const auto it = n.view.services.find(service_of(service));
        if (it != n.view.services.end())
            return name == "service" ? service_json(n, service, it->second)
                                     : placement_json(n, service, it->second);
        return {{"error",
                 "no backend server of service '" + service + "' is known"}};
    }
    const bool of_teams = name == "teams" || name == "team" || name == "whois";
    if (of_teams && !n.config)
        return {{"error", "this node has no configuration yet"}};
    if (name == "teams")
        return teams_json(n);
    if (name == "team")
        return team_json(n, string_field(q, "name"));
    if (name == "whois")
        return whois_json(n, string_field(q, "key"));
    return {{"error", "unknown query '" + name + "'"}};
}

} // namespace

api_response handle_query(const node_state& n, const std::string& request)
{
    json::error_code ec;
    const auto v = json::parse(request, ec);
    if (ec || !v.is_object())
        return {400, R"({"error":"expected a JSON object"})"};
    const auto answer = dispatch_query(n, v.as_object());
    return {answer.contains("error") ? 404U : 200U, json::serialize(answer)};
}

} // namespace jasminetray
