// Health of the network paths from this entry node to the exit nodes. An
// avoided path affects only this entry node. Ejecting the exit node takes a
// quorum of reporters in several data centres. An entry node that sees most
// of its paths fail attributes that to its own network.
#pragma once

#include "base/id_type.hpp"
#include "base/time_type.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace jasminetray {

/// Health of the path to one exit node.
struct path_health
{
    double score = 0; ///< CUSUM of losses, never below 0
    bool avoided = false;
    mono_us avoided_at = 0;
    mono_us probe_at = 0;      ///< next ping of an avoided path
    int successful_probes = 0; ///< consecutive
};

/// Settings of path health.
struct path_policy
{
    double threshold = 10;              ///< score at which a path is avoided
    double baseline_loss = 0.002;       ///< loss rate of a healthy path
    double degraded_loss = 0.5;         ///< loss rate of a failing path
    span_us probe_every = us_per_s / 2; ///< interval on an avoided path
    int probes_to_restore = 3;
    double local_fault_share = 0.5;        ///< of paths that are avoided
    std::size_t local_fault_min_paths = 3; ///< to assume a local fault
    std::size_t min_reporters = 3;         ///< quorum about an exit node
    std::size_t min_reporter_centres = 2;  ///< data centres of the quorum
};

/// Paths of one entry node.
struct path_table
{
    std::unordered_map<node_id, path_health> paths;
    bool local_fault = false; ///< most paths fail, so this node is at fault
};

/// One node's complaint about another, from its membership record.
struct path_complaint
{
    node_id reporter{};
    std::uint32_t centre = 0; ///< data centre of the reporter
    node_id about{};
};

/// State change of a path or of the whole table.
enum class path_transition : std::uint8_t
{
    none,
    avoid,
    restore,
    local_fault_began,
    local_fault_ended,
};

/// Records the result of a request or a ping on a path.
/// @param lost no complete reply was received
path_transition path_record_result(path_table& t, const path_policy& p,
                                   node_id exit, bool lost, mono_us now);

/// Returns avoided paths whose ping is due, and schedules their next one.
std::vector<node_id> path_due_probes(path_table& t, const path_policy& p,
                                     mono_us now);

/// Returns whether this node uses a path. During a local fault it uses all.
bool path_usable(const path_table& t, node_id exit);

/// Returns exit nodes that a quorum of reporters complains about.
std::vector<node_id>
suspected_exit_nodes(const std::vector<path_complaint>& all,
                     const path_policy& p);

/// Removes paths to nodes that are no longer members.
void path_prune(path_table& t, const std::vector<node_id>& members);

} // namespace jasminetray
