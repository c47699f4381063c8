// Commands of the administration API. Each is validated first and writes an
// audit event with its sender and reason.
#include "base/text_func.hpp"
#include "node/admin_api.hpp"
#include "node/admin_quarantine.hpp"
#include "node/announce.hpp"
#include "outlier/floor_type.hpp"

#include <boost/json.hpp>
#include <sodium.h>

namespace jasminetray {

namespace {

namespace json = boost::json;

constexpr std::int64_t default_seconds = 600;
constexpr std::int64_t max_seconds = 86400;

struct command
{
    std::string name;
    worker_id worker{};    ///< for every command except release
    fingerprint request{}; ///< for release
    std::string reason;
    std::int64_t seconds = default_seconds;
    bool force = false;
};

api_response make_error_response(unsigned status, const std::string& reason)
{
    return {status, json::serialize(json::object{{"error", reason}})};
}

std::optional<command> parse_command(const std::string& request,
                                     std::string& reason)
{
    json::error_code ec;
    const auto v = json::parse(request, ec);
    if (ec || !v.is_object()) {
        reason = "expected a JSON object";
        return std::nullopt;
    }
    const auto& o = v.as_object();
    const auto string_field = [&](const char* key) {
        const auto* x = o.if_contains(key);
        return x && x->is_string() ? std::string(x->as_string()) : "";
    };
    command c;
    c.name = string_field("command");
    c.reason = string_field("reason");
    const bool release = c.name == "release";
    const auto target =
        parse_hex(string_field(release ? "fingerprint" : "worker"));
    const auto* seconds = o.if_contains("seconds");
    if (seconds && seconds->is_int64())
        c.seconds = seconds->as_int64();
    const auto* force = o.if_contains("force");
    c.force = force && force->is_bool() && force->as_bool();
    if (!target)
        reason = release ? "fingerprint must be a request's in hex"
                         : "worker must be a backend server's id in hex";
    else if (c.reason.empty())
        reason = "a reason is needed";
    else if (c.seconds < 1 || c.seconds > max_seconds)
        reason = "seconds must be 1 to 86400";
    if (!reason.empty())
        return std::nullopt;
    if (release)
        c.request = static_cast<fingerprint>(*target);
    else
        c.worker = static_cast<worker_id>(*target);
    return c;
}

bool is_authorized(const node_state& n, const api_caller& who)
{
    const auto& token = n.settings.admin_token;
    if (token.empty())
        return who.loopback;
    return who.token.size() == token.size() &&
           sodium_memcmp(who.token.data(), token.data(), token.size()) == 0;
}

/// Returns the exit node of a backend server that is not on this VM.
api_response redirect_to_exit_node(const node_state& n, worker_id id)
{
    for (const auto& [node, v] : n.view.nodes) {
        for (const auto& w : v.record.workers) {
            if (w.id != id)
                continue;
            const auto& a = v.record.address;
            return {421, json::serialize(json::object{
                             {"ask", asio::ip::address_v4(a.ip).to_string() +
                                         ":" + std::to_string(a.rpc_port)},
                             {"node", v.record.name}})};
        }
    }
    return make_error_response(404, "no such backend server");
}

void write_audit_event(node_state& n, event_id id, const command& c,
                       const api_caller& who)
{
    n.events.write(id, n.workers[c.worker].name,
                   "command=" + c.name + " by=" + who.name +
                       " seconds=" + std::to_string(c.seconds) + " force=" +
                       (c.force ? "1" : "0") + " reason=" + c.reason);
}

} // namespace

bool is_command(const std::string& request)
{
    json::error_code ec;
    const auto v = json::parse(request, ec);
    return !ec && v.is_object() && v.as_object().contains("command");
}

api_response handle_command(node_state& n, const std::string& request,
                            const api_caller& who)
{
    if (!is_authorized(n, who)) {
        n.events.write(event_id::operator_denied, who.name, "");
        return make_error_response(403, "a valid token is needed");
    }
    std::string reason;
    const auto c = parse_command(request, reason);
    if (!c)
        return make_error_response(400, reason);
    if (c->name == "release")
        return release_request(n, c->request, who, c->reason);
    const auto it = n.workers.find(c->worker);
    if (it == n.workers.end())
        return redirect_to_exit_node(n, c->worker);
    auto& w = it->second;
    if (c->name == "drain" || c->name == "undrain") {
        write_audit_event(n, event_id::operator_drain, *c, who);
        set_operator_drain(n, c->worker, c->name == "drain");
    } else if (c->name == "eject") {
        write_audit_event(n, event_id::operator_eject, *c, who);
        w.override_severity = c->force ? forced_severity : operator_severity;
        w.override_until = mono_now() + c->seconds * us_per_s;
        publish_self(n);
    } else if (c->name == "readmit") {
        write_audit_event(n, event_id::operator_readmit, *c, who);
        w.override_severity = 0;
        publish_self(n);
    } else {
        return make_error_response(400, "unknown command '" + c->name + "'");
    }
    return {200, R"({"done":true})"};
}

} // namespace jasminetray
