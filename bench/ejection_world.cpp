// Streams of outcomes; see ejection_world.hpp.
#include "ejection_world.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

const std::array<std::string_view, all_modes> bench_mode_names = {
    "fail-100", "fail-50",  "fail-20",    "fail-10",     "fail-5",
    "slow-5x",  "slow-2x",  "silent",     "one-centre",  "flap-2s",
    "flap-10s", "flap-60s", "half-alive", "bad-release", "one-way",
    "healthy",  "bursts",   "dip",        "overload",    "cold-start"};

namespace {

constexpr span_us sick_from = 10 * us_per_s; // streams begin well
constexpr span_us time_out = 2 * us_per_s;   // of one piece of work
constexpr span_us tick_every = 20 * us_per_ms;
constexpr span_us probe_every = us_per_s;
constexpr double burst_every_s = 120; // per worker
constexpr double burst_mean_s = 0.15;
constexpr double burst_fail = 0.6;
constexpr double dip_every_s = 60;
constexpr double dip_s = 10;
constexpr double dip_fail = 0.3;

/// How a piece of work will go.
struct fate
{
    double fail = usual_fail;
    double slower = 1;
    bool silent = false;
    bool probe_fails = false;
};

struct ending
{
    mono_us at;
    bench_outcome outcome;

    bool operator<(const ending& o) const
    {
        return at > o.at;
    }
};

/// One run's state.
struct stream
{
    bench_size size;
    bench_mode mode{};
    random_state rng;
    mono_us now = us_per_s;
    mono_us began = us_per_s;
    std::priority_queue<ending> endings;
    std::vector<int> open;           ///< by worker
    std::vector<mono_us> burst_end;  ///< by worker
    std::vector<mono_us> burst_next; ///< by worker
    mono_us cold_next = mono_never;
    std::size_t cold = 0; ///< worker that restarted last
    mono_us cold_at = -mono_never / 2;
    std::uint64_t key = 0;
    bench_run found;
};

bool is_sick_mode(bench_mode m)
{
    return m < bench_mode::healthy;
}

/// Whether a worker is one of the sick.
bool is_sick(const stream& s, std::size_t worker)
{
    if (!is_sick_mode(s.mode))
        return false;
    if (s.mode == bench_mode::bad_release)
        return worker < s.size.workers / 2;
    return worker == 0;
}

bool in_phase(span_us since, double period_s)
{
    const auto period = static_cast<span_us>(period_s * us_per_s);
    return since % period < period / 2;
}

fate sick_fate(const stream& s, std::uint32_t source)
{
    fate f;
    const auto since = s.now - s.began - sick_from;
    switch (s.mode) {
    case bench_mode::fail_100:
        f.fail = 1;
        break;
    case bench_mode::fail_50:
    case bench_mode::bad_release:
        f.fail = 0.5;
        break;
    case bench_mode::fail_20:
        f.fail = 0.2;
        break;
    case bench_mode::fail_10:
        f.fail = 0.1;
        break;
    case bench_mode::fail_5:
        f.fail = 0.05;
        break;
    case bench_mode::slow_5:
        f.slower = 5;
        break;
    case bench_mode::slow_2:
        f.slower = 2;
        break;
    case bench_mode::silent:
    case bench_mode::one_way:
        f.silent = true;
        f.probe_fails = s.mode == bench_mode::silent;
        break;
    case bench_mode::one_centre:
        f.fail = source == 0 ? 1 : usual_fail;
        break;
    case bench_mode::flap_2s:
        f.fail = in_phase(since, 2) ? 1 : usual_fail;
        break;
    case bench_mode::flap_10s:
        f.fail = in_phase(since, 10) ? 1 : usual_fail;
        break;
    case bench_mode::flap_60s:
        f.fail = in_phase(since, 60) ? 1 : usual_fail;
        break;
    case bench_mode::half_alive:
        f.fail = 0.3;
        f.slower = 3;
        break;
    default:
        break;
    }
    return f;
}

fate well_fate(stream& s, std::size_t worker)
{
    fate f;
    const double since = static_cast<double>(s.now - s.began) / us_per_s;
    if (s.mode == bench_mode::bursts) {
        if (s.now >= s.burst_next[worker]) {
            s.burst_end[worker] =
                s.now + static_cast<span_us>(burst_mean_s * us_per_s *
                                             random_exponential(s.rng));
            s.burst_next[worker] =
                s.burst_end[worker] +
                static_cast<span_us>(burst_every_s * us_per_s *
                                     random_exponential(s.rng));
        }
        if (s.now < s.burst_end[worker])
            f.fail = burst_fail;
    }
    if (s.mode == bench_mode::dip && since > 10 &&
        std::fmod(since, dip_every_s) < dip_s)
        f.fail = dip_fail;
    if (s.mode == bench_mode::overload)
        f.slower = 1.6;
    if (s.mode == bench_mode::cold_start && worker == s.cold) {
        const double cold = static_cast<double>(s.now - s.cold_at) / us_per_s;
        if (cold < 5)
            f.slower = 3 - 2 * cold / 5;
    }
    return f;
}

fate fate_of(stream& s, std::size_t worker, std::uint32_t source)
{
    const bool begun = s.now - s.began >= sick_from;
    return begun && is_sick(s, worker) ? sick_fate(s, source)
                                       : well_fate(s, worker);
}

std::size_t draw_worker(stream& s, const bench_detector& d,
                        std::uint32_t source)
{
    double sum = 0;
    for (std::size_t n = 0; n < s.size.workers; ++n)
        sum += d.weight(n, source);
    double at = random_unit(s.rng) * sum;
    for (std::size_t n = 0; n < s.size.workers; ++n) {
        at -= d.weight(n, source);
        if (at < 0)
            return n;
    }
    return s.size.workers - 1;
}

void send_one(stream& s, bench_detector& d)
{
    const auto source =
        static_cast<std::uint32_t>(random_below(s.rng, s.size.sources));
    const auto worker = draw_worker(s, d, source);
    const auto f = fate_of(s, worker, source);
    const bool begun = s.now - s.began >= sick_from;
    if (begun && is_sick(s, worker))
        s.found.sick_sent += 1;
    else
        s.found.healthy_requests += 1;
    bench_outcome o;
    o.worker = worker;
    o.key = ++s.key;
    o.source = source;
    if (s.open[worker] >= s.size.slots) {
        o.neutral = true; // full: shed at once
        d.sent(worker, o.key, source, s.now);
        return d.seen(o, s.now);
    }
    o.failed = random_unit(s.rng) < f.fail;
    o.took =
        static_cast<span_us>(usual_ms * us_per_ms * f.slower *
                             std::exp(usual_spread * random_normal(s.rng)));
    if (f.silent || o.took > time_out) {
        o.failed = true;
        o.took = time_out;
    }
    ++s.open[worker];
    d.sent(worker, o.key, source, s.now);
    s.endings.push({s.now + o.took, o});
}

void end_one(stream& s, bench_detector& d)
{
    const auto e = s.endings.top();
    s.endings.pop();
    s.now = e.at;
    --s.open[e.outcome.worker];
    d.seen(e.outcome, s.now);
}

void probe_all(stream& s, bench_detector& d)
{
    for (std::size_t n = 0; n < s.size.workers; ++n) {
        const auto f = fate_of(s, n, 0);
        d.probed(n, f.probe_fails || random_unit(s.rng) < 0.001, s.now);
    }
}

/// Whether everything that may be set aside is.
bool found_all(const stream& s, const bench_detector& d)
{
    if (s.mode == bench_mode::one_centre)
        return d.ejected(0, 0);
    if (s.mode != bench_mode::bad_release)
        return d.ejected(0, 0);
    const auto most = static_cast<std::size_t>(
        (1 - s.size.floor) * static_cast<double>(s.size.workers) + 1e-9);
    std::size_t out = 0;
    for (std::size_t n = 0; n < s.size.workers / 2; ++n)
        out += d.ejected(n, 0) ? 1 : 0;
    return out >= std::min(most, s.size.workers / 2);
}

void restart_cold(stream& s, bench_detector& d)
{
    s.cold = random_below(s.rng, s.size.workers);
    s.cold_at = s.now;
    s.cold_next = s.now + 20 * us_per_s;
    d.restarted(s.cold, s.now);
}

stream make_stream(const bench_size& size, bench_mode mode, std::uint64_t seed)
{
    stream s;
    s.size = size;
    s.mode = mode;
    s.rng.value = seed;
    s.open.resize(size.workers);
    s.burst_end.resize(size.workers);
    for (std::size_t n = 0; n < size.workers; ++n) {
        s.burst_next.push_back(s.now +
                               static_cast<span_us>(burst_every_s * us_per_s *
                                                    random_exponential(s.rng)));
    }
    if (mode == bench_mode::cold_start)
        s.cold_next = s.now + 5 * us_per_s;
    return s;
}

/// Notes a detection; true when the run may end.
bool note_detection(stream& s, const bench_detector& d, bool stop)
{
    if (s.found.detected || s.now - s.began < sick_from ||
        !is_sick_mode(s.mode) || !found_all(s, d))
        return false;
    s.found.detected = true;
    s.found.detect_s =
        static_cast<double>(s.now - s.began - sick_from) / us_per_s;
    s.found.sick_requests = s.found.sick_sent;
    return stop;
}

void close_run(stream& s, const bench_detector& d, double seconds)
{
    if (!s.found.detected) {
        s.found.detect_s = seconds - static_cast<double>(sick_from) / us_per_s;
        s.found.sick_requests = s.found.sick_sent;
    }
    const double hours = static_cast<double>(s.now - s.began) / us_per_s / 3600;
    for (std::size_t n = 0; n < s.size.workers; ++n) {
        if (is_sick(s, n))
            continue;
        s.found.false_ejections += d.ejections(n);
        s.found.healthy_hours += hours;
    }
}

} // namespace

