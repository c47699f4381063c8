// Registers the backend servers of this VM by their periodic announcements.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Parses an announcement in JSON; sets `reason` when it is invalid.
std::optional<announcement> parse_announcement(const std::string& json,
                                               std::string& reason);

/// Adds, updates or removes a backend server as it announces.
/// @return its id
worker_id handle_announcement(node_state& n, const announcement& a);

/// Removes a backend server; its queued work is refused as not run.
/// @param reason text for the log
void deregister_worker(node_state& n, worker_id id, const std::string& reason);

/// Wakes queued work with the gate's decisions.
void deliver_gate_decisions(node_state& n,
                            const std::vector<gate_decision>& decisions);

/// Removes backend servers whose announcements have stopped.
void expire_workers(node_state& n, mono_us now);

/// Stops new work for a backend server that said in an answer that it is
/// leaving. Its announcements don't undo this; its work in flight goes on.
void drain_leaving_worker(node_state& n, local_worker& w);

/// Stops new and queued work for a backend server that an entry node reports as
/// leaving, until its start time shows that it is a later process.
void drain_reported_worker(node_state& n, local_worker& w);

/// Stops or resumes new work for a backend server at an operator's command.
void set_operator_drain(node_state& n, worker_id id, bool draining);

} // namespace jasminetray
