// Publication of this node's record and application of ejection requests; see
// node_state.hpp.
#include "node/node_state.hpp"

#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "gate/gate_query.hpp"
#include "outlier/outlier_query.hpp"

#include <cmath>

namespace jasminetray {

namespace {

constexpr int severity_step = 50; // granularity in the record

/// Returns the whole warm-up time while it lasts, so that the record changes
/// at its start and its end only.
std::uint16_t warm_up_to_publish(const local_worker& w, mono_us now)
{
    return now < w.cold_until
               ? static_cast<std::uint16_t>(w.warm_up_time / us_per_ms)
               : 0;
}

worker_record make_worker_record(const node_state& n, local_worker& w,
                                 mono_us now)
{
    worker_record r;
    const int severity = severity_of(w, now);
    w.published_severity = severity;
    // Answers carry small changes below the threshold. A changed record costs a
    // datagram to every node.
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
    r.warm_up_ms = warm_up_to_publish(w, now);
    w.published_warm_up_ms = r.warm_up_ms;
    return r;
}

/// How long after its start a node waits to know a backend server of each
/// service. Covers two check-ins; one that has none then has none anywhere.
constexpr span_us service_wait = 3 * us_per_s;

bool knows_all_services(const node_state& n)
{
    const auto& services = n.config->services;
    return std::all_of(services.begin(), services.end(), [&n](const auto& c) {
        const auto it = n.view.services.find(service_of(c.name));
        return it != n.view.services.end() && !it->second.candidates.empty();
    });
}

} // namespace

int percent_of(double share)
{
    constexpr double percent = 100;
    return static_cast<int>(std::lround(percent * share));
}

bool is_ready(const node_state& n)
{
    if (n.config == nullptr || n.view.services.empty() || n.stopping ||
        !n.config_proven)
        return false;
    return mono_now() - n.started_at >= service_wait || knows_all_services(n);
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
    if (w.override_severity != 0 && now < w.override_until)
        return w.override_severity;
    return health_severity(w.health, w.policy, now);
}

bool is_warm_up_outdated(const local_worker& w, mono_us now)
{
    return warm_up_to_publish(w, now) != w.published_warm_up_ms;
}

void publish_self(node_state& n)
{
    const auto now = mono_now();
    n.self.workers.clear();
    for (auto& [id, w] : n.workers)
        n.self.workers.push_back(make_worker_record(n, w, now));
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
    apply_all_ejections(n);
}

namespace {

void apply_ejections(node_state& n, const service_config& c, mono_us now)
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

void apply_all_ejections(node_state& n)
{
    if (!n.config)
        return;
    const auto now = mono_now();
    for (const auto& c : n.config->services)
        apply_ejections(n, c, now);
}

void apply_service_ejections(node_state& n,
                             const std::vector<service_id>& services)
{
    if (!n.config)
        return;
    const auto now = mono_now();
    for (const auto id : services) {
        const auto it = n.service_positions.find(id);
        if (it != n.service_positions.end())
            apply_ejections(n, n.config->services[it->second], now);
    }
}

} // namespace jasminetray
