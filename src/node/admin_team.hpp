// Questions of the administration API about teams. Each needs a configuration
// in force.
#pragma once

#include "node/node_state.hpp"

#include <boost/json.hpp>

namespace jasminetray {

namespace json = boost::json;

/// All teams with their limits, and how fresh the configuration is.
json::object teams_json(const node_state& n);

/// One team: limits, its home, and its tokens if that is this node.
json::object team_json(const node_state& n, const std::string& name);

/// The team that a key belongs to.
json::object whois_json(const node_state& n, const std::string& key);

} // namespace jasminetray
