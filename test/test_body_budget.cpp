// The budget of bytes for bodies, and requests whose body is gone.
#include "attempt/attempt_func.hpp"
#include "limit/limit_type.hpp"
#include "memory/body_budget_func.hpp"

#include <gtest/gtest.h>
#include <map>
#include <numeric>
#include <rapidcheck.h>

namespace jasminetray {
namespace {

body_kind random_kind()
{
    return static_cast<body_kind>(
        *rc::gen::inRange<std::size_t>(0, body_kind_names.size()));
}

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
            const auto kind = random_kind();
            const auto it =
                mine.empty()
                    ? mine.end()
                    : std::next(mine.begin(),
                                static_cast<std::ptrdiff_t>(x % mine.size()));
            if (x % 3 == 0 && it != mine.end()) {
                sum -= it->second;
                body_release(b, it->first);
                body_release(b, it->first);
                RC_ASSERT(!body_resize(b, it->first, x));
                mine.erase(it);
            } else if (x % 3 == 1 && it != mine.end()) {
                const auto of = b.holds.at(it->first).kind;
                const auto rest = sum - it->second;
                if (body_resize(b, it->first, x)) {
                    sum = rest + x;
                    it->second = x;
                } else {
                    RC_ASSERT(x > it->second);
                    RC_ASSERT(rest + x > body_ceiling(b, of));
                }
            } else if (const auto id = body_reserve(b, kind, x)) {
                RC_ASSERT(mine.emplace(*id, x).second);
                sum += x;
                RC_ASSERT(sum <= body_ceiling(b, kind));
            } else {
                RC_ASSERT(sum + x > body_ceiling(b, kind));
            }
            RC_ASSERT(b.held == sum);
            RC_ASSERT(b.held <= b.limit);
            RC_ASSERT(std::accumulate(b.held_by_kind.begin(),
                                      b.held_by_kind.end(),
                                      std::uint64_t{0}) == sum);
            RC_ASSERT(b.peak >= b.held && b.peak <= b.limit);
        }
        for (const auto& [id, bytes] : mine)
            body_release(b, id);
        RC_ASSERT(b.held == 0U && b.holds.empty());
        for (const auto bytes : b.held_by_kind)
            RC_ASSERT(bytes == 0U);
    }));
}

// Guards against large bodies that leave no room for small ones, and held ones
// that leave none for windows.
TEST(body_budget, keeps_room_for_kinds_that_need_little)
{
    body_budget b;
    b.limit = 16 << 20;
    while (body_reserve(b, body_kind::held, 1000000)) {
    }
    EXPECT_TRUE(body_reserve(b, body_kind::window, stream_window_bytes));
    while (body_reserve(b, body_kind::window, stream_window_bytes)) {
    }
    for (int k = 0; k < 100; ++k)
        EXPECT_TRUE(body_reserve(b, body_kind::small, small_body_bytes));
    EXPECT_FALSE(body_reserve(b, body_kind::answer, 1));
}

// Guards against nodes whose callers' bodies take all the room, so that each
// waits for room at the other.
TEST(body_budget, keeps_room_for_bodies_from_nodes)
{
    body_budget b;
    b.limit = 16 << 20;
    while (body_reserve(b, body_kind::held, 1000000)) {
    }
    for (int k = 0; k < 4; ++k)
        EXPECT_TRUE(body_reserve(b, body_kind::peer_held, 1000000));
    while (body_reserve(b, body_kind::window, stream_window_bytes)) {
    }
    for (int k = 0; k < 8; ++k)
        EXPECT_TRUE(
            body_reserve(b, body_kind::peer_window, stream_window_bytes));
    EXPECT_FALSE(body_reserve(b, body_kind::peer_window, stream_window_bytes));
    while (body_reserve(b, body_kind::small, small_body_bytes)) {
    }
    for (int k = 0; k < 64; ++k)
        EXPECT_TRUE(body_reserve(b, body_kind::peer_small, small_body_bytes));
}

// Guards against a body that keeps its room while its sender is idle or sends
// next to nothing, and against one that loses it while it is on its way.
TEST(body_budget, finds_the_longest_idle_sender)
{
    body_budget b;
    b.limit = 16 << 20;
    const auto stopped = *body_reserve(b, body_kind::held, 1000);
    const auto trickling = *body_reserve(b, body_kind::held, 1000);
    const auto sound = *body_reserve(b, body_kind::window, 1000);
    const auto blocked = *body_reserve(b, body_kind::window, 1000);
    mono_us now = 0;
    body_wait(b, stopped, now);
    for (; now < 2 * idle_body_time; now += us_per_s / 10) {
        body_wait(b, trickling, now);
        body_wait(b, sound, now);
        body_arrived(b, trickling, 1, now + us_per_s / 20);
        body_arrived(b, sound, min_progress_bytes, now + us_per_s / 20);
        EXPECT_EQ(find_idle_body(b, now),
                  now < idle_body_time ? std::nullopt : std::optional(stopped));
    }
    body_release(b, stopped);
    EXPECT_FALSE(find_idle_body(b, now)); // it doesn't wait at this moment
    body_wait(b, trickling, now);
    EXPECT_EQ(find_idle_body(b, now), trickling);
    body_release(b, trickling);
    EXPECT_FALSE(find_idle_body(b, now + us_per_s));
    body_release(b, sound);
    body_release(b, blocked);
    EXPECT_EQ(b.held, 0U);
}

// Guards against a state that is logged again and again while bodies come and
// go at the limit.
TEST(body_budget, tells_once_that_it_is_full_and_free)
{
    body_budget b;
    b.limit = 1000;
    const auto id = *body_reserve(b, body_kind::small, 600);
    EXPECT_FALSE(body_note_room(b));
    EXPECT_TRUE(body_note_full(b));
    EXPECT_FALSE(body_note_full(b));
    EXPECT_FALSE(body_note_room(b));
    body_release(b, id);
    EXPECT_TRUE(body_note_room(b));
    EXPECT_FALSE(body_note_room(b));
}

// Guards against a node without the setting that holds bodies without a bound.
TEST(body_budget, has_a_limit_where_nothing_is_set)
{
    constexpr std::uint64_t mb = 1 << 20;
    EXPECT_EQ(body_limit_for(std::nullopt, 0), 16 * mb);
    EXPECT_EQ(body_limit_for(std::nullopt, 260 * mb), 26 * mb);
    EXPECT_EQ(body_limit_for(std::nullopt, 4 * mb), mb);
    EXPECT_EQ(body_limit_for(32 * mb, 260 * mb), 32 * mb);
    EXPECT_EQ(body_limit_for(0, 260 * mb), 0U);
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
