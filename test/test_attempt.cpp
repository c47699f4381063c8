// Attempt state machine: fallback to a suspect, and quarantined requests.
#include "attempt/attempt_func.hpp"
#include "limit/limit_type.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr mono_us begin_at = 100 * us_per_s;

/// A request and the actions of its last step.
struct one_request
{
    request_state state;
    retry_budget budget;
    std::vector<attempt_action> actions;

    explicit one_request(bool use_fallback)
    {
        attempt_policy p;
        p.max_tries = 2;
        p.use_fallback = use_fallback;
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

// Guards against a refusal without trying the fallback, and against trying it
// twice.
TEST(fallback, tried_once_before_refusal)
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

// Guards against gates that use up the retry budget by refusing retries.
TEST(attempt, retry_refused_by_gates_takes_one_from_the_budget)
{
    attempt_policy p;
    p.idempotent = true;
    retry_budget budget;
    budget.fixed = 1;
    auto r = make_request(p, begin_at + us_per_s);
    attempt_step(r, {attempt_event_kind::begin, 0, ""}, budget, begin_at);
    const auto step = [&](attempt_event_kind kind, std::uint32_t count) {
        return attempt_step(r, {kind, count, "refused"}, budget, begin_at);
    };
    EXPECT_EQ(step(attempt_event_kind::unknown, 1).size(), 1U);
    EXPECT_EQ(step(attempt_event_kind::not_run, 2).size(), 1U);
    EXPECT_EQ(step(attempt_event_kind::unsent, 3).size(), 1U);
    EXPECT_EQ(r.outcome, final_outcome::open);
    step(attempt_event_kind::unknown, 4);
    EXPECT_EQ(r.outcome, final_outcome::unknown);
}

// Guards against a second run of a request that may have run already.
TEST(fallback, not_used_after_unknown_result)
{
    one_request r(true);
    r.step({attempt_event_kind::unknown, 1, "worker-silent"});
    EXPECT_EQ(r.only(), attempt_action_kind::refuse);
    EXPECT_EQ(r.state.outcome, final_outcome::unknown);
}

// Guards against losing the gate's reason when no suspect is available.
TEST(fallback, keeps_gate_reason_without_candidate)
{
    one_request r(true);
    r.step({attempt_event_kind::not_run, 1, "deadline-short"});
    r.step({attempt_event_kind::not_run, 2, "deadline-short"});
    r.step({attempt_event_kind::no_worker, 3, ""});
    EXPECT_EQ(r.only(), attempt_action_kind::refuse);
    EXPECT_EQ(r.state.reason, "deadline-short");
}

// Guards against sending a request that crashes backend servers to another one.
TEST(quarantined_request, is_not_retried)
{
    one_request r(true);
    r.step({attempt_event_kind::quarantined, 1, "quarantined"});
    EXPECT_EQ(r.only(), attempt_action_kind::refuse);
    EXPECT_EQ(r.state.outcome, final_outcome::not_run);

    // The first attempt may have run, so the outcome is unknown.
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
