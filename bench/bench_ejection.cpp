// Detection time against false ejections, the core beside its baselines in
// one run. Prints one line per detector, size and mode for
// tools/bench_ejection.py, which makes the table, the plot and the last line.
#include "ejection_detectors.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <gflags/gflags.h>
#include <iostream>
#include <mutex>
#include <thread>

DEFINE_int32(seeds, 200, "runs per line");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(threads, 8, "at once");
DEFINE_int32(healthy_runs, 40, "runs per line without sickness");
DEFINE_double(healthy_seconds, 300, "length of a stream without sickness");
DEFINE_string(only, "", "mode to run; all when empty");
DEFINE_string(family, "", "detectors to run; all when empty");
DEFINE_bool(parts, true, "also the core with one part left out each");

namespace jasminetray {

namespace {

/// A detector with a name and the point on its curve.
struct contestant
{
    std::string family;
    std::string point;
    detector_maker make;
};

/// Sums over the seeds of one line.
struct bench_line
{
    std::vector<double> detect;
    std::vector<double> requests;
    std::size_t detected = 0;
    bench_run sum;
};

const std::vector<bench_size>& sizes()
{
    static const std::vector<bench_size> all = {
        {"hinoha-billing", 9, 6, 20, 3, 0.6, 0.5},
        {"dar-athar-plans", 11, 7, 15, 2, 0.6, 0.01},
        {"letter-slice", 29, 6, 18, 16, 0.6, 0.5}};
    return all;
}

std::vector<contestant> contestants()
{
    std::vector<contestant> all;
    for (const double f : {10.0, 1.0, 0.1})
        all.push_back({"core", std::to_string(f), make_core(f)});
    if (FLAGS_parts) {
        all.push_back(
            {"core-no-peers", "1", make_core_without(core_part::peers, 1)});
        all.push_back(
            {"core-no-silence", "1", make_core_without(core_part::silence, 1)});
        all.push_back(
            {"core-no-bursts", "1", make_core_without(core_part::bursts, 1)});
        all.push_back(
            {"core-no-sources", "1", make_core_without(core_part::sources, 1)});
    }
    for (const int n : {3, 5, 8, 12, 20})
        all.push_back({"consecutive", std::to_string(n), make_consecutive(n)});
    for (const double k : {1.9, 2.5, 3.0, 4.0})
        all.push_back(
            {"success-rate", std::to_string(k), make_success_rate(k)});
    for (const double p : {5.0, 10.0, 20.0, 40.0, 60.0, 85.0})
        all.push_back({"percentage", std::to_string(p), make_percentage(p)});
    for (const int n : {2, 3, 5})
        all.push_back({"probes", std::to_string(n), make_probes(n)});
    return all;
}

void add(bench_line& l, const bench_run& r)
{
    l.detect.push_back(r.detect_s);
    l.requests.push_back(r.sick_requests);
    l.detected += r.detected ? 1 : 0;
    l.sum.healthy_hours += r.healthy_hours;
    l.sum.healthy_requests += r.healthy_requests;
    l.sum.false_ejections += r.false_ejections;
    l.sum.floor_breaches += r.floor_breaches;
}

/// Order statistic at a share of the sorted values.
double at_share(const std::vector<double>& sorted, double share)
{
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(
        std::clamp(std::round(share * last), 0.0, last))];
}

void print(std::ostream& out, const contestant& c, const bench_size& size,
           bench_mode mode, bench_line& l)
{
    std::sort(l.detect.begin(), l.detect.end());
    std::sort(l.requests.begin(), l.requests.end());
    // 95% interval of a median by the binomial order statistics.
    const double half = 0.98 / std::sqrt(static_cast<double>(l.detect.size()));
    out << c.family << ' ' << c.point << ' ' << size.name << ' '
        << bench_mode_names[static_cast<std::size_t>(mode)]
        << " median_s=" << at_share(l.detect, 0.5)
        << " low_s=" << at_share(l.detect, 0.5 - half)
        << " high_s=" << at_share(l.detect, 0.5 + half)
        << " p95_s=" << at_share(l.detect, 0.95)
        << " median_requests=" << at_share(l.requests, 0.5)
        << " detected=" << l.detected << " runs=" << l.detect.size()
        << " false=" << l.sum.false_ejections
        << " healthy_hours=" << l.sum.healthy_hours
        << " healthy_requests=" << l.sum.healthy_requests
        << " floor_breaches=" << l.sum.floor_breaches << "\n";
}

bench_line run_line(const contestant& c, const bench_size& size,
                    bench_mode mode)
{
    const bool sick = mode < bench_mode::healthy;
    const double seconds = sick ? 10 + horizon_s : FLAGS_healthy_seconds;
    bench_line l;
    const int runs = sick ? FLAGS_seeds : FLAGS_healthy_runs;
    for (int n = 0; n < runs; ++n) {
        const auto seed = FLAGS_seed * 1000003 + static_cast<std::uint64_t>(n);
        add(l, run_stream(size, mode, c.make, seed, seconds, true));
    }
    return l;
}

void run_all()
{
    const auto all = contestants();
    const auto jobs = all.size() * sizes().size() * all_modes;
    std::atomic<std::size_t> next{0};
    std::mutex out;
    const auto work = [&] {
        for (auto n = next++; n < jobs; n = next++) {
            const auto& c = all[n / (sizes().size() * all_modes)];
            const auto& size = sizes()[n / all_modes % sizes().size()];
            const auto mode = static_cast<bench_mode>(n % all_modes);
            const auto name = bench_mode_names[n % all_modes];
            if ((!FLAGS_only.empty() && FLAGS_only != name) ||
                (!FLAGS_family.empty() && FLAGS_family != c.family))
                continue;
            auto l = run_line(c, size, mode);
            const std::lock_guard lock(out);
            print(std::cout, c, size, mode, l);
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(FLAGS_threads));
    for (int n = 0; n < FLAGS_threads; ++n)
        threads.emplace_back(work);
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
