// Path health; see path_type.hpp.
#include "outlier/path_type.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace jasminetray {

namespace {

path_transition update_local_fault(path_table& t, const path_policy& p,
                                   path_transition step)
{
    std::size_t avoided = 0;
    for (const auto& [id, h] : t.paths)
        avoided += h.avoided ? 1 : 0;
    const bool fault =
        t.paths.size() >= p.local_fault_min_paths &&
        static_cast<double>(avoided) >
            p.local_fault_share * static_cast<double>(t.paths.size());
    if (fault == t.local_fault)
        return step;
    t.local_fault = fault;
    return fault ? path_transition::local_fault_began
                 : path_transition::local_fault_ended;
}

path_transition record_probe_result(path_health& h, const path_policy& p,
                                    bool lost)
{
    h.successful_probes = lost ? 0 : h.successful_probes + 1;
    if (h.successful_probes < p.probes_to_restore)
        return path_transition::none;
    h = path_health{};
    return path_transition::restore;
}

} // namespace

path_transition path_record_result(path_table& t, const path_policy& p,
                                   node_id exit, bool lost, mono_us now)
{
    auto& h = t.paths[exit];
    if (h.avoided) {
        const auto step = record_probe_result(h, p, lost);
        return step == path_transition::none ? step
                                             : update_local_fault(t, p, step);
    }
    const double ratio =
        lost ? std::log(p.degraded_loss / p.baseline_loss)
             : std::log((1 - p.degraded_loss) / (1 - p.baseline_loss));
    h.score = std::max(0.0, h.score + ratio);
    if (h.score < p.threshold)
        return path_transition::none;
    h.avoided = true;
    h.avoided_at = now;
    h.probe_at = now + p.probe_every;
    return update_local_fault(t, p, path_transition::avoid);
}

std::vector<node_id> path_due_probes(path_table& t, const path_policy& p,
                                     mono_us now)
{
    std::vector<node_id> due;
    for (auto& [id, h] : t.paths) {
        if (!h.avoided || now < h.probe_at)
            continue;
        h.probe_at = now + p.probe_every;
        due.push_back(id);
    }
    return due;
}

bool path_usable(const path_table& t, node_id exit)
{
    const auto it = t.paths.find(exit);
    return it == t.paths.end() || !it->second.avoided || t.local_fault;
}

std::vector<node_id>
suspected_exit_nodes(const std::vector<path_complaint>& all,
                     const path_policy& p)
{
    struct reporters
    {
        std::set<node_id> nodes;
        std::set<std::uint32_t> centres;
    };
    std::map<node_id, reporters> by_node;
    for (const auto& c : all) {
        by_node[c.about].nodes.insert(c.reporter);
        by_node[c.about].centres.insert(c.centre);
    }
    std::vector<node_id> agreed;
    for (const auto& [id, r] : by_node) {
        if (r.nodes.size() >= p.min_reporters &&
            r.centres.size() >= p.min_reporter_centres)
            agreed.push_back(id);
    }
    return agreed;
}

void path_prune(path_table& t, const std::vector<node_id>& members)
{
    const std::set<node_id> known(members.begin(), members.end());
    for (auto it = t.paths.begin(); it != t.paths.end();)
        it = known.count(it->first) == 0 ? t.paths.erase(it) : std::next(it);
}

} // namespace jasminetray
