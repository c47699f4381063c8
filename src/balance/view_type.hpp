// The fleet as an entry node's request path sees it: candidates per service,
// kept up to date node by node from membership, with claims applied down to
// the floor.
#pragma once

#include "balance/balance_type.hpp"
#include "config/config_type.hpp"
#include "member/member_type.hpp"
#include "verdict/floor_type.hpp"
#include "verdict/path_type.hpp"

#include <string>
#include <unordered_map>

namespace jasminetray {

/// What an exit node said about a backend server on an answer; newer than
/// any record for a moment.
struct answer_severity
{
    int severity = 0;
    mono_us at = 0; ///< 0 for never
};

/// Backend servers of one service. Invariant: the three lists have one entry
/// per backend server, in the same order.
struct service_view
{
    std::vector<candidate> candidates;
    std::vector<ejection_request> claims;
    std::vector<answer_severity> spoken;
    double total = 0;      ///< slots of all that are known, also lost ones
    bool at_floor = false; ///< a claim was held back by the floor
};

/// One node as the view has it.
struct view_node
{
    node_record record;
    liveness state = liveness::alive;
    mono_us stamp_at = 0;      ///< when its newest stamp was received
    mono_us stamp = 0;         ///< of its clock
    boot_id stamp_boot{};      ///< process that gave the stamp
    mono_us last_reply_at = 0; ///< last whole reply on its path
};

/// What an entry node knows about the fleet.
struct fleet_view
{
    centre_id centre{}; ///< own data centre
    std::unordered_map<service_id, service_view> services;
    std::unordered_map<node_id, view_node> nodes;
    std::vector<node_id> doubted; ///< agreed by witnesses
};

/// Hash of a service's name.
service_id service_of(const std::string& name);

/// Hash of a data centre's name.
centre_id centre_of(const std::string& name);

/// Takes up a node's record and liveness; its backend servers that are not
/// in the record any more leave the view.
void view_update(fleet_view& v, const node_record& r, liveness state,
                 mono_us now);

/// Forgets a node.
void view_remove(fleet_view& v, node_id id, mono_us now);

/// One backend server whose standing changed when claims were applied.
struct ejection_change
{
    worker_id id{};
    bool ejected = false;
    bool held = false;
};

/// Applies all claims on a service down to its floor.
/// @param c settings of the service; gives the floor
/// @param paths of this entry node
std::vector<ejection_change> view_apply_ejections(fleet_view& v, service_id id,
                                                  const service_config& c,
                                                  const path_table& paths,
                                                  mono_us now);

/// Takes up how a backend server stands, as its exit node has just told it.
void view_update_load(candidate& c, const load_report& l, mono_us now);

/// Candidate of a service by id; null when there is none.
candidate* view_candidate(fleet_view& v, service_id service, worker_id id);

} // namespace jasminetray
