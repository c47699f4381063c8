// Announcements of backend servers; see announce.hpp.
#include "node/announce.hpp"

#include "base/text_func.hpp"
#include "node/crash_watch.hpp"
#include "node/exit_server.hpp"
#include "node/health_driver.hpp"

#include <boost/json.hpp>

namespace jasminetray {

namespace {

namespace json = boost::json;

constexpr span_us announcement_timeout = 5 * us_per_s;
/// Entry nodes treat a backend server as warm after this time, whatever its
/// check-ins say.
constexpr span_us max_warm_up_time = 10 * us_per_s;
/// Assumed until the first check-in, which comes earlier.
constexpr span_us unknown_warm_up_time = 2 * us_per_s;

/// Returns the id of an announced process. One whose start time was learnt
/// later keeps its id, as its work and its health statistics refer to it.
worker_id worker_id_for(const node_state& n, const announcement& a)
{
    for (const auto& [id, w] : n.workers) {
        if (w.name == a.name && w.boot == a.boot)
            return id;
    }
    return static_cast<worker_id>(
        text_hash(n.settings.name + "/" + a.name + "/" + to_hex(a.boot)));
}

void remove_worker(node_state& n, worker_id id, const std::string& reason)
{
    const auto it = n.workers.find(id);
    if (it == n.workers.end())
        return;
    n.events.write(event_id::worker_gone, it->second.name,
                   "service=" + it->second.service + " reason=" + reason);
    deliver_gate_decisions(n, gate_remove_worker(n.local_gate, id, mono_now()));
    n.workers.erase(it);
}

/// Returns the baseline of the previous incarnation. A restart keeps it, so
/// that a faulty release can't define its own baseline.
service_baseline inherit_baseline(node_state& n, const announcement& a)
{
    for (const auto& [id, w] : n.workers) {
        if (w.name == a.name && w.service == a.service)
            return w.health.baseline;
    }
    return {};
}

/// Cancels the requests of a dead process, whose connections may stay open.
/// Those with received bytes are left, as these may be a complete answer.
void cancel_running(const local_worker& w)
{
    for (auto* link : w.busy) {
        beast::error_code ec;
        if (link->stream.socket().available(ec) == 0)
            link->stream.cancel();
    }
}

void remove_previous_incarnation(node_state& n, const announcement& a,
                                 worker_id id)
{
    // A hosted VM runs one process at a time.
    const bool single = !n.settings.hosted.control.empty();
    for (auto& [other, w] : n.workers) {
        if (other == id || !(single || w.name == a.name))
            continue;
        if (w.name == a.name) {
            n.events.write(event_id::worker_restarted, a.name,
                           "former=" + std::to_string(w.boot) +
                               " start=" + std::to_string(a.boot) +
                               " ended=" + std::to_string(w.busy.size()));
            cancel_running(w);
        }
        handle_worker_replaced(n, w);
        return remove_worker(n, other, "replaced");
    }
}

local_worker& add_worker(node_state& n, const announcement& a, worker_id id)
{
    const auto baseline = inherit_baseline(n, a);
    remove_previous_incarnation(n, a, id);
    auto& w = n.workers[id];
    w.id = id;
    w.name = a.name;
    w.service = a.service;
    w.boot = a.boot;
    w.health.baseline = baseline;
    w.health.cold_start_until =
        mono_now() + (a.sequence != 0 ? a.warm_up_time : n.balance.ramp);
    refresh_ejection_policies(n);
    n.events.write(event_id::worker_announced, a.name,
                   "service=" + a.service +
                       " slots=" + std::to_string(a.slots) +
                       " busy=" + std::to_string(a.busy));
    return w;
}

void expire_leaving_report(local_worker& w)
{
    const auto age_ms =
        static_cast<std::int64_t>(wall_ms_now()) - w.leaving_reported_ms;
    if (age_ms > reported_leaving_ttl / us_per_ms)
        w.leaving_reported_ms = 0;
}

/// Takes over what a check-in says about the cold start. Later ones may only
/// shorten it.
void update_cold_start(local_worker& w, const announcement& a, mono_us now)
{
    const bool is_stated = a.sequence != 0;
    const bool is_first = is_stated ? !w.warm_up_stated : w.announced_at == 0;
    const auto left = is_stated ? std::min(a.warm_up_time, max_warm_up_time)
                                : unknown_warm_up_time;
    if (is_first) {
        w.warm_up_stated = is_stated;
        w.warm_up_time = left;
        w.cold_until = now + left;
    } else if (is_stated) {
        w.cold_until = std::min(w.cold_until, now + left);
    }
}

} // namespace

std::optional<announcement> parse_announcement(const std::string& text,
                                               std::string& reason)
{
    json::error_code ec;
    const auto v = json::parse(text, ec);
    const auto* o = ec ? nullptr : v.if_object();
    if (o == nullptr) {
        reason = "expected a JSON object";
        return std::nullopt;
    }
    announcement a;
    const auto integer_field = [&](const char* key, std::int64_t min_value,
                                   std::int64_t max_value,
                                   std::int64_t default_value) {
        const auto* x = o->if_contains(key);
        const auto k = x && x->is_int64() ? x->as_int64() : default_value;
        if (k < min_value || k > max_value)
            reason = std::string(key) + " is out of bounds";
        return k;
    };
    const auto string_field = [&](const char* key) {
        const auto* x = o->if_contains(key);
        return x && x->is_string() ? std::string(x->as_string()) : "";
    };
    a.name = string_field("name");
    a.service = string_field("service");
    a.port = static_cast<std::uint16_t>(integer_field("port", 1, 65535, 0));
    a.slots = static_cast<int>(integer_field("slots", 1, max_slots, 1));
    a.busy = static_cast<int>(integer_field("busy", 0, max_slots, 0));
    a.draining = integer_field("draining", 0, 1, 0) == 1;
    a.leaving = integer_field("leaving", 0, 1, 0) == 1;
    a.boot = static_cast<std::uint64_t>(integer_field("boot", 0, INT64_MAX, 0));
    if (!string_field("ip").empty())
        a.ip = string_field("ip");
    if (a.name.empty() || a.service.empty() || !is_ipv4(a.ip))
        reason = "name, service and an IPv4 ip are needed";
    if (!reason.empty())
        return std::nullopt;
    return a;
}

worker_id handle_announcement(node_state& n, const announcement& a)
{
    const auto id = worker_id_for(n, a);
    if (a.leaving) {
        remove_worker(n, id, "left");
        publish_self(n);
        return id;
    }
    const bool is_new = n.workers.count(id) == 0;
    auto& w = is_new ? add_worker(n, a, id) : n.workers[id];
    update_cold_start(w, a, mono_now());
    expire_leaving_report(w);
    const bool draining =
        a.draining || w.said_leaving || w.leaving_reported_ms != 0;
    const bool changed = is_new || w.slots != a.slots ||
                         w.draining != draining ||
                         is_warm_up_outdated(w, mono_now());
    if (draining && !w.draining)
        n.events.write(event_id::worker_draining, w.name, "");
    w.at = tcp::endpoint(asio::ip::make_address_v4(a.ip), a.port);
    w.slots = a.slots;
    w.draining = draining;
    w.announced_at = mono_now();
    gate_set_worker(n.local_gate, id, a.slots, a.busy);
    deliver_gate_decisions(
        n, gate_drain_worker(n.local_gate, id,
                             w.draining || w.drained_by_operator, mono_now()));
    if (changed)
        publish_self(n);
    return id;
}

void expire_workers(node_state& n, mono_us now)
{
    std::vector<worker_id> expired;
    for (const auto& [id, w] : n.workers) {
        if (now - w.announced_at > announcement_timeout)
            expired.push_back(id);
    }
    for (const auto id : expired)
        remove_worker(n, id, "lapsed");
    if (!expired.empty())
        publish_self(n);
}

void set_operator_drain(node_state& n, worker_id id, bool draining)
{
    const auto it = n.workers.find(id);
    if (it == n.workers.end())
        return;
    it->second.drained_by_operator = draining;
    deliver_gate_decisions(n, gate_drain_worker(n.local_gate, id,
                                                draining || it->second.draining,
                                                mono_now()));
    publish_self(n);
}

void drain_leaving_worker(node_state& n, local_worker& w)
{
    w.said_leaving = true;
    drain_reported_worker(n, w);
}

void drain_reported_worker(node_state& n, local_worker& w)
{
    w.draining = true;
    deliver_gate_decisions(
        n, gate_drain_worker(n.local_gate, w.id, true, mono_now()));
    publish_self(n);
}

void deregister_worker(node_state& n, worker_id id, const std::string& reason)
{
    remove_worker(n, id, reason);
    publish_self(n);
}

void deliver_gate_decisions(node_state& n,
                            const std::vector<gate_decision>& decisions)
{
    for (const auto& d : decisions) {
        const auto it = n.pending_admissions.find(d.attempt);
        if (it == n.pending_admissions.end())
            continue;
        it->second->decision = d;
        it->second->signal.cancel();
    }
}

} // namespace jasminetray
