// Metrics by prometheus-cpp, with label sets that are bounded by tables in
// the code: no label ever carries a name that a caller chose.
#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace jasminetray {

/// All metrics of a node.
struct node_metrics
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>* requests;  ///< by outcome
    prometheus::Family<prometheus::Counter>* attempts;  ///< by result
    prometheus::Family<prometheus::Counter>* gate;      ///< by decision
    prometheus::Family<prometheus::Counter>* verdicts;  ///< by step
    prometheus::Family<prometheus::Counter>* datagrams; ///< by fate
    prometheus::Family<prometheus::Counter>* check_ins; ///< by fate
    prometheus::Counter* bytes_in;                      ///< of datagrams
    prometheus::Counter* bytes_out;                     ///< of datagrams
    prometheus::Histogram* duration;  ///< seconds, at the entry side
    prometheus::Histogram* gate_wait; ///< seconds, of work that had to wait
    prometheus::Gauge* in_flight;
    prometheus::Gauge* members;
    prometheus::Gauge* config_version;
    prometheus::Gauge* config_age;
    prometheus::Counter* config_unclear; ///< parts in their safest meaning
    prometheus::Gauge* store_up;
    prometheus::Gauge* gate_records;
    prometheus::Gauge* dropped_lines;
};

/// Registers all metrics.
std::unique_ptr<node_metrics> make_node_metrics();

/// Counts one in a family with a single label.
void count(prometheus::Family<prometheus::Counter>& family,
           const std::string& label, const std::string& value);

/// Text for a scrape.
std::string metrics_text(const node_metrics& m);

} // namespace jasminetray
