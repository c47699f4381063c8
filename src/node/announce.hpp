// Backend servers of this VM announce themselves here; there is no list of
// them anywhere else.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Parses an announcement, or says what is wrong.
std::optional<announcement> parse_announcement(const std::string& json,
                                               std::string& why);

/// Takes an announcement up.
worker_id handle_announcement(node_state& n, const announcement& a);

/// Forgets a backend server; what waits for it is refused as not run.
void deregister_worker(node_state& n, worker_id id, const std::string& why);

/// Tells queued work what was decided.
void deliver_gate_decisions(node_state& n,
                            const std::vector<gate_decision>& decisions);

/// Forgets backend servers that have fallen silent.
void expire_workers(node_state& n, mono_us now);

/// Stops or resumes new work for a backend server, by an operator.
void set_operator_drain(node_state& n, worker_id id, bool draining);

} // namespace jasminetray
