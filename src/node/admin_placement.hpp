// What placement knows of a service, for operators.
#pragma once

#include "node/node_state.hpp"

#include <boost/json.hpp>

namespace jasminetray {

/// Returns room, work in flight, speed, knee and age of the news by backend
/// server, and the sums by data centre, as this entry node sees them.
boost::json::object placement_json(const node_state& n,
                                   const std::string& service,
                                   const service_view& s);

} // namespace jasminetray
