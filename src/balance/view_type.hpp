// An entry node's view of the fleet: candidates per service, updated from
// membership records, with ejections limited by the capacity floor.
#pragma once

#include "balance/balance_type.hpp"
#include "balance/notice_memory.hpp"
#include "config/config_type.hpp"
#include "member/member_type.hpp"
#include "outlier/floor_type.hpp"
#include "outlier/path_type.hpp"

#include <string>
#include <unordered_map>

namespace jasminetray {

/// Severity of a backend server on its last answer. Overrides the membership
/// record for a short time.
struct answer_severity
{
    int severity = 0;
    mono_us at = 0; ///< 0 for never
};

/// Backend servers of one service. Invariant: the three vectors have one entry
/// per backend server, in the same order.
struct service_view
{
    std::vector<candidate> candidates;
    std::vector<ejection_request> ejection_requests;
    std::vector<answer_severity> answer_severities;
    double total = 0;      ///< slots of all, unreachable ones included
    bool at_floor = false; ///< the floor prevents an ejection
};

/// One node in the view.
struct view_node
{
    node_record record;
    liveness state = liveness::alive;
    mono_us stamp_at = 0;      ///< when its newest time stamp was received
    mono_us stamp = 0;         ///< time stamp by its clock
    boot_id stamp_boot{};      ///< process of the time stamp
    mono_us last_reply_at = 0; ///< last complete reply on its path
};

/// Fleet state of an entry node.
struct fleet_view
{
    centre_id centre{}; ///< own data centre
    std::unordered_map<service_id, service_view> services;
    std::unordered_map<node_id, view_node> nodes;
    std::vector<node_id> suspected_nodes; ///< by a quorum of reporters
    notice_memory notices;                ///< kept when a node is removed
};

/// Returns the hash of a service's name.
service_id service_of(const std::string& name);

/// Returns the hash of a data centre's name.
centre_id centre_of(const std::string& name);

/// Updates a node's record and liveness. Removes its backend servers that are
/// no longer in the record.
void view_update(fleet_view& v, const node_record& r, liveness state,
                 mono_us now);

/// Removes a node.
void view_remove(fleet_view& v, node_id id, mono_us now);

/// Backend server whose ejection state changed.
struct ejection_change
{
    worker_id id{};
    bool ejected = false;
    bool held = false;
};

/// Decides all ejections of a service and returns the changes.
/// @param c settings of the service, with its floor
/// @param paths paths of this entry node
std::vector<ejection_change> view_apply_ejections(fleet_view& v, service_id id,
                                                  const service_config& c,
                                                  const path_table& paths,
                                                  mono_us now);

/// Updates load and failure estimate from the exit node's report.
void view_update_load(candidate& c, const load_report& l, mono_us now);

/// Applies the speed that a load report tells, if it passes the check.
speed_news view_update_speed(candidate& c, const told_speed& t,
                             const speed_policy& p, mono_us now);

/// Returns the candidate with an id; null when there is none.
candidate* view_candidate(fleet_view& v, service_id service, worker_id id);

} // namespace jasminetray
