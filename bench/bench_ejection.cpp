// Compares detection time and false ejections of the project's outlier
// detection with baselines. Prints one line per detector, service and scenario
// for tools/bench_ejection.py.
#include "bench/ejection_detectors.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <gflags/gflags.h>
#include <iostream>
#include <mutex>
#include <thread>

DEFINE_int32(seeds, 200, "runs per line");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(threads, 8, "number of threads");
DEFINE_int32(healthy_runs, 40, "runs per line without a failure");
DEFINE_double(healthy_seconds, 300,
              "simulated seconds of a run without a failure");
DEFINE_string(only, "", "scenario to run; all when empty");
DEFINE_string(family, "", "detectors to run; all when empty");
DEFINE_bool(parts, true, "also run the core with each feature disabled");

namespace jasminetray {

namespace {

/// Detector with its family and the parameter that sets its sensitivity.
struct detector_config
{
    std::string family;
    std::string parameter;
    detector_factory make;
};

struct line_stats
{
    std::vector<double> detect;
    std::vector<double> requests;
    std::size_t detected = 0;
    simulation_result sum;
};

const std::vector<simulated_service>& services()
{
    static const std::vector<simulated_service> all = {
        {"hinoha-billing", 9, 6, 20, 3, 0.6, 0.5},
        {"dar-athar-plans", 11, 7, 15, 2, 0.6, 0.01},
        {"letter-slice", 29, 6, 18, 16, 0.6, 0.5}};
    return all;
}

std::vector<detector_config> detector_configs()
{
    std::vector<detector_config> all;
    for (const double f : {10.0, 1.0, 0.1})
        all.push_back({"core", std::to_string(f), make_core(f)});
    if (FLAGS_parts) {
        all.push_back({"core-no-peers", "1",
                       make_core_without(core_feature::peer_comparison, 1)});
        all.push_back(
            {"core-no-silence", "1",
             make_core_without(core_feature::outstanding_requests, 1)});
        all.push_back({"core-no-bursts", "1",
                       make_core_without(core_feature::burst_tolerance, 1)});
        all.push_back(
            {"core-no-sources", "1",
             make_core_without(core_feature::per_source_ejection, 1)});
    }
    for (const int n : {3, 5, 8, 12, 20})
        all.push_back(
            {"consecutive", std::to_string(n), make_consecutive_failures(n)});
    for (const double k : {1.9, 2.5, 3.0, 4.0})
        all.push_back(
            {"success-rate", std::to_string(k), make_success_rate(k)});
    for (const double p : {5.0, 10.0, 20.0, 40.0, 60.0, 85.0})
        all.push_back(
            {"percentage", std::to_string(p), make_failure_percentage(p)});
    for (const int n : {2, 3, 5})
        all.push_back({"probes", std::to_string(n), make_active_probes(n)});
    return all;
}

void add_run(line_stats& stats, const simulation_result& r)
{
    stats.detect.push_back(r.detection_s);
    stats.requests.push_back(r.requests_until_detection);
    stats.detected += r.detected ? 1 : 0;
    stats.sum.healthy_hours += r.healthy_hours;
    stats.sum.healthy_requests += r.healthy_requests;
    stats.sum.false_ejections += r.false_ejections;
    stats.sum.floor_breaches += r.floor_breaches;
}

double quantile(const std::vector<double>& sorted, double share)
{
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(
        std::clamp(std::round(share * last), 0.0, last))];
}

void print_line(std::ostream& out, const detector_config& c,
                const simulated_service& service, bench_scenario scenario,
                line_stats& stats)
{
    std::sort(stats.detect.begin(), stats.detect.end());
    std::sort(stats.requests.begin(), stats.requests.end());
    // 95% confidence interval of a median by binomial order statistics.
    const double half =
        0.98 / std::sqrt(static_cast<double>(stats.detect.size()));
    out << c.family << ' ' << c.parameter << ' ' << service.name << ' '
        << scenario_names[static_cast<std::size_t>(scenario)]
        << " median_s=" << quantile(stats.detect, 0.5)
        << " low_s=" << quantile(stats.detect, 0.5 - half)
        << " high_s=" << quantile(stats.detect, 0.5 + half)
        << " p95_s=" << quantile(stats.detect, 0.95)
        << " median_requests=" << quantile(stats.requests, 0.5)
        << " detected=" << stats.detected << " runs=" << stats.detect.size()
        << " false=" << stats.sum.false_ejections
        << " healthy_hours=" << stats.sum.healthy_hours
        << " healthy_requests=" << stats.sum.healthy_requests
        << " floor_breaches=" << stats.sum.floor_breaches << "\n";
}

line_stats run_seeds(const detector_config& c, const simulated_service& service,
                     bench_scenario scenario)
{
    const bool failing = scenario < bench_scenario::healthy;
    const double seconds = failing ? 10 + horizon_s : FLAGS_healthy_seconds;
    line_stats stats;
    const int runs = failing ? FLAGS_seeds : FLAGS_healthy_runs;
    for (int n = 0; n < runs; ++n) {
        const auto seed = FLAGS_seed * 1000003 + static_cast<std::uint64_t>(n);
        add_run(stats,
                run_simulation(service, scenario, c.make, seed, seconds, true));
    }
    return stats;
}

void run_all()
{
    const auto all = detector_configs();
    const auto jobs = all.size() * services().size() * scenario_count;
    std::atomic<std::size_t> next{0};
    std::mutex out;
    const auto run_jobs = [&] {
        for (auto n = next++; n < jobs; n = next++) {
            const auto& c = all[n / (services().size() * scenario_count)];
            const auto& service =
                services()[n / scenario_count % services().size()];
            const auto scenario =
                static_cast<bench_scenario>(n % scenario_count);
            const auto name = scenario_names[n % scenario_count];
            if ((!FLAGS_only.empty() && FLAGS_only != name) ||
                (!FLAGS_family.empty() && FLAGS_family != c.family))
                continue;
            auto stats = run_seeds(c, service, scenario);
            const std::lock_guard lock(out);
            print_line(std::cout, c, service, scenario, stats);
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(FLAGS_threads));
    for (int n = 0; n < FLAGS_threads; ++n)
        threads.emplace_back(run_jobs);
    for (auto& t : threads)
        t.join();
}

} // namespace

} // namespace jasminetray

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    jasminetray::run_all();
    return 0;
}
