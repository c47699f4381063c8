// Simulation of a service and its failures, for the ejection bench.
#include "bench/ejection_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

const std::array<std::string_view, scenario_count> scenario_names = {
    "fail-100", "fail-50",  "fail-20",    "fail-10",     "fail-5",
    "slow-5x",  "slow-2x",  "silent",     "one-centre",  "flap-2s",
    "flap-10s", "flap-60s", "half-alive", "bad-release", "one-way",
    "healthy",  "bursts",   "dip",        "overload",    "cold-start"};

namespace {

constexpr span_us failure_delay = 10 * us_per_s; // healthy lead time
constexpr span_us request_timeout = 2 * us_per_s;
constexpr span_us tick_interval = 20 * us_per_ms;
constexpr span_us probe_interval = us_per_s;
constexpr double burst_interval_s = 120; // per worker
constexpr double burst_mean_duration_s = 0.15;
constexpr double burst_failure_rate = 0.6;
constexpr double dip_interval_s = 60;
constexpr double dip_duration_s = 10;
constexpr double dip_failure_rate = 0.3;

struct worker_behaviour
{
    double failure_rate = baseline_failure_rate;
    double slowdown = 1;
    bool no_response = false;
    bool probes_fail = false;
};

struct completion
{
    mono_us at;
    request_outcome outcome;

