// Outlier detection for the backend servers of this VM: records outcomes,
// queries peers, and publishes ejections and returns in the node's record.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Records the outcome of a request and evaluates its backend server.
void record_worker_outcome(node_state& n, local_worker& w, std::uint64_t key,
                           const observation& o, mono_us now);

/// Updates a backend server's failure probability with an outcome, and logs
/// when the gate starts or stops holding work back.
void record_gate_outcome(node_state& n, worker_id id, outcome_kind seen,
                         span_us took);

/// Does the same for running work that has outlasted a quick failure.
void record_early_success(node_state& n, worker_id id, mono_us now);

/// Sends load reports of this VM's backend servers to the data centre when they
/// have changed enough to affect load balancing.
void publish_load_reports(node_state& n, mono_us now);

void apply_load_reports(node_state& n, const std::vector<load_report>& loads);

/// Evaluates all backend servers of this VM and their overdue requests.
void evaluate_workers(node_state& n, mono_us now);

/// Returns the severity to report in answers to a data centre.
/// @param source index of the entry node's data centre
int severity_for_source(const local_worker& w, std::uint32_t source);

/// Answers a peer's query for the statistics of a service's backend servers.
void answer_baseline_query(node_state& n, std::uint32_t ip, std::uint16_t port,
                           const baseline_query& q);

/// Handles a reply; the last one awaited triggers the ejection decision.
void handle_baseline_response(node_state& n, const baseline_query& q);

/// Derives the ejection thresholds from the configuration in force.
void refresh_ejection_policies(node_state& n);

} // namespace jasminetray
