// The attempt machine's last resort: what a request does that found no room.
#include "attempt/attempt_func.hpp"
#include "limit/limit_type.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr mono_us begin_at = 100 * us_per_s;

/// One request and what its machine asked for last.
struct one_request
{
    request_state state;
    retry_budget budget;
    std::vector<attempt_action> actions;

    explicit one_request(bool last_resort)
    {
        attempt_policy p;
        p.max_tries = 2;
        p.last_resort = last_resort;
        state = make_request(p, begin_at + us_per_s);
        step({attempt_event_kind::begin, 0, ""});
    }

    void step(const attempt_event& e)
    {
        actions = attempt_step(state, e, budget, begin_at);
    }

    attempt_action_kind only() const
    {
        EXPECT_EQ(actions.size(), 1U);
        return actions.front().kind;
    }
};

// Two gates in a row have no room. Without a last resort the caller is told
// at once that its request has not run.
TEST(last_resort, is_asked_once_after_the_gates_and_before_the_refusal)
{
    one_request r(true);
    r.step({attempt_event_kind::not_run, 1, "deadline-short"});
    EXPECT_EQ(r.only(), attempt_action_kind::send_fresh);
    r.step({attempt_event_kind::not_run, 2, "deadline-short"});
    EXPECT_EQ(r.only(), attempt_action_kind::send_fallback);
    r.step({attempt_event_kind::not_run, 3, "suspected"});
    EXPECT_EQ(r.only(), attempt_action_kind::refuse);
    EXPECT_EQ(r.state.outcome, final_outcome::not_run);

    one_request without(false);
    without.step({attempt_event_kind::not_run, 1, "deadline-short"});
    without.step({attempt_event_kind::not_run, 2, "deadline-short"});
    EXPECT_EQ(without.only(), attempt_action_kind::refuse);
}

// The first backend server ran the request and its answer is lost. A charge
// that was sent on to a suspect now could run twice.
TEST(last_resort, is_not_for_what_may_have_run)
{
    one_request r(true);
    r.step({attempt_event_kind::unknown, 1, "worker-silent"});
    EXPECT_EQ(r.only(), attempt_action_kind::refuse);
    EXPECT_EQ(r.state.outcome, final_outcome::unknown);
}

// No suspect is there to be tried: the reason stays the one that the gates
// gave, since that is what an engineer looks for.
TEST(last_resort, keeps_the_gates_reason_when_nobody_is_left)
{
    one_request r(true);
    r.step({attempt_event_kind::not_run, 1, "deadline-short"});
    r.step({attempt_event_kind::not_run, 2, "deadline-short"});
    r.step({attempt_event_kind::no_worker, 3, ""});
    EXPECT_EQ(r.only(), attempt_action_kind::refuse);
    EXPECT_EQ(r.state.reason, "deadline-short");
}

// Guards against a request that crashes what runs it being sent to one backend
// server after the other: a gate that knows it ends it at once.
TEST(quarantined_request, is_sent_to_nobody_else)
{
    one_request r(true);
    r.step({attempt_event_kind::quarantined, 1, "quarantined"});
    EXPECT_EQ(r.only(), attempt_action_kind::refuse);
    EXPECT_EQ(r.state.outcome, final_outcome::not_run);

    // It ran before, so nobody may say that it did not.
    one_request again(true);
    again.state.policy.idempotent = true;
    again.step({attempt_event_kind::lost, 1, "worker-silent"});
    EXPECT_EQ(again.only(), attempt_action_kind::send_fresh);
    again.step({attempt_event_kind::quarantined, 2, "quarantined"});
    EXPECT_EQ(again.only(), attempt_action_kind::refuse);
    EXPECT_EQ(again.state.outcome, final_outcome::unknown);
}

} // namespace
} // namespace jasminetray
