// Authentication and rate limits of teams at the entry side. Requests that
// fail either are refused before they use capacity.
#pragma once

#include "node/entry_refusal.hpp"

namespace jasminetray {

/// Authenticates a request by its key. Where keys are not required, accepts the
/// team named by the caller and applies the team's limit at this node.
/// @return a refusal, or nothing with the team's fields of `r` filled in
std::optional<refusal> identify_team(node_state& n, entry_request& r);

/// Checks the key of a request by its header, so that no long body is read for
/// an unauthenticated caller.
/// @return a refusal, or nothing when the body should be read
std::optional<refusal> check_request_head(const node_state& n,
                                          const http::request_header<>& head);

/// Removes the key from a request and sets the authenticated team's name.
void set_team_header(const node_state& n, entry_request& r);

/// Obtains a grant from the team's owner node, and waits for the team's next
/// token where the grant says so. Sets the team's pressure.
/// @return a refusal, or nothing when the request may pass
std::optional<refusal> acquire_grant(node_state& n, entry_request& r,
                                     const yield& y);

/// Refuses the requests whose token comes too late for a node that stops.
void refuse_late_grants(node_state& n);

/// Answers another node's grant request.
/// @return false when the connection cannot be reused
bool serve_grant_request(node_state& n, const string_request& m,
                         beast::tcp_stream& to, const yield& y);

/// Returns whether a node can own teams.
bool owns_teams(const view_node& v);

/// Records that the process runs. After a pause, grants of this node wait until
/// the others know again that it is alive.
void watch_pauses(node_state& n);

/// Gives the request's grant back to the node that gave it, once and soon.
void return_grant(node_state& n, entry_request& r);

/// Returns nodes that aren't dead by rendezvous hashing, without those that
/// timed out lately; the first is asked for the team's grants.
/// @param team hash of its name
/// @param max_count maximum number of nodes
std::vector<node_id> team_owners(const node_state& n, std::uint64_t team,
                                 std::size_t max_count);

/// Returns the policy by which nodes share allowances, as this node sees the
/// fleet.
allowance_policy make_allowance_policy(const node_state& n);

/// Logs when the proof of a fresh configuration is lost or regained.
void log_freshness_change(node_state& n);

/// Returns whether keys can be checked: keys are not required, or the
/// configuration is proven fresh, so that revoked keys are known.
bool can_verify_keys(const node_state& n);

} // namespace jasminetray