bench_run run_stream(const bench_size& size, bench_mode mode,
                     const detector_maker& make, std::uint64_t seed,
                     double seconds, bool stop_at_detection)
{
    auto s = make_stream(size, mode, seed);
    const auto d = make(size);
    const double load = mode == bench_mode::overload ? 1.5 : 1;
    const double rate = load * size.rate * static_cast<double>(size.workers);
    const auto until = s.began + static_cast<span_us>(seconds * us_per_s);
    auto arrival = s.now;
    auto tick = s.now;
    auto probe = s.now;
    while (s.now < until) {
        const auto end = s.endings.empty() ? mono_never : s.endings.top().at;
        const auto next = std::min({arrival, end, tick, probe, s.cold_next});
        s.now = next;
        if (next == end) {
            end_one(s, *d);
        } else if (next == arrival) {
            send_one(s, *d);
            arrival += 1 + static_cast<span_us>(us_per_s / rate *
                                                random_exponential(s.rng));
        } else if (next == tick) {
            d->tick(s.now);
            tick += tick_every;
            s.found.floor_breaches += d->below_floor() ? 1 : 0;
        } else if (next == probe) {
            probe_all(s, *d);
            probe += probe_every;
        } else {
            restart_cold(s, *d);
        }
        if (note_detection(s, *d, stop_at_detection))
            break;
    }
    close_run(s, *d, seconds);
    return s.found;
}

} // namespace jasminetray
