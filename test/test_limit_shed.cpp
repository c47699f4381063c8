// A gate's limit under backend servers that refuse work.
#include "gate/gate_cmd.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr auto backend = static_cast<worker_id>(1);
constexpr mono_us start = 100 * us_per_s;
constexpr int slots = 13;

/// A gate under steady load; what is let in is ended by the test.
struct loaded_gate
{
    gate g;
    std::uint64_t next = 1;
    std::vector<gate_request> running;

    loaded_gate()
    {
        gate_set_worker(g, backend, slots, 0);
        g.workers[backend].usual = us_per_s / 2;
    }

    /// Lets one piece of work in, if the gate takes it at once.
    bool let_in(mono_us now)
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

// For seconds the backend servers of a service refuse half of all work, at
// any load. The gate took that for overload: its limit fell to one slot of 13,
// and callers were refused for want of room at idle backend servers, until
// long after the last refusal. What was answered beside as much work shows
// that it is no overload.
TEST(limit, refusals_at_any_load_leave_it_alone)
{
    loaded_gate x;
    mono_us now = start;
    for (int k = 0; k < 6; ++k)
        x.let_in(now);
    for (int k = 0; k < 200; ++k) {
        now += 50 * us_per_ms;
        if (x.let_in(now) && k % 2 == 1)
            x.end(work_result::shed, us_per_ms, now + us_per_ms);
        else
            x.end(work_result::answered, us_per_s / 2, now + us_per_ms);
    }
    EXPECT_GE(x.g.workers[backend].limit, 10);
}

// A backend server that lost half of its room refuses all that goes beyond
// it. The limit falls to what it still serves.
TEST(limit, refusals_above_what_is_served_lower_it)
{
    constexpr std::size_t room = 5;
    loaded_gate x;
    mono_us now = start;
    for (int k = 0; k < 400; ++k) {
        now += 50 * us_per_ms;
        for (int n = 0; n < 3 && x.let_in(now); ++n) {
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
