// Limits ejections to a capacity floor. Every entry node grants the exit
// nodes' ejection requests in the same order, highest severity first, and
// stops at the floor. So each entry node, and with it the fleet, keeps using
// at least the floor, even with stale or partitioned membership.
#pragma once

#include "base/id_type.hpp"

#include <vector>

namespace jasminetray {

/// State of one backend server as an entry node sees it.
struct ejection_request
{
    worker_id id{};
    double slots = 0;
    bool alive = true;     ///< neither dead nor draining
    int severity = 0;      ///< from `ejection_severity` on it asks for ejection
    bool path_bad = false; ///< this entry node avoids the path to it
    bool forced = false;   ///< ejected by an operator with --force
};

/// Decision of an entry node about a backend server.
struct ejection_decision
{
    worker_id id{};
    double weight = 1; ///< 1 for the full share
    bool ejected = false;
    bool held = false; ///< not ejected because of the floor
};

constexpr double ejected_probe_weight = 0.05; ///< while ejected
constexpr double held_weight = 0.25;          ///< while held by the floor
constexpr int recovering_severity = 104;      ///< up to it: probes succeed
constexpr double recovering_weight = 0.2;     ///< while probes succeed
constexpr int ejection_severity = 100;        ///< asks for ejection
constexpr int operator_severity = 254; ///< operator, subject to the floor
constexpr int forced_severity = 255;   ///< operator, regardless of the floor

/// Grants ejection requests down to the floor.
/// @param requests all backend servers of a service, dead ones included
/// @param floor slots that must stay
/// @return decisions in the order of the requests
std::vector<ejection_decision>
decide_ejections(const std::vector<ejection_request>& requests, double floor);

} // namespace jasminetray
