// Teams at the entry side: who asks, whether that can be proven, and whether
// the team's allowance leaves room. What must not pass is refused here, before
// it takes a place anywhere.
#pragma once

#include "node/entry_refusal.hpp"

namespace jasminetray {

/// Finds the team of a request by its key, where teams have keys; elsewhere
/// takes the caller's word and applies the team's limit at this node.
/// @return a refusal, or nothing with the team's fields of `r` filled in
std::optional<refusal> identify_team(node_state& n, entry_request& r);

/// Refuses a request by its head, when a long body would be read for a caller
/// whose key lets nobody in.
std::optional<refusal> check_request_head(const node_state& n,
                                          const http::request_header<>& head);

/// Takes the key out of what is passed on and puts the team's name in.
void set_team_header(const node_state& n, entry_request& r);

/// Asks the team's home for leave; waits for its answer.
/// @return a refusal, or nothing when the request may pass
std::optional<refusal> acquire_grant(node_state& n, const entry_request& r,
                                     const yield& y);

/// The home's side: answers a question for leave.
/// @return false when the connection is of no more use
bool serve_grant_request(node_state& n, const string_request& m,
                         beast::tcp_stream& to, const yield& y);

/// Living nodes in the order in which they are a team's home.
/// @param team hash of its name
std::vector<node_id> team_owners(const node_state& n, std::uint64_t team,
                                 std::size_t most);

/// What nodes share allowances by, as this node sees them.
allowance_policy make_allowance_policy(const node_state& n);

/// Notes for the log when the proof of a fresh configuration is lost or
/// regained.
void log_freshness_change(node_state& n);

/// Whether keyed requests can be served: nothing is promised about keys that
/// are taken away, or the configuration is proven to be fresh.
bool can_verify_keys(const node_state& n);

} // namespace jasminetray
