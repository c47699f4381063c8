// Applies the policies of a hosted node and the settings of experiments.
#include "node/experiment_func.hpp"

namespace jasminetray {

namespace {

span_us scale_time(span_us t, double factor)
{
    return static_cast<span_us>(static_cast<double>(t) * factor);
}

void disable_mechanisms(node_state& n)
{
    const auto& e = n.settings.experiment;
    auto& gate = n.local_gate.limits;
    const bool estimation = e.is_enabled(mechanism::failure_estimation);
    gate.estimate.on = estimation;
    n.balance.estimate.on = estimation;
    gate.late_forecast = e.is_enabled(mechanism::late_forecast);
    gate.short_first = e.is_enabled(mechanism::short_first);
    gate.fair.on = gate.fair.on && e.is_enabled(mechanism::fair_queues);
    gate.move.on = gate.move.on && e.is_enabled(mechanism::move_waiting);
    gate.speeds.on =
        n.settings.placement.speeds && e.is_enabled(mechanism::speeds);
    n.placing.speeds.on = gate.speeds.on;
    n.placing.on = estimation && e.is_enabled(mechanism::placement);
    gate.starts.on = e.is_enabled(mechanism::start_limits);
    gate.early_success.enabled = e.is_enabled(mechanism::early_success);
    if (!e.is_enabled(mechanism::early_probe_success))
        gate.estimate.fast_failure_time = 0;
    if (!e.is_enabled(mechanism::probe_traffic)) {
        n.placing.probe_share = 0;
        n.placing.probe_share_per_candidate = 0;
    }
    n.placing.cold_starts = e.is_enabled(mechanism::cold_starts);
    if (!e.is_enabled(mechanism::refusal_memory))
        n.placing.refusal_memory = 0;
}

void scale_parameter(node_state& n, const scaled_tunable& x)
{
    auto& gate = n.local_gate.limits;
    auto& place = n.placing;
    switch (x.what) {
    case tunable::refusal_memory:
        place.refusal_memory = scale_time(place.refusal_memory, x.factor);
        break;
    case tunable::min_wait:
        gate.min_wait = scale_time(gate.min_wait, x.factor);
        break;
    case tunable::probe_share:
        place.probe_share *= x.factor;
        place.probe_share_per_candidate *= x.factor;
        break;
    case tunable::far_share:
        place.far_share *= x.factor;
        break;
    case tunable::probe_interval:
        gate.estimate.probe_every =
            scale_time(gate.estimate.probe_every, x.factor);
        break;
    case tunable::unhealthy_span:
        gate.estimate.unhealthy_span =
            scale_time(gate.estimate.unhealthy_span, x.factor);
        n.balance.estimate.unhealthy_span = gate.estimate.unhealthy_span;
        break;
    }
}

} // namespace

void apply_hosted_policies(node_state& n)
{
    disable_mechanisms(n);
    for (const auto& x : n.settings.experiment.scaled)
        scale_parameter(n, x);
}

} // namespace jasminetray
