// Evidence about paths, gathered at the entry side per exit node. It stays
// local: a path is avoided by those who cannot use it, and nobody else loses
// capacity. Only when witnesses in several data centres agree is the exit
// node itself doubted, and an entry node most of whose paths are bad doubts
// itself instead.
#pragma once

#include "base/id_type.hpp"
#include "base/time_type.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace jasminetray {

/// Evidence about the path to one exit node.
struct path_health
{
    double score = 0; ///< CUSUM of losses, never below 0
    bool avoided = false;
    mono_us avoided_at = 0;
    mono_us probe_at = 0;      ///< next ping of an avoided path
    int successful_probes = 0; ///< pings answered in a row
};

/// Settings of path verdicts.
struct path_policy
{
    double threshold = 10;              ///< evidence at which it is avoided
    double baseline_loss = 0.002;       ///< share of work lost on a good path
    double degraded_loss = 0.5;         ///< the alternative
    span_us probe_every = us_per_s / 2; ///< of an avoided path
    int probes_to_restore = 3;
    double local_fault_share = 0.5;        ///< of paths that are avoided
    std::size_t local_fault_min_paths = 3; ///< paths, to judge at all
    std::size_t witnesses = 3;             ///< that must agree about a node
    std::size_t witness_centres = 2;       ///< in this many data centres
};

/// Paths of one entry node.
struct path_table
{
    std::unordered_map<node_id, path_health> paths;
    bool local_fault = false; ///< most of them are bad: it is this node
};

/// One node's complaint about another, from its membership record.
struct path_complaint
{
    node_id witness{};
    std::uint32_t centre = 0; ///< data centre of the witness
    node_id about{};
};

/// Whether a path's standing changed.
enum class path_transition : std::uint8_t
{
    none,
    avoid,
    restore,
    local_fault_began,
    local_fault_ended,
};

/// Work or a ping on a path ended.
/// @param lost no whole reply came back
path_transition path_record_result(path_table& t, const path_policy& p,
                                   node_id exit, bool lost, mono_us now);

/// Avoided paths whose ping is due; moves their next one on.
std::vector<node_id> path_due_probes(path_table& t, const path_policy& p,
                                     mono_us now);

/// Whether this node uses a path: not when avoided, unless it doubts itself.
bool path_usable(const path_table& t, node_id exit);

/// Exit nodes that enough witnesses complain about.
std::vector<node_id>
suspected_exit_nodes(const std::vector<path_complaint>& all,
                     const path_policy& p);

/// Forgets paths to nodes that are no members any more.
void path_prune(path_table& t, const std::vector<node_id>& members);

} // namespace jasminetray
