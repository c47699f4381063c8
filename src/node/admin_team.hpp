// Team queries of the administration API. Each requires a configuration in
// force.
#pragma once

#include "node/node_state.hpp"

#include <boost/json.hpp>

namespace jasminetray {

namespace json = boost::json;

/// Returns all teams with their limits, and the age of the configuration.
json::object teams_json(const node_state& n);

/// Returns a team's limits and owner node, and its tokens counted at this node.
json::object team_json(const node_state& n, const std::string& name);

json::object whois_json(const node_state& n, const std::string& key);

} // namespace jasminetray
