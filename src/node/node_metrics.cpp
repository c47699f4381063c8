// Registration and output of metrics; see node_metrics.hpp.
#include "node/node_metrics.hpp"

#include <algorithm>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace jasminetray {

namespace {

prometheus::Family<prometheus::Counter>* counter(prometheus::Registry& r,
                                                 const std::string& name,
                                                 const std::string& help)
{
    return &prometheus::BuildCounter().Name(name).Help(help).Register(r);
}

prometheus::Gauge* gauge(prometheus::Registry& r, const std::string& name,
                         const std::string& help)
{
    return &prometheus::BuildGauge().Name(name).Help(help).Register(r).Add({});
}

} // namespace

std::unique_ptr<node_metrics> make_node_metrics()
{
    auto m = std::make_unique<node_metrics>();
    auto& r = m->registry;
    m->requests = counter(r, "jasminetray_requests_total",
                          "Requests of callers by final outcome.");
    m->attempts = counter(r, "jasminetray_attempts_total",
                          "Attempts at exit nodes by result.");
    m->gate = counter(r, "jasminetray_gate_decisions_total",
                      "Work at this node's gate by decision.");
    m->ejection_steps = counter(r, "jasminetray_verdicts_total",
                                "Verdicts on backend servers by step.");
    m->carried_bytes.family = counter(
        r, "jasminetray_carried_bytes_total",
        "Bytes of bodies that this entry node sent to and received from other "
        "data centres, by route.");
    m->carried_bytes.label = "route";
    m->datagrams = counter(r, "jasminetray_datagrams_total",
                           "Datagrams received by fate.");
    m->check_ins = counter(r, "jasminetray_check_ins_total",
                           "Backend servers' announcements by fate.");
    m->handler_failures = counter(r, "jasminetray_handler_failures_total",
                                  "Exceptions that ended the handling of a "
                                  "request or connection, by part.");
    m->grants_returned =
        counter(r, "jasminetray_grants_returned_total",
                "Team grants given back for requests that didn't run.");
    m->hedges = counter(r, "jasminetray_hedges_total",
                        "Hedges that were sent or answered first, and requests "
                        "whose hedge was denied for the reserve of failures "
                        "or the allowance, by result.");
    m->speed_news = counter(r, "jasminetray_speed_news_total",
                            "Speeds told in load reports by fate.");
    m->speed =
        &prometheus::BuildHistogram()
             .Name("jasminetray_backend_speed")
             .Help("Time of work at this VM's backend servers relative to the "
                   "service's mean, at each measurement.")
             .Register(r)
             .Add({}, prometheus::Histogram::BucketBoundaries{
                          0.25, 0.5, 0.75, 0.9, 1.1, 1.33, 2, 4});
    auto& bytes = prometheus::BuildCounter()
                      .Name("jasminetray_datagram_bytes_total")
                      .Help("Bytes of datagrams by direction.")
                      .Register(r);
    m->bytes_in = &bytes.Add({{"direction", "in"}});
    m->bytes_out = &bytes.Add({{"direction", "out"}});
    m->duration = &prometheus::BuildHistogram()
                       .Name("jasminetray_request_duration_seconds")
                       .Help("From a request's last byte to its final answer.")
                       .Register(r)
                       .Add({}, prometheus::Histogram::BucketBoundaries{
                                    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                    0.1, 0.25, 0.5, 1, 2.5, 5, 10});
    m->gate_wait =
        &prometheus::BuildHistogram()
             .Name("jasminetray_gate_wait_seconds")
             .Help("Wait for a slot of work that had to wait, by priority.")
             .Register(r);
    m->in_flight = gauge(r, "jasminetray_requests_in_flight",
                         "Requests of callers without a final answer.");
    m->members = gauge(r, "jasminetray_members", "Nodes known and not dead.");
    m->config_version = gauge(r, "jasminetray_config_version",
                              "Configuration version in force.");
    m->config_age = gauge(r, "jasminetray_config_age_seconds",
                          "Time since that version came into force.");
    m->config_unclear =
        &prometheus::BuildCounter()
             .Name("jasminetray_config_unclear_total")
             .Help("Parts of configurations taken in their safest meaning.")
             .Register(r)
             .Add({});
    m->store_up = gauge(r, "jasminetray_store_reachable",
                        "1 when the platform's store answered last.");
    m->limited_workers =
        gauge(r, "jasminetray_limited_workers",
              "Backend servers of this VM that named a limit of starts.");
    m->start_rate =
        gauge(r, "jasminetray_start_limit",
              "Lowest limit named, in starts a second; 0 for none.");
    m->window_starts =
        gauge(r, "jasminetray_window_starts",
              "Most starts at a backend server of this VM within 4 s.");
    m->gate_records = gauge(r, "jasminetray_gate_records",
                            "Attempts that the gate remembers.");
    m->memory_reserve = gauge(r, "jasminetray_memory_reserve_bytes",
                              "Memory set aside that is not in use.");
    m->dropped_lines = gauge(r, "jasminetray_log_lines_dropped",
                             "Log lines left out by the rate limit.");
    m->body_bytes =
        gauge(r, "jasminetray_body_bytes", "Bytes reserved for bodies.");
    m->body_limit = gauge(r, "jasminetray_body_limit_bytes",
                          "Bytes that may be reserved for bodies; 0: any.");
    m->body_bytes_peak = gauge(r, "jasminetray_body_bytes_peak",
                               "Most bytes reserved for bodies.");
    m->bodies_withdrawn =
        gauge(r, "jasminetray_bodies_withdrawn",
              "Bodies that lost their room while their sender was idle.");
    auto& kinds = prometheus::BuildGauge()
                      .Name("jasminetray_body_kind_bytes")
                      .Help("Bytes reserved for bodies, by kind.")
                      .Register(r);
    auto& refused = prometheus::BuildGauge()
                        .Name("jasminetray_bodies_refused")
                        .Help("Bodies that found no room, by kind.")
                        .Register(r);
    for (std::size_t k = 0; k < body_kind_names.size(); ++k) {
        const std::string kind(body_kind_names[k]);
        m->body_bytes_by_kind[k] = &kinds.Add({{"kind", kind}});
        m->bodies_refused[k] = &refused.Add({{"kind", kind}});
    }
    return m;
}

void increment_counter(prometheus::Family<prometheus::Counter>& family,
                       const std::string& label, const std::string& value)
{
    family.Add({{label, value}}).Increment();
}

void increment_bounded(bounded_counter& c, const std::string& value, double by)
{
    const bool known =
        c.values.count(value) != 0 || c.values.size() < max_label_values;
    auto& x = known ? c.values[value] : c.values["other"];
    if (x == nullptr)
        x = &c.family->Add({{c.label, known ? value : "other"}});
    x->Increment(by);
}

void observe_gate_wait(node_metrics& m, int priority, double seconds)
{
    const auto label = std::to_string(std::clamp(priority, 0, 9));
    m.gate_wait
        ->Add({{"priority", label}},
              prometheus::Histogram::BucketBoundaries{0.01, 0.05, 0.1, 0.25,
                                                      0.5, 1, 2.5, 5, 10})
        .Observe(seconds);
}

std::string metrics_text(const node_metrics& m)
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m.registry.Collect());
    return out.str();
}

} // namespace jasminetray
