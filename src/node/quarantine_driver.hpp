// The quarantine of requests at this node: what crashes and answers say, what
// other nodes tell, and which requests are refused. See quarantine_type.hpp.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Reason of refusals, as an exit node tells it.
inline constexpr auto quarantined_reason =
    name_of(gate_error_names, gate_error::quarantined);

/// Fingerprint of a request as it is passed on between nodes.
fingerprint fingerprint_of(const node_state& n, const string_request& m);

/// Whether a request is to be refused.
/// @param known its fingerprint; filled in when it is first needed
bool is_quarantined(const node_state& n, const string_request& m,
                    std::optional<fingerprint>& known);

/// Takes up that a backend server's process ended while it ran requests.
/// Nodes that guard other backend servers of its service are told at once.
void record_worker_crash(node_state& n, const local_worker& w,
                         const std::vector<fingerprint>& running);

/// Takes up that a backend server answered a request and lives.
/// @param known as above
void clear_answered_request(node_state& n, const string_request& m,
                            std::optional<fingerprint>& known);

/// Clears a request, here and at all nodes that hear of it.
/// @param cause for the log
/// @return false when nothing stood against it
bool end_quarantine(node_state& n, fingerprint request, const char* cause);

/// Takes up what another node tells, and answers.
/// @param from its gossip address
void handle_quarantine_message(node_state& n, const node_address& from,
                               const quarantine_message& m);

/// Tells other nodes what is due.
void tick_quarantine(node_state& n);

} // namespace jasminetray
