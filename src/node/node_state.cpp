// Publishing of what this node says about itself, and of what it makes of
// others' claims; see node_state.hpp.
#include "node/node_state.hpp"

#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "gate/gate_query.hpp"
#include "outlier/outlier_query.hpp"

#include <cmath>

namespace jasminetray {

namespace {

constexpr int severity_step = 50; // what the record tells apart below 100

worker_record record_of(const node_state& n, local_worker& w, mono_us now)
{
    worker_record r;
    const int severity = severity_of(w, now);
    w.published = severity;
    // Small moves below the threshold ride on answers; as records they
    // would cost a datagram to every node.
    const int shown = severity >= ejection_severity
                          ? severity
                          : severity / severity_step * severity_step;
    r.id = w.id;
    r.service = service_of(w.service);
    r.slots = static_cast<std::uint16_t>(w.slots);
    r.severity = static_cast<std::uint8_t>(shown);
    r.draining = w.draining || w.drained_by_operator;
    r.failure_probability = static_cast<std::uint8_t>(
        percent_of(gate_failure_probability(n.local_gate, w.id, now)));
    r.scope = w.health.state == ejection_state::ejected
                  ? scope_centre(n, w.health.scope)
                  : centre_id{};
    return r;
}

} // namespace

int percent_of(double share)
{
    constexpr double percent = 100;
    return static_cast<int>(std::lround(percent * share));
}

bool is_ready(const node_state& n)
{
    return n.config != nullptr && !n.view.services.empty() && !n.stopping &&
           n.proven;
}

centre_id scope_centre(const node_state& n, std::uint32_t scope)
{
    for (const auto& [centre, index] : n.source_index) {
        if (index == scope)
            return static_cast<centre_id>(centre);
    }
    return centre_id{};
}

int severity_of(const local_worker& w, mono_us now)
{
    if (w.by_operator != 0 && now < w.operator_until)
        return w.by_operator;
    return health_severity(w.health, w.policy, now);
}

void publish_self(node_state& n)
{
    const auto now = mono_now();
    n.self.workers.clear();
    for (auto& [id, w] : n.workers)
        n.self.workers.push_back(record_of(n, w, now));
    n.self.avoided_peers.clear();
    if (!n.paths.local_fault) {
        for (const auto& [id, p] : n.paths.paths) {
            if (p.avoided)
                n.self.avoided_peers.push_back(id);
        }
    }
    n.self.leaving = n.stopping;
    view_update(n.view, n.self, liveness::alive, now);
    n.control.update_self(n.self);
    apply_all_claims(n);
}

namespace {

void apply_service(node_state& n, const service_config& c, mono_us now)
{
    const auto id = service_of(c.name);
    for (const auto& x : view_apply_ejections(n.view, id, c, n.paths, now)) {
        if (!x.held)
            continue;
        n.events.write(
            event_id::ejection_held_by_floor,
            to_hex(static_cast<std::uint64_t>(x.id)),
            "service=" + c.name + " floor_slots=" +
                std::to_string(floor_slots(c, n.view.services[id].total)));
    }
}

} // namespace

void apply_all_claims(node_state& n)
{
    if (!n.config)
        return;
    const auto now = mono_now();
    for (const auto& c : n.config->services)
        apply_service(n, c, now);
}

void apply_claims_of(node_state& n, const std::vector<service_id>& services)
{
    if (!n.config)
        return;
    const auto now = mono_now();
    for (const auto id : services) {
        const auto it = n.service_positions.find(id);
        if (it != n.service_positions.end())
            apply_service(n, n.config->services[it->second], now);
    }
}

} // namespace jasminetray
