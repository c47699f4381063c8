// Administration API: read-only queries and state-changing commands in JSON,
// served over HTTP and over RPC.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

struct api_caller
{
    bool loopback = false; ///< connected over HTTP from this VM
    std::string token;     ///< bearer token as sent; empty for none
    std::string name;      ///< transport name in the audit event
};

struct api_response
{
    unsigned status = 200; ///< HTTP status code
    std::string json;
};

/// Answers a query. `request` is {"query": NAME, ...}, with NAME one of status,
/// fleet, service {name}, quarantine, teams, team {name}, whois {key} and
/// explain {family, subject}.
api_response handle_query(const node_state& n, const std::string& request);

/// Authorizes and executes a command. `request` is {"command": NAME, "worker":
/// HEX, "reason": TEXT, ...}, with NAME one of drain, undrain, eject {seconds,
/// force} and readmit, or release {fingerprint}, which takes no worker.
api_response handle_command(node_state& n, const std::string& request,
                            const api_caller& who);

/// Returns whether a request is a command rather than a query.
bool is_command(const std::string& request);

} // namespace jasminetray
