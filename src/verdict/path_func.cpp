// Path evidence; see path_type.hpp.
#include "verdict/path_type.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace jasminetray {

namespace {

path_step weigh_self(path_table& t, const path_policy& p, path_step step)
{
    std::size_t bad = 0;
    for (const auto& [id, h] : t.paths)
        bad += h.avoided ? 1 : 0;
    const bool doubt =
        t.paths.size() >= p.self_doubt_least &&
        static_cast<double>(bad) >
            p.self_doubt_share * static_cast<double>(t.paths.size());
    if (doubt == t.self_doubt)
        return step;
    t.self_doubt = doubt;
    return doubt ? path_step::doubt_self : path_step::trust_self;
}

path_step seen_avoided(path_health& h, const path_policy& p, bool lost)
{
    h.good_probes = lost ? 0 : h.good_probes + 1;
    if (h.good_probes < p.probes_to_return)
        return path_step::none;
    h = path_health{};
    return path_step::restore;
}

} // namespace

path_step path_seen(path_table& t, const path_policy& p, node_id exit,
                    bool lost, mono_us now)
{
    auto& h = t.paths[exit];
    if (h.avoided) {
        const auto step = seen_avoided(h, p, lost);
        return step == path_step::none ? step : weigh_self(t, p, step);
    }
    const double ratio = lost ? std::log(p.bad_loss / p.usual_loss)
                              : std::log((1 - p.bad_loss) / (1 - p.usual_loss));
    h.score = std::max(0.0, h.score + ratio);
    if (h.score < p.threshold)
        return path_step::none;
    h.avoided = true;
    h.avoided_at = now;
    h.probe_at = now + p.probe_every;
    return weigh_self(t, p, path_step::avoid);
}

std::vector<node_id> path_probes(path_table& t, const path_policy& p,
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
    return it == t.paths.end() || !it->second.avoided || t.self_doubt;
}

std::vector<node_id> agreed_nodes(const std::vector<path_complaint>& all,
                                  const path_policy& p)
{
    struct witnesses
    {
        std::set<node_id> nodes;
        std::set<std::uint32_t> centres;
    };
    std::map<node_id, witnesses> by_node;
    for (const auto& c : all) {
        by_node[c.about].nodes.insert(c.witness);
        by_node[c.about].centres.insert(c.centre);
    }
    std::vector<node_id> agreed;
    for (const auto& [id, w] : by_node) {
        if (w.nodes.size() >= p.witnesses &&
            w.centres.size() >= p.witness_centres)
            agreed.push_back(id);
    }
    return agreed;
}

void path_forget(path_table& t, const std::vector<node_id>& members)
{
    const std::set<node_id> known(members.begin(), members.end());
    for (auto it = t.paths.begin(); it != t.paths.end();)
        it = known.count(it->first) == 0 ? t.paths.erase(it) : std::next(it);
}

} // namespace jasminetray
