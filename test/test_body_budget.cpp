// The budget of bytes for bodies, and requests whose body is gone.
#include "attempt/attempt_func.hpp"
#include "limit/limit_type.hpp"
#include "memory/body_budget_func.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>

namespace jasminetray {
namespace {

// Guards against bodies that take more than the budget, and against bytes that
// are never given back or given back twice.
TEST(body_budget, is_kept_and_given_back)
{
    EXPECT_TRUE(rc::check("budget", [] {
        body_budget b;
        b.limit = *rc::gen::inRange<std::uint64_t>(0, 1000);
        std::map<body_hold_id, std::uint64_t> mine;
        std::uint64_t sum = 0;
        const auto steps = *rc::gen::container<std::vector<std::uint64_t>>(
            rc::gen::inRange<std::uint64_t>(0, 400));
        for (const auto x : steps) {
            if (x % 3 == 0 && !mine.empty()) {
                const auto it = std::next(
                    mine.begin(), static_cast<std::ptrdiff_t>(x % mine.size()));
                sum -= it->second;
                body_release(b, it->first);
                body_release(b, it->first);
                mine.erase(it);
            } else if (const auto id = body_reserve(b, x)) {
                RC_ASSERT(mine.emplace(*id, x).second);
                sum += x;
            } else {
                RC_ASSERT(sum + x > b.limit);
            }
            RC_ASSERT(b.held == sum);
            RC_ASSERT(b.held <= b.limit);
            RC_ASSERT(b.peak >= b.held && b.peak <= b.limit);
        }
        for (const auto& [id, bytes] : mine)
            body_release(b, id);
        RC_ASSERT(b.held == 0U && b.holds.empty());
    }));
}

// Guards against a retry or hedge of a request whose body went to an attempt:
// it would run with a part of the body.
TEST(body_spent, leaves_no_further_attempt)
{
    for (const auto end :
         {attempt_event_kind::not_run, attempt_event_kind::unsent,
          attempt_event_kind::lost, attempt_event_kind::unknown,
          attempt_event_kind::timer}) {
        attempt_policy policy;
        policy.idempotent = policy.use_fallback = true;
        auto r = make_request(policy, 10 * us_per_s);
        retry_budget budget;
        budget.granted = 100;
        auto done = attempt_step(r, {attempt_event_kind::begin, 0, ""}, budget,
                                 0, attempt_safeguards{});
        EXPECT_EQ(done.size(), 1U);
        r.body_spent = true;
        attempt_step(r, {end, 1, "test"}, budget, us_per_s,
                     attempt_safeguards{});
        EXPECT_EQ(r.attempt_states.size(), 1U);
        const bool proven = end == attempt_event_kind::not_run ||
                            end == attempt_event_kind::unsent;
        EXPECT_EQ(r.outcome, proven ? final_outcome::not_run
                             : end == attempt_event_kind::timer
                                 ? final_outcome::open
                                 : final_outcome::unknown);
    }
}

} // namespace
} // namespace jasminetray
