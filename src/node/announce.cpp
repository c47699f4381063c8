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

constexpr span_us lapse = 5 * us_per_s; // without an announcement

/// Id of the process that speaks. One whose start was learned late keeps the
/// id that it was found under: work, evidence and claims bear it already.
worker_id id_of(const node_state& n, const announcement& a)
{
    for (const auto& [id, w] : n.workers) {
        if (w.name == a.name && w.boot == a.boot)
            return id;
    }
    return static_cast<worker_id>(
        text_hash(n.settings.name + "/" + a.name + "/" + to_hex(a.boot)));
}

void remove_worker(node_state& n, worker_id id, const std::string& why)
{
    const auto it = n.workers.find(id);
    if (it == n.workers.end())
        return;
    n.events.write(event_id::worker_gone, it->second.name,
                   "service=" + it->second.service + " reason=" + why);
    deliver_gate_decisions(n, gate_remove_worker(n.door, id, mono_now()));
    n.workers.erase(it);
}

/// What a former process of the same backend server taught about the usual
/// outlives its restart: a bad release must not define its own usual.
service_usual inherit_usual(node_state& n, const announcement& a)
{
    for (const auto& [id, w] : n.workers) {
        if (w.name == a.name && w.service == a.service)
            return w.health.usual;
    }
    return {};
}

/// Ends what a dead process of a backend server had begun. Its connections
/// may stay silent instead of closing, and each caller would wait for its
/// deadline. Bytes that are here already are read: they may be a whole answer.
void end_busy(const local_worker& w)
{
    for (auto* link : w.busy) {
        beast::error_code ec;
        if (link->stream.socket().available(ec) == 0)
            link->stream.cancel();
    }
}

void remove_former(node_state& n, const announcement& a, worker_id id)
{
    // A hosted VM has one address with one process behind it at a time.
    const bool single = !n.settings.hosted.control.empty();
    for (auto& [other, w] : n.workers) {
        if (other == id || !(single || w.name == a.name))
            continue;
        if (w.name == a.name) {
            n.events.write(event_id::worker_restarted, a.name,
                           "former=" + std::to_string(w.boot) +
                               " start=" + std::to_string(a.boot) +
                               " ended=" + std::to_string(w.busy.size()));
            end_busy(w);
        }
        handle_worker_replaced(n, w);
        return remove_worker(n, other, "replaced");
    }
}

local_worker& add_worker(node_state& n, const announcement& a, worker_id id)
{
    const auto usual = inherit_usual(n, a);
    remove_former(n, a, id);
    auto& w = n.workers[id];
    w.id = id;
    w.name = a.name;
    w.service = a.service;
    w.boot = a.boot;
    w.health.usual = usual;
    w.health.cold_until =
        mono_now() + (a.sequence != 0 ? a.cold_for : n.balance.ramp);
    refresh_ejection_policies(n);
    n.events.write(event_id::worker_announced, a.name,
                   "service=" + a.service +
                       " slots=" + std::to_string(a.slots) +
                       " busy=" + std::to_string(a.busy));
    return w;
}

} // namespace

std::optional<announcement> parse_announcement(const std::string& text,
                                               std::string& why)
{
    json::error_code ec;
    const auto v = json::parse(text, ec);
    const auto* o = ec ? nullptr : v.if_object();
    if (o == nullptr) {
        why = "expected a JSON object";
        return std::nullopt;
    }
    announcement a;
    const auto whole = [&](const char* key, std::int64_t least,
                           std::int64_t most, std::int64_t otherwise) {
        const auto* x = o->if_contains(key);
        const auto k = x && x->is_int64() ? x->as_int64() : otherwise;
        if (k < least || k > most)
            why = std::string(key) + " is out of bounds";
        return k;
    };
    const auto words = [&](const char* key) {
        const auto* x = o->if_contains(key);
        return x && x->is_string() ? std::string(x->as_string()) : "";
    };
    a.name = words("name");
    a.service = words("service");
    a.port = static_cast<std::uint16_t>(whole("port", 1, 65535, 0));
    a.slots = static_cast<int>(whole("slots", 1, max_slots, 1));
    a.busy = static_cast<int>(whole("busy", 0, max_slots, 0));
    a.draining = whole("draining", 0, 1, 0) == 1;
    a.leaving = whole("leaving", 0, 1, 0) == 1;
    a.boot = static_cast<std::uint64_t>(whole("boot", 0, INT64_MAX, 0));
    if (!words("ip").empty())
        a.ip = words("ip");
    if (a.name.empty() || a.service.empty() || !is_ipv4(a.ip))
        why = "name, service and an IPv4 ip are needed";
    if (!why.empty())
        return std::nullopt;
    return a;
}

worker_id handle_announcement(node_state& n, const announcement& a)
{
    const auto id = id_of(n, a);
    if (a.leaving) {
        remove_worker(n, id, "left");
        publish_self(n);
        return id;
    }
    const bool fresh = n.workers.count(id) == 0;
    auto& w = fresh ? add_worker(n, a, id) : n.workers[id];
    const bool changed =
        fresh || w.slots != a.slots || w.draining != a.draining;
    if (a.draining && !w.draining)
        n.events.write(event_id::worker_draining, w.name, "");
    w.at = tcp::endpoint(asio::ip::make_address_v4(a.ip), a.port);
    w.slots = a.slots;
    w.draining = a.draining;
    w.announced_at = mono_now();
    gate_set_worker(n.door, id, a.slots, a.busy);
    deliver_gate_decisions(n, gate_drain_worker(n.door, id,
                                                w.draining || w.drained_here,
                                                mono_now()));
    if (changed)
        publish_self(n);
    return id;
}

void expire_workers(node_state& n, mono_us now)
{
    std::vector<worker_id> gone;
    for (const auto& [id, w] : n.workers) {
        if (now - w.announced_at > lapse)
            gone.push_back(id);
    }
    for (const auto id : gone)
        remove_worker(n, id, "lapsed");
    if (!gone.empty())
        publish_self(n);
}

void set_operator_drain(node_state& n, worker_id id, bool draining)
{
    const auto it = n.workers.find(id);
    if (it == n.workers.end())
        return;
    it->second.drained_here = draining;
    deliver_gate_decisions(n, gate_drain_worker(n.door, id,
                                                draining || it->second.draining,
                                                mono_now()));
    publish_self(n);
}

void deregister_worker(node_state& n, worker_id id, const std::string& why)
{
    remove_worker(n, id, why);
    publish_self(n);
}

void deliver_gate_decisions(node_state& n,
                            const std::vector<gate_decision>& decisions)
{
    for (const auto& d : decisions) {
        const auto it = n.tickets.find(d.attempt);
        if (it == n.tickets.end())
            continue;
        it->second->decision = d;
        it->second->signal.cancel();
    }
}

} // namespace jasminetray
