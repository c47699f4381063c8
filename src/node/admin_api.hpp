// The administration API: questions that only read and commands that change
// state, both as JSON, the same over HTTP and over RPC.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Who asks.
struct api_caller
{
    bool loopback = false; ///< over HTTP from this VM
    std::string token;     ///< as given
    std::string name;      ///< for the audit event
};

/// Answer of the API.
struct api_response
{
    unsigned status = 200; ///< as in HTTP
    std::string json;
};

/// Answers a question. `request` is {"query": NAME, ...}:
/// status, fleet, service {name}, quarantine, teams, team {name}, whois {key},
/// explain {family, subject, most}.
api_response handle_query(const node_state& n, const std::string& request);

/// Carries a command out. `request` is {"command": NAME, "worker": HEX,
/// "reason": TEXT, ...}: drain, undrain, eject {seconds, force}, readmit, and
/// release {fingerprint}, which names no backend server.
api_response handle_command(node_state& n, const std::string& request,
                            const api_caller& who);

/// Whether a request is a command.
bool is_command(const std::string& request);

} // namespace jasminetray
