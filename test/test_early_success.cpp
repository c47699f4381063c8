// Early success detection, with work that takes seconds and unhealthy backend
// servers that fail most of it within milliseconds.
#include "base/random_func.hpp"
#include "gate/gate_cmd.hpp"
#include "gate/gate_query.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr auto backend = static_cast<worker_id>(1);
constexpr mono_us start = 100 * us_per_s;
constexpr span_us lookup_time = 330 * us_per_ms;
constexpr span_us charge_time = 1300 * us_per_ms;
constexpr span_us step = 10 * us_per_ms;

enum : std::uint32_t
{
    lookup_class = 1,
    charge_class = 2,
};

gate make_gate()
{
    constexpr int slots = 15;
    gate g;
    g.limits.estimate.on = true;
    gate_set_worker(g, backend, slots, 0);
    auto& w = g.workers[backend];
    w.mean_duration = charge_time;
    w.classes[lookup_class].mean_duration = lookup_time;
    w.classes[charge_class].mean_duration = charge_time;
    w.estimate.at = start;
    return g;
}

gate_request work(std::uint64_t seq, mono_us at, bool charge)
{
    gate_request r;
    r.attempt = {{static_cast<node_id>(1), seq}, 1};
    r.worker = backend;
    r.idempotent = !charge;
    r.may_probe = !charge;
    r.stamp = at;
    r.route_class = charge ? charge_class : lookup_class;
    r.target = charge ? 4 * us_per_s : 1200 * us_per_ms;
    r.due = at + r.target;
    r.deadline = at + 3 * r.target;
    return r;
}

// Guards against holding back a recovered backend server until its long probes
// end.
TEST(early_success, probe_past_quick_failure_ends_suspicion)
{
    auto g = make_gate();
    gate_report_outcome(g, backend, true, us_per_ms, start);
    ASSERT_TRUE(is_suspect(g, backend, start));
    mono_us now = start + us_per_s;
    gate_error last{};
    std::uint64_t seq = 0;
    for (int k = 0; k < 2; ++k) {
        auto r = work(++seq, now, false);
        r.route_class = charge_class; // any long work
        EXPECT_TRUE(gate_admit(command_mode::apply, g, r, now, last));
        now += 60 * us_per_ms;
        gate_check_early_success(g, backend, now);
    }
    EXPECT_FALSE(is_suspect(g, backend, now));
}

// Guards against early successes at a backend server that hangs.
TEST(early_success, ignored_while_worker_hangs)
{
    auto g = make_gate();
    gate_report_outcome(g, backend, true, 2 * us_per_s, start);
    mono_us now = start + us_per_s;
    gate_error last{};
    for (std::uint64_t seq = 1; seq < 4; ++seq) {
        auto r = work(seq, now, false);
        r.route_class = charge_class;
        gate_admit(command_mode::apply, g, r, now, last);
        now += 60 * us_per_ms;
        gate_check_early_success(g, backend, now);
    }
    EXPECT_TRUE(is_suspect(g, backend, now));
}

// Guards against early successes at a trusted backend server that fails only
// when its work ends.
TEST(early_success, ignored_where_failures_come_late)
{
    auto g = make_gate();
    for (int k = 0; k < 3; ++k)
        gate_report_outcome(g, backend, true, charge_time, start);
    auto& d = g.workers[backend].estimate;
    d.suspect = false;
    d.probability = 0.3;
    gate_error last{};
    auto r = work(1, start, false);
    r.route_class = charge_class;
    gate_admit(command_mode::apply, g, r, start, last);
    gate_check_early_success(g, backend, start + 60 * us_per_ms);
    EXPECT_DOUBLE_EQ(d.probability, 0.3);
}

/// Returns the seconds for which a healthy backend server was held back in two
/// minutes with a failure phase of 3 s in every 9 s.
double held_back_seconds(bool survival)
{
    auto g = make_gate();
    g.limits.early_success.enabled = survival;
    random_state rng{7};
    std::vector<std::pair<mono_us, gate_request>> running;
    double held = 0;
    std::uint64_t seq = 0;
    for (mono_us now = start; now < start + 120 * us_per_s; now += step) {
        const bool unhealthy = (now - start) % (9 * us_per_s) >= 6 * us_per_s;
        for (std::size_t k = 0; k < running.size();) {
            if (running[k].first > now) {
                ++k;
                continue;
            }
            gate_report_outcome(g, backend, false, charge_time, now);
            gate_finish(g, running[k].second, work_result::answered,
                        charge_time, now);
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(k));
        }
        auto r = work(++seq, now, false);
        r.route_class = charge_class;
        gate_error last{};
        constexpr double each_step = 0.05; // five units of work per second
        const bool offered = random_unit(rng) < each_step;
        if (offered && gate_admit(command_mode::apply, g, r, now, last)) {
            const bool fails = unhealthy && random_unit(rng) < 0.9;
            if (fails) {
                gate_finish(g, r, work_result::lost, us_per_ms, now);
                gate_report_outcome(g, backend, true, us_per_ms, now);
            } else {
                running.emplace_back(now + charge_time, r);
            }
        }
        gate_check_early_success(g, backend, now);
        if (!unhealthy && is_suspect(g, backend, now))
            held += static_cast<double>(step) / us_per_s;
    }
    return held;
}

// Guards against losing the benefit of early success detection: a recovered
// backend server must be held back for a third less time.
TEST(early_success, recovered_worker_is_trusted_sooner)
{
    const double before = held_back_seconds(false);
    const double after = held_back_seconds(true);
    EXPECT_GT(before, 5);
    EXPECT_LE(3 * after, 2 * before) << "before " << before;
}

} // namespace
} // namespace jasminetray
