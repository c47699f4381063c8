// Taking news up; see fleet_news.hpp.
#include "node/fleet_news.hpp"

#include "base/text_func.hpp"
#include "member/member_query.hpp"
#include "node/health_driver.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Log lines for what changed at another node's backend servers.
void log_workers(node_state& n, const node_record& r)
{
    const auto it = n.view.nodes.find(r.id);
    for (const auto& w : r.workers) {
        const auto* former = it == n.view.nodes.end()
                                 ? nullptr
                                 : find_worker(it->second.record, w.id);
        const auto subject = to_hex(static_cast<std::uint64_t>(w.id));
        if (former == nullptr)
            n.events.write(event_id::worker_announced, subject,
                           "node=" + r.name);
        if (w.draining && (former == nullptr || !former->draining))
            n.events.write(event_id::worker_draining, subject,
                           "node=" + r.name);
    }
}

/// Nodes that several others, in different data centres, cannot reach.
std::vector<node_id> find_doubted(const node_state& n)
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

/// Notes who is doubted; true when that changed.
bool take_doubted(node_state& n)
{
    auto doubted = find_doubted(n);
    for (const auto id : doubted) {
        const auto& before = n.view.suspected_nodes;
        if (std::find(before.begin(), before.end(), id) == before.end())
            n.events.write(event_id::node_doubted,
                           to_hex(static_cast<std::uint64_t>(id)), "");
    }
    const bool changed = doubted != n.view.suspected_nodes;
    n.view.suspected_nodes = std::move(doubted);
    return changed;
}

} // namespace

void apply_member_updates(node_state& n, const std::vector<member_update>& news)
{
    const auto now = mono_now();
    for (const auto& x : news) {
        if (x.removed) {
            view_remove(n.view, x.record.id, now);
            continue;
        }
        const auto it = n.view.nodes.find(x.record.id);
        if (it == n.view.nodes.end() ||
            (it->second.state == liveness::dead) !=
                (x.state == liveness::dead) ||
            it->second.record.leaving != x.record.leaving)
            n.members_changed_at = now;
        log_workers(n, x.record);
        view_update(n.view, x.record, x.state, now);
    }
    n.max_nodes = std::max(n.max_nodes, n.view.nodes.size());
    if (take_doubted(n))
        return apply_all_claims(n);
    std::vector<service_id> services;
    for (const auto& x : news) {
        for (const auto& w : x.record.workers)
            services.push_back(w.service);
    }
    apply_claims_of(n, services);
}

void apply_config(node_state& n, std::shared_ptr<const fleet_config> c)
{
    // Never back: a slower fetch of an older version may end later.
    if (n.config && c->version <= n.config->version)
        return;
    n.config = std::move(c);
    n.config_at = mono_now();
    set_version_in_force(n.fresh, n.config->version);
    n.metrics.config_unclear->Increment(
        static_cast<double>(n.config->warnings.size()));
    n.service_positions.clear();
    for (std::size_t k = 0; k < n.config->services.size(); ++k)
        n.service_positions[service_of(n.config->services[k].name)] = k;
    refresh_ejection_policies(n);
    apply_all_claims(n);
}

} // namespace jasminetray
