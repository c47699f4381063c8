// Carries evidence from real work into verdicts: asks peers, claims
// ejections in the node's record, and takes them back.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// One outcome at a backend server of this VM.
void record_worker_outcome(node_state& n, local_worker& w, std::uint64_t key,
                           const observation& o, mono_us now);

/// Takes an outcome into a backend server's doubt; tells the fleet when work
/// is held back from now on, or no more.
void record_gate_outcome(node_state& n, worker_id id, outcome_kind seen,
                         span_us took);

/// The same for work that outlived a quick failure by now.
void record_early_success(node_state& n, worker_id id, mono_us now);

/// Tells the data centre how this VM's backend servers stand, when that has
/// changed enough to change where work goes.
void publish_load_reports(node_state& n, mono_us now);

/// Takes in what other nodes told so.
void apply_load_reports(node_state& n, const std::vector<load_report>& loads);

/// Looks at all backend servers of this VM: silence is evidence too.
void evaluate_workers(node_state& n, mono_us now);

/// Claim that rides on answers for callers of a data centre.
/// @param source index of the entry node's data centre
int severity_for_source(const local_worker& w, std::uint32_t source);

/// A peer asks how backend servers of a service look here.
void answer_baseline_query(node_state& n, std::uint32_t ip, std::uint16_t port,
                           const usual_question& q);

/// A peer's answer to such a question.
void handle_baseline_response(node_state& n, const usual_question& q);

/// Takes up the settings of the services in force.
void refresh_ejection_policies(node_state& n);

} // namespace jasminetray
