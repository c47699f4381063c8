// Prometheus metrics. Label values come from fixed sets or, in a bounded
// number, from the configuration, and never from callers, which bounds the
// number of time series.
#pragma once

#include "memory/body_budget_type.hpp"

#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <unordered_map>

namespace jasminetray {

/// Counters by a label whose values change with the configuration.
struct bounded_counter
{
    prometheus::Family<prometheus::Counter>* family = nullptr;
    std::string label;
    // Invariant: size <= max_label_values + 1; all further values count as
    // "other".
    std::unordered_map<std::string, prometheus::Counter*> values;
};

inline constexpr std::size_t max_label_values = 256;

struct node_metrics
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>* requests;         ///< by outcome
    prometheus::Family<prometheus::Counter>* attempts;         ///< by result
    prometheus::Family<prometheus::Counter>* gate;             ///< by decision
    prometheus::Family<prometheus::Counter>* ejection_steps;   ///< by step
    prometheus::Family<prometheus::Counter>* datagrams;        ///< by fate
    prometheus::Family<prometheus::Counter>* check_ins;        ///< by fate
    prometheus::Family<prometheus::Counter>* handler_failures; ///< by part
    /// By outcome: added to the team's bucket, late, or failed.
    prometheus::Family<prometheus::Counter>* grants_returned;
    /// By result: sent, won, denied for the reserve or the allowance.
    prometheus::Family<prometheus::Counter>* hedges;
    prometheus::Family<prometheus::Counter>* speed_news; ///< told, by fate
    prometheus::Histogram* speed;    ///< of this VM's backend servers, measured
    bounded_counter carried_bytes;   ///< by route
    prometheus::Counter* bytes_in;   ///< of datagrams
    prometheus::Counter* bytes_out;  ///< of datagrams
    prometheus::Histogram* duration; ///< seconds, at the entry side
    /// Seconds, of queued work only, by priority.
    prometheus::Family<prometheus::Histogram>* gate_wait;
    prometheus::Gauge* in_flight;
    prometheus::Gauge* members;
    prometheus::Gauge* config_version;
    prometheus::Gauge* config_age;
    prometheus::Counter*
        config_unclear; ///< parts applied in their safest meaning
    prometheus::Gauge* store_up;
    prometheus::Gauge* gate_records;
    prometheus::Gauge* limited_workers; ///< that named a limit of starts
    prometheus::Gauge* start_rate;      ///< lowest limit; 0 without one
    prometheus::Gauge* window_starts;   ///< most starts at one backend server
    prometheus::Gauge* memory_reserve;  ///< bytes held
    prometheus::Gauge* dropped_lines;
    prometheus::Gauge* body_bytes; ///< reserved for bodies
    prometheus::Gauge* body_limit; ///< that may be
    std::array<prometheus::Gauge*, body_kind_names.size()> body_bytes_by_kind;
    prometheus::Gauge* body_bytes_peak; ///< most since the start
    /// Reservations that found no room, by kind.
    std::array<prometheus::Gauge*, body_kind_names.size()> bodies_refused;
    prometheus::Gauge* bodies_withdrawn; ///< rooms taken from idle senders
};

std::unique_ptr<node_metrics> make_node_metrics();

/// Increments the counter of a family that has one label.
void increment_counter(prometheus::Family<prometheus::Counter>& family,
                       const std::string& label, const std::string& value);

void increment_bounded(bounded_counter& c, const std::string& value, double by);

/// Records the wait of queued work.
/// @param priority 0 to 9; others count as the nearest
void observe_gate_wait(node_metrics& m, int priority, double seconds);

/// Returns all metrics in the Prometheus text format.
std::string metrics_text(const node_metrics& m);

} // namespace jasminetray
