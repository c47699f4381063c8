// The floor: what ejections must leave of a service. An exit node's verdict
// is only a claim. Every entry node applies the claims, worst first, in an
// order that all compute alike, and stops at the floor; so each entry node
// keeps sending to at least the floor, and therefore the fleet does, however
// stale or split the views are.
#pragma once

#include "base/id_type.hpp"

#include <vector>

namespace jasminetray {

/// One backend server as an entry node's decision about claims sees it.
struct ejection_request
{
    worker_id id{};
    double slots = 0;
    bool alive = true;     ///< not dead and not draining
    int severity = 0;      ///< 100 and more asks for ejection
    bool path_bad = false; ///< this entry node cannot reach it well
    bool forced = false;   ///< an operator ejected it with --force
};

/// What an entry node does with a backend server.
struct ejection_decision
{
    worker_id id{};
    double weight = 1; ///< 1 full share; ejected_probe_weight when ejected
    bool ejected = false;
    bool held = false; ///< deserved ejection; the floor forbade it
};

constexpr double ejected_probe_weight = 0.05; ///< of an ejected backend server
constexpr double held_weight = 0.25;          ///< of one that the floor holds
constexpr int recovering_severity = 104;  ///< up to it: its trickle looks well
constexpr double recovering_weight = 0.2; ///< of one whose trickle looks well
constexpr int ejection_severity = 100;    ///< asks for ejection
constexpr int operator_severity = 254;    ///< an operator's, under the floor
constexpr int forced_severity = 255;      ///< an operator's, floor or not

/// Applies claims down to the floor.
/// @param claims all backend servers of a service, also dead ones
/// @param floor slots that must stay
/// @return in the order of `claims`
std::vector<ejection_decision>
decide_ejections(const std::vector<ejection_request>& claims, double floor);

} // namespace jasminetray
