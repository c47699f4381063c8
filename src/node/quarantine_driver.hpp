// Applies crashes, answers and reports of other nodes to this node's quarantine
// of requests; see quarantine_type.hpp.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Reason that an exit node gives for refusing a quarantined request.
inline constexpr auto quarantined_reason =
    name_of(gate_error_names, gate_error::quarantined);

/// Returns the fingerprint of a request in the form that nodes forward it.
fingerprint fingerprint_of(const node_state& n, const string_request& m);

/// Returns whether a request must be refused.
/// @param cache holds its fingerprint after first use
bool is_quarantined(const node_state& n, const string_request& m,
                    std::optional<fingerprint>& cache);

/// Records that a backend server crashed while it ran requests, and reports it
/// to the exit nodes of its service at once.
void record_worker_crash(node_state& n, const local_worker& w,
                         const std::vector<fingerprint>& running);

/// Clears a request that a backend server answered without crashing.
/// @param cache holds its fingerprint after first use
void clear_answered_request(node_state& n, const string_request& m,
                            std::optional<fingerprint>& cache);

/// Clears a request here, and through gossip at all nodes.
/// @param cause for the log
/// @return false when there were no reports against it
bool end_quarantine(node_state& n, fingerprint request, const char* cause);

/// Handles a message of another node, and replies.
/// @param from gossip address of the sender
void handle_quarantine_message(node_state& n, const node_address& from,
                               const quarantine_message& m);

/// Sends the reports and digests that are due to other nodes.
void tick_quarantine(node_state& n);

} // namespace jasminetray
