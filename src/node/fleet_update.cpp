// Application of membership and configuration changes; see fleet_update.hpp.
#include "node/fleet_update.hpp"

#include "base/text_func.hpp"
#include "member/member_query.hpp"
#include "node/entry_team.hpp"
#include "node/health_driver.hpp"

#include <algorithm>
#include <tuple>

namespace jasminetray {

namespace {

/// Logs new and draining backend servers of another node.
void log_worker_changes(node_state& n, const node_record& r)
{
    const auto it = n.view.nodes.find(r.id);
    for (const auto& w : r.workers) {
        const auto* previous = it == n.view.nodes.end()
                                   ? nullptr
                                   : find_worker(it->second.record, w.id);
        const auto subject = to_hex(static_cast<std::uint64_t>(w.id));
        if (previous == nullptr)
            n.events.write(event_id::worker_announced, subject,
                           "node=" + r.name);
        if (w.draining && (previous == nullptr || !previous->draining))
            n.events.write(event_id::worker_draining, subject,
                           "node=" + r.name);
    }
}

/// Returns the nodes that several others, in different data centres, report as
/// unreachable.
std::vector<node_id> find_suspected_nodes(const node_state& n)
{
    std::vector<path_complaint> complaints;
    for (const auto& [id, v] : n.view.nodes) {
        for (const auto about : v.record.avoided_peers) {
            complaints.push_back(
                {id, static_cast<std::uint32_t>(v.record.centre), about});
        }
    }
    return suspected_exit_nodes(complaints, n.path_settings);
}

/// Updates the set of suspected nodes; returns whether it changed.
bool update_suspected_nodes(node_state& n)
{
    auto suspected = find_suspected_nodes(n);
    for (const auto id : suspected) {
        const auto& before = n.view.suspected_nodes;
        if (std::find(before.begin(), before.end(), id) == before.end())
            n.events.write(event_id::node_doubted,
                           to_hex(static_cast<std::uint64_t>(id)), "");
    }
    const bool changed = suspected != n.view.suspected_nodes;
    n.view.suspected_nodes = std::move(suspected);
    return changed;
}

/// Derives the cost of bytes between data centres from the settings and the
/// configuration.
void update_byte_cost(node_state& n)
{
    if (!n.settings.experiment.is_enabled(mechanism::carried_bytes))
        return;
    const auto& setting = n.settings.placement.byte_cost;
    const auto& routes = n.config->routes;
    const bool large_answers =
        std::any_of(routes.begin(), routes.end(),
                    [](const auto& r) { return r.large_answers; });
    const double cost = byte_cost_in_force(setting, large_answers);
    if (cost == n.placing.byte_cost)
        return;
    n.placing.byte_cost = cost;
    n.events.write(
        event_id::byte_cost_changed, n.settings.name,
        "byte_cost=" + std::to_string(cost) +
            " source=" + (setting ? "setting" : "configuration") +
            " large_answers=" + std::to_string(large_answers ? 1 : 0) +
            " version=" + std::to_string(n.config->version));
}

} // namespace

void apply_member_updates(node_state& n,
                          const std::vector<member_update>& updates)
{
    const auto now = mono_now();
    for (const auto& x : updates) {
        if (x.removed) {
            view_remove(n.view, x.record.id, now);
            n.former_owners.erase(x.record.id);
            continue;
        }
        const auto it = n.view.nodes.find(x.record.id);
        if (it == n.view.nodes.end() ||
            (it->second.state == liveness::dead) !=
                (x.state == liveness::dead) ||
            it->second.record.leaving != x.record.leaving)
            n.members_changed_at = now;
        if (it != n.view.nodes.end() && owns_teams(it->second) &&
            (x.state != liveness::alive || x.record.leaving)) {
            const bool left = x.state == liveness::alive;
            n.former_owners[x.record.id] = {false, left, now};
        }
        log_worker_changes(n, x.record);
        view_update(n.view, x.record, x.state, now);
    }
    n.max_nodes = std::max(n.max_nodes, n.view.nodes.size());
    if (update_suspected_nodes(n))
        return apply_all_ejections(n);
    std::vector<service_id> services;
    for (const auto& x : updates) {
        for (const auto& w : x.record.workers)
            services.push_back(w.service);
    }
    apply_service_ejections(n, services);
}

void apply_config(node_state& n, std::shared_ptr<const fleet_config> c)
{
    // A slow fetch of an older version may finish after a newer one.
    if (n.config && std::tie(c->era, c->version) <=
                        std::tie(n.config->era, n.config->version))
        return;
    n.config = std::move(c);
    n.config_at = mono_now();
    set_version_in_force(n.fresh, n.config->version, n.config->era);
    n.metrics.config_unclear->Increment(
        static_cast<double>(n.config->warnings.size()));
    n.service_positions.clear();
    for (std::size_t k = 0; k < n.config->services.size(); ++k)
        n.service_positions[service_of(n.config->services[k].name)] = k;
    refresh_ejection_policies(n);
    update_byte_cost(n);
    apply_all_ejections(n);
}

} // namespace jasminetray
