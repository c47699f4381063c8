// Seeded simulation of one service whose backend servers show a configured
// failure; their outcomes are fed to an outlier detector.
#pragma once

#include "base/random_func.hpp"
#include "base/time_type.hpp"

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetray {

struct simulated_service
{
    std::string name;
    std::size_t workers;
    int slots;
    double rate;                    ///< requests per second and worker
    std::uint32_t sources;          ///< data centres of entry nodes
    double floor;                   ///< share of slots that must stay in use
    double false_ejections_per_day; ///< accepted rate
};

/// Behaviour of the service. A detector should eject in the scenarios before
/// `healthy`, and must not in the others.
enum class bench_scenario
{
    fail_100,
    fail_50,
    fail_20,
    fail_10,
    fail_5,
    slow_5,
    slow_2,
    unresponsive,
    one_centre,
    flap_2s,
    flap_10s,
    flap_60s,
    half_alive,
    bad_release,
    one_way,
    healthy, ///< first scenario without a failure
    bursts,
    dip,
    overload,
    cold_start,
};

inline constexpr std::size_t scenario_count = 20;
extern const std::array<std::string_view, scenario_count> scenario_names;

/// Result of one request as a detector sees it.
struct request_outcome
{
    std::size_t worker = 0;
    std::uint64_t key = 0;
    std::uint32_t source = 0;
    bool failed = false;  ///< server failure or timeout
    bool neutral = false; ///< shed; no evidence of a failure
    span_us took = 0;
};

/// Outlier detector with its ejections, for one simulation run.
class bench_detector
{
public:
    virtual ~bench_detector() = default;
    virtual void record_sent(std::size_t worker, std::uint64_t key,
                             std::uint32_t source, mono_us now) = 0;
    virtual void record_outcome(const request_outcome& o, mono_us now) = 0;
    virtual void tick(mono_us now) = 0;
    virtual void record_probe(std::size_t worker, bool failed, mono_us now) = 0;
    /// Handles a restart of a worker, which is slow at first.
    virtual void record_restart(std::size_t worker, mono_us now) = 0;
    /// Returns the share of normal traffic from a source that a worker gets.
    virtual double weight(std::size_t worker, std::uint32_t source) const = 0;
    /// Returns whether a worker is ejected for requests of a source.
    virtual bool ejected(std::size_t worker, std::uint32_t source) const = 0;
    virtual std::size_t ejection_count(std::size_t worker) const = 0;
    /// Returns whether ejections have reduced the slots in use below the floor.
    virtual bool below_floor() const = 0;
};

using detector_factory =
    std::function<std::unique_ptr<bench_detector>(const simulated_service&)>;

struct simulation_result
{
    double detection_s = 0; ///< until ejection; `horizon_s` if undetected
    bool detected = false;
    double requests_until_detection = 0; ///< sent to unhealthy workers
    double unhealthy_requests = 0;
    double healthy_hours = 0;
    double healthy_requests = 0;
    std::size_t false_ejections = 0;
    std::size_t floor_breaches = 0;
};

constexpr double horizon_s = 60; ///< after the failure begins
constexpr double baseline_failure_rate = 0.005;
constexpr double baseline_latency_ms = 30;
constexpr double baseline_latency_log_sd = 0.4;

/// @param stop_at_detection whether to end at detection; `unhealthy_requests`
///     then covers the time until detection only
simulation_result run_simulation(const simulated_service& service,
                                 bench_scenario scenario,
                                 const detector_factory& make,
                                 std::uint64_t seed, double seconds,
                                 bool stop_at_detection);

} // namespace jasminetray