    bool operator<(const completion& o) const
    {
        return at > o.at;
    }
};

struct simulation_run
{
    simulated_service service;
    bench_scenario scenario{};
    random_state rng;
    mono_us now = us_per_s;
    mono_us start = us_per_s;
    std::priority_queue<completion> completions;
    std::vector<int> outstanding;    ///< by worker
    std::vector<mono_us> burst_end;  ///< by worker
    std::vector<mono_us> burst_next; ///< by worker
    mono_us next_restart = mono_never;
    std::size_t restarted_worker = 0;
    mono_us restarted_at = -mono_never / 2;
    std::uint64_t key = 0;
    simulation_result result;
};

bool has_failure(bench_scenario m)
{
    return m < bench_scenario::healthy;
}

/// Returns whether the scenario lets this worker fail.
bool is_unhealthy(const simulation_run& s, std::size_t worker)
{
    if (!has_failure(s.scenario))
        return false;
    if (s.scenario == bench_scenario::bad_release)
        return worker < s.service.workers / 2;
    return worker == 0;
}

bool in_first_half(span_us since, double period_s)
{
    const auto period = static_cast<span_us>(period_s * us_per_s);
    return since % period < period / 2;
}

worker_behaviour unhealthy_behaviour(const simulation_run& s,
                                     std::uint32_t source)
{
    worker_behaviour b;
    const auto since = s.now - s.start - failure_delay;
    switch (s.scenario) {
    case bench_scenario::fail_100:
        b.failure_rate = 1;
        break;
    case bench_scenario::fail_50:
    case bench_scenario::bad_release:
        b.failure_rate = 0.5;
        break;
    case bench_scenario::fail_20:
        b.failure_rate = 0.2;
        break;
    case bench_scenario::fail_10:
        b.failure_rate = 0.1;
        break;
    case bench_scenario::fail_5:
        b.failure_rate = 0.05;
        break;
    case bench_scenario::slow_5:
        b.slowdown = 5;
        break;
    case bench_scenario::slow_2:
        b.slowdown = 2;
        break;
    case bench_scenario::unresponsive:
    case bench_scenario::one_way:
        b.no_response = true;
        b.probes_fail = s.scenario == bench_scenario::unresponsive;
        break;
    case bench_scenario::one_centre:
        b.failure_rate = source == 0 ? 1 : baseline_failure_rate;
        break;
    case bench_scenario::flap_2s:
        b.failure_rate = in_first_half(since, 2) ? 1 : baseline_failure_rate;
        break;
    case bench_scenario::flap_10s:
        b.failure_rate = in_first_half(since, 10) ? 1 : baseline_failure_rate;
        break;
    case bench_scenario::flap_60s:
        b.failure_rate = in_first_half(since, 60) ? 1 : baseline_failure_rate;
        break;
    case bench_scenario::half_alive:
        b.failure_rate = 0.3;
        b.slowdown = 3;
        break;
    default:
        break;
    }
    return b;
}

worker_behaviour healthy_behaviour(simulation_run& s, std::size_t worker)
{
    worker_behaviour b;
    const double since = static_cast<double>(s.now - s.start) / us_per_s;
    if (s.scenario == bench_scenario::bursts) {
        if (s.now >= s.burst_next[worker]) {
            s.burst_end[worker] =
                s.now + static_cast<span_us>(burst_mean_duration_s * us_per_s *
                                             random_exponential(s.rng));
            s.burst_next[worker] =
                s.burst_end[worker] +
                static_cast<span_us>(burst_interval_s * us_per_s *
                                     random_exponential(s.rng));
        }
        if (s.now < s.burst_end[worker])
            b.failure_rate = burst_failure_rate;
    }
    if (s.scenario == bench_scenario::dip && since > 10 &&
        std::fmod(since, dip_interval_s) < dip_duration_s)
        b.failure_rate = dip_failure_rate;
    if (s.scenario == bench_scenario::overload)
        b.slowdown = 1.6;
    if (s.scenario == bench_scenario::cold_start &&
        worker == s.restarted_worker) {
        const double since_restart_s =
            static_cast<double>(s.now - s.restarted_at) / us_per_s;
        if (since_restart_s < 5)
            b.slowdown = 3 - 2 * since_restart_s / 5;
    }
    return b;
}

worker_behaviour behaviour_of(simulation_run& s, std::size_t worker,
                              std::uint32_t source)
{
    const bool failing = s.now - s.start >= failure_delay;
    return failing && is_unhealthy(s, worker) ? unhealthy_behaviour(s, source)
                                              : healthy_behaviour(s, worker);
}

std::size_t pick_worker(simulation_run& s, const bench_detector& d,
                        std::uint32_t source)
{
    double sum = 0;
    for (std::size_t n = 0; n < s.service.workers; ++n)
        sum += d.weight(n, source);
    double at = random_unit(s.rng) * sum;
    for (std::size_t n = 0; n < s.service.workers; ++n) {
        at -= d.weight(n, source);
        if (at < 0)
            return n;
    }
    return s.service.workers - 1;
}

void send_request(simulation_run& s, bench_detector& d)
{
    const auto source =
        static_cast<std::uint32_t>(random_below(s.rng, s.service.sources));
    const auto worker = pick_worker(s, d, source);
    const auto b = behaviour_of(s, worker, source);
    const bool failing = s.now - s.start >= failure_delay;
    if (failing && is_unhealthy(s, worker))
        s.result.unhealthy_requests += 1;
    else
        s.result.healthy_requests += 1;
    request_outcome o;
    o.worker = worker;
    o.key = ++s.key;
    o.source = source;
    if (s.outstanding[worker] >= s.service.slots) {
        o.neutral = true; // shed
        d.record_sent(worker, o.key, source, s.now);
        return d.record_outcome(o, s.now);
    }
    o.failed = random_unit(s.rng) < b.failure_rate;
    o.took = static_cast<span_us>(
        baseline_latency_ms * us_per_ms * b.slowdown *
        std::exp(baseline_latency_log_sd * random_normal(s.rng)));
    if (b.no_response || o.took > request_timeout) {
        o.failed = true;
        o.took = request_timeout;
    }
    ++s.outstanding[worker];
    d.record_sent(worker, o.key, source, s.now);
    s.completions.push({s.now + o.took, o});
}

void complete_next(simulation_run& s, bench_detector& d)
{
    const auto e = s.completions.top();
    s.completions.pop();
    s.now = e.at;
    --s.outstanding[e.outcome.worker];
    d.record_outcome(e.outcome, s.now);
}

void probe_all(simulation_run& s, bench_detector& d)
{
    for (std::size_t n = 0; n < s.service.workers; ++n) {
        const auto b = behaviour_of(s, n, 0);
        d.record_probe(n, b.probes_fail || random_unit(s.rng) < 0.001, s.now);
    }
}

/// Returns whether the failing workers are ejected, up to the floor.
bool failure_contained(const simulation_run& s, const bench_detector& d)
{
    if (s.scenario == bench_scenario::one_centre)
        return d.ejected(0, 0);
    if (s.scenario != bench_scenario::bad_release)
        return d.ejected(0, 0);
    const auto max_ejected = static_cast<std::size_t>(
        (1 - s.service.floor) * static_cast<double>(s.service.workers) + 1e-9);
    std::size_t ejected = 0;
    for (std::size_t n = 0; n < s.service.workers / 2; ++n)
        ejected += d.ejected(n, 0) ? 1 : 0;
    return ejected >= std::min(max_ejected, s.service.workers / 2);
}

void restart_worker(simulation_run& s, bench_detector& d)
{
    s.restarted_worker = random_below(s.rng, s.service.workers);
    s.restarted_at = s.now;
    s.next_restart = s.now + 20 * us_per_s;
    d.record_restart(s.restarted_worker, s.now);
}

simulation_run make_run(const simulated_service& service,
                        bench_scenario scenario, std::uint64_t seed)
{
    simulation_run s;
    s.service = service;
    s.scenario = scenario;
    s.rng.value = seed;
    s.outstanding.resize(service.workers);
    s.burst_end.resize(service.workers);
    for (std::size_t n = 0; n < service.workers; ++n) {
        s.burst_next.push_back(
            s.now + static_cast<span_us>(burst_interval_s * us_per_s *
                                         random_exponential(s.rng)));
    }
    if (scenario == bench_scenario::cold_start)
        s.next_restart = s.now + 5 * us_per_s;
    return s;
}

/// Records the first detection. Returns true if the run may end.
bool record_detection(simulation_run& s, const bench_detector& d,
                      bool stop_at_detection)
{
    if (s.result.detected || s.now - s.start < failure_delay ||
        !has_failure(s.scenario) || !failure_contained(s, d))
        return false;
    s.result.detected = true;
    s.result.detection_s =
        static_cast<double>(s.now - s.start - failure_delay) / us_per_s;
    s.result.requests_until_detection = s.result.unhealthy_requests;
    return stop_at_detection;
}

void finish_run(simulation_run& s, const bench_detector& d, double seconds)
{
    if (!s.result.detected) {
        s.result.detection_s =
            seconds - static_cast<double>(failure_delay) / us_per_s;
        s.result.requests_until_detection = s.result.unhealthy_requests;
    }
    const double hours = static_cast<double>(s.now - s.start) / us_per_s / 3600;
    for (std::size_t n = 0; n < s.service.workers; ++n) {
        if (is_unhealthy(s, n))
            continue;
        s.result.false_ejections += d.ejection_count(n);
        s.result.healthy_hours += hours;
    }
}

} // namespace

