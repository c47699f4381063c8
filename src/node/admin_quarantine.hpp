// Quarantine in the administration API: suspect requests and their release.
#pragma once

#include "node/admin_api.hpp"

#include <boost/json.hpp>

namespace jasminetray {

/// Returns suspect requests, those with the most crashes first; at most 1,000.
boost::json::object quarantine_json(const node_state& n);

/// Ends the quarantine of a request, at other nodes through gossip.
/// @param request fingerprint of the request
/// @param reason for the audit event
api_response release_request(node_state& n, fingerprint request,
                             const api_caller& who, const std::string& reason);

} // namespace jasminetray
