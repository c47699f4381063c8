// The quarantine in the administration API: what stands against requests, and
// an operator's release.
#pragma once

#include "node/admin_api.hpp"

#include <boost/json.hpp>

namespace jasminetray {

/// Requests with standing marks, those in quarantine first; 1,000 at most.
boost::json::object quarantine_json(const node_state& n);

/// Lets a request through again. The other nodes hear of it like of a crash.
/// @param request its fingerprint
/// @param reason for the audit event
api_response release_request(node_state& n, fingerprint request,
                             const api_caller& who, const std::string& reason);

} // namespace jasminetray