simulation_result run_simulation(const simulated_service& service,
                                 bench_scenario scenario,
                                 const detector_factory& make,
                                 std::uint64_t seed, double seconds,
                                 bool stop_at_detection)
{
    auto s = make_run(service, scenario, seed);
    const auto d = make(service);
    const double load = scenario == bench_scenario::overload ? 1.5 : 1;
    const double rate =
        load * service.rate * static_cast<double>(service.workers);
    const auto until = s.start + static_cast<span_us>(seconds * us_per_s);
    auto arrival = s.now;
    auto tick = s.now;
    auto probe = s.now;
    while (s.now < until) {
        const auto end =
            s.completions.empty() ? mono_never : s.completions.top().at;
        const auto next = std::min({arrival, end, tick, probe, s.next_restart});
        s.now = next;
        if (next == end) {
            complete_next(s, *d);
        } else if (next == arrival) {
            send_request(s, *d);
            arrival += 1 + static_cast<span_us>(us_per_s / rate *
                                                random_exponential(s.rng));
        } else if (next == tick) {
            d->tick(s.now);
            tick += tick_interval;
            s.result.floor_breaches += d->below_floor() ? 1 : 0;
        } else if (next == probe) {
            probe_all(s, *d);
            probe += probe_interval;
        } else {
            restart_worker(s, *d);
        }
        if (record_detection(s, *d, stop_at_detection))
            break;
    }
    finish_run(s, *d, seconds);
    return s.result;
}

} // namespace jasminetray
