// Adaptive concurrency limit of the gate under sheds.
#include "gate/gate_cmd.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr auto backend = static_cast<worker_id>(1);
constexpr mono_us start = 100 * us_per_s;
constexpr int slots = 13;

/// A gate under steady load; the test ends the admitted work.
struct loaded_gate
{
    gate g;
    std::uint64_t next = 1;
    std::vector<gate_request> running;

    loaded_gate()
    {
        gate_set_worker(g, backend, slots, 0);
        g.workers[backend].mean_duration = us_per_s / 2;
    }

    /// Offers one unit of work; returns whether it started at once.
    bool admit(mono_us now)
    {
        gate_request r;
        r.attempt = {{static_cast<node_id>(1), next++}, 1};
        r.worker = backend;
        r.idempotent = true;
        r.deadline = now + 10 * us_per_s;
        r.due = now + 4 * us_per_s;
        r.target = 4 * us_per_s;
        gate_error last{};
        const auto a = gate_admit(command_mode::apply, g, r, now, last);
        if (a != admission::started)
            return false;
        running.push_back(r);
        return true;
    }

    void end(work_result how, span_us took, mono_us now)
    {
        const bool fresh = how == work_result::shed;
        const auto r = fresh ? running.back() : running.front();
        running.erase(fresh ? running.end() - 1 : running.begin());
        gate_finish(g, r, how, took, now);
    }
};

// Guards against treating sheds at any load as overload, which would lower the
// limit of an idle backend server to one slot.
TEST(limit, unchanged_by_sheds_at_any_load)
{
    loaded_gate x;
    mono_us now = start;
    for (int k = 0; k < 6; ++k)
        x.admit(now);
    for (int k = 0; k < 200; ++k) {
        now += 50 * us_per_ms;
        if (x.admit(now) && k % 2 == 1)
            x.end(work_result::shed, us_per_ms, now + us_per_ms);
        else
            x.end(work_result::answered, us_per_s / 2, now + us_per_ms);
    }
    EXPECT_GE(x.g.workers[backend].limit, 10);
}

// Guards against a limit that stays above the reduced capacity of a backend
// server.
TEST(limit, lowered_by_sheds_above_served_load)
{
    constexpr std::size_t room = 5;
    loaded_gate x;
    mono_us now = start;
    for (int k = 0; k < 400; ++k) {
        now += 50 * us_per_ms;
        for (int n = 0; n < 3 && x.admit(now); ++n) {
            if (x.running.size() > room)
                x.end(work_result::shed, us_per_ms, now + us_per_ms);
        }
        if (k % 4 == 0 && !x.running.empty())
            x.end(work_result::answered, us_per_s / 2, now + 2 * us_per_ms);
    }
    EXPECT_LE(x.g.workers[backend].limit, room + 2.0);
}

} // namespace
} // namespace jasminetray
