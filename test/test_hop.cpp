// Encoding of the header field between nodes: round trips and malformed input.
#include "balance/notice_memory.hpp"
#include "base/text_func.hpp"
#include "node/hop_type.hpp"
#include "platform/dialect.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jasminetray {
namespace {

TEST(hop, request_round_trip)
{
    EXPECT_TRUE(rc::check("round trip", [] {
        hop_request r;
        r.attempt = {
            {static_cast<node_id>(*rc::gen::arbitrary<std::uint64_t>()),
             *rc::gen::arbitrary<std::uint64_t>()},
            *rc::gen::inRange<std::uint32_t>(1, 9)};
        r.worker = static_cast<worker_id>(*rc::gen::arbitrary<std::uint64_t>());
        r.idempotent = *rc::gen::arbitrary<bool>();
        r.may_probe = *rc::gen::arbitrary<bool>();
        r.entry_stopping = *rc::gen::arbitrary<bool>();
        r.may_move = *rc::gen::arbitrary<bool>();
        r.streamed = *rc::gen::arbitrary<bool>();
        r.priority = *rc::gen::inRange(0, 1000);
        r.pressure = *rc::gen::inRange(0, 256) * pressure_unit;
        r.centre = *rc::gen::arbitrary<std::uint32_t>();
        r.remaining = *rc::gen::inRange<span_us>(0, 60 * us_per_s);
        r.elapsed = *rc::gen::inRange<span_us>(0, 60 * us_per_s);
        r.target = *rc::gen::inRange<span_us>(0, 60 * us_per_s);
        if (*rc::gen::arbitrary<bool>())
            r.limit = {{*rc::gen::inRange(0, 9999) / 1000.0,
                        *rc::gen::inRange<span_us>(0, 6000) * 10 * us_per_ms}};
        else if (*rc::gen::arbitrary<bool>())
            r.leaving_age =
                *rc::gen::inRange<span_us>(0, 360000) * 10 * us_per_ms;
        r.boot = static_cast<boot_id>(*rc::gen::inRange<std::uint64_t>(1, 99));
        r.stamp = *rc::gen::inRange<mono_us>(0, INT64_MAX);
        const auto back = parse_hop_request(to_text(r));
        RC_ASSERT(back.has_value());
        RC_ASSERT(back->attempt == r.attempt);
        RC_ASSERT(back->worker == r.worker);
        RC_ASSERT(back->idempotent == r.idempotent);
        RC_ASSERT(back->may_probe == r.may_probe);
        RC_ASSERT(back->entry_stopping == r.entry_stopping);
        RC_ASSERT(back->may_move == r.may_move);
        RC_ASSERT(back->streamed == r.streamed);
        RC_ASSERT(back->priority == r.priority);
        RC_ASSERT(back->pressure == r.pressure);
        RC_ASSERT(back->centre == r.centre);
        RC_ASSERT(back->remaining == r.remaining);
        RC_ASSERT(back->elapsed == r.elapsed);
        RC_ASSERT(back->target == r.target);
        RC_ASSERT(back->leaving_age == r.leaving_age);
        RC_ASSERT(back->limit.has_value() == r.limit.has_value());
        if (r.limit) {
            RC_ASSERT(back->limit->age == r.limit->age);
            RC_ASSERT(std::abs(back->limit->rate - r.limit->rate) < 1e-9);
        }
        if (!r.idempotent) {
            RC_ASSERT(back->boot == r.boot);
            RC_ASSERT(back->stamp == r.stamp);
        }
    }));
}

// Guards against requests that a former build can't read during a roll: it
// reads the same number of parts and tests single flags.
TEST(hop, reported_limit_adds_no_part)
{
    hop_request r;
    r.attempt = {{node_id{1}, 2}, 1};
    r.idempotent = true;
    const auto parts = split(to_text(r), ',');
    r.limit = reported_limit{1e9, 1000000 * us_per_s};
    const auto with_limit = split(to_text(r), ',');
    ASSERT_EQ(with_limit.size(), parts.size());
    constexpr std::size_t flags = 2; // part
    EXPECT_EQ(*parse_hex(with_limit[flags]) & 15U, *parse_hex(parts[flags]));
    EXPECT_TRUE(parse_hop_request(to_text(r)).has_value());
}

// Guards against a former build that takes the age for a limit.
TEST(hop, reported_leaving_adds_no_part_and_no_limit)
{
    hop_request r;
    r.attempt = {{node_id{1}, 2}, 1};
    r.idempotent = true;
    const auto parts = split(to_text(r), ',');
    r.limit = reported_limit{2, us_per_s};
    r.leaving_age = 1000000 * us_per_s;
    const auto with_leaving = split(to_text(r), ',');
    ASSERT_EQ(with_leaving.size(), parts.size());
    constexpr std::size_t flags = 2; // part
    EXPECT_EQ(*parse_hex(with_leaving[flags]) & 31U, *parse_hex(parts[flags]));
    const auto back = parse_hop_request(to_text(r));
    ASSERT_TRUE(back && back->leaving_age);
    EXPECT_GT(*back->leaving_age, noted_leaving_ttl);
    EXPECT_FALSE(back->limit.has_value());
}

// Guards against a former build that takes a pressure for a priority, or the
// flag of a move for a limit.
TEST(hop, former_build_reads_the_same_priority_and_no_limit)
{
    hop_request r;
    r.attempt = {{node_id{1}, 2}, 1};
    r.idempotent = true;
    const auto parts = split(to_text(r), ',');
    r.pressure = 100; // sent as the highest
    r.may_move = true;
    const auto with_both = split(to_text(r), ',');
    ASSERT_EQ(with_both.size(), parts.size());
    constexpr std::size_t flags = 2; // parts
    constexpr std::size_t priority = 3;
    EXPECT_EQ(*parse_hex(with_both[flags]) & 63U, *parse_hex(parts[flags]));
    EXPECT_EQ(*parse_hex(with_both[priority]) & INT32_MAX,
              *parse_hex(parts[priority]) & INT32_MAX);
    const auto back = parse_hop_request(to_text(r));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->pressure, 255 * pressure_unit);
    EXPECT_FALSE(back->limit || back->leaving_age);
}

// Guards against a team that presses, or work that moves, by the text of a
// former build.
TEST(hop, text_of_a_former_build_has_no_pressure_and_no_move)
{
    const auto r = parse_hop_request(to_text(attempt_id{{node_id{1}, 2}, 1}) +
                                     ",9,1,5,abc,def,f4240,64,1e8480");
    ASSERT_TRUE(r);
    EXPECT_EQ(r->priority, 5);
    EXPECT_EQ(r->pressure, 0);
    EXPECT_FALSE(r->may_move);
}

TEST(hop, answer_round_trip)
{
    hop_answer a;
    a.echo = 0xdeadbeef;
    a.outcome = hop_outcome::not_run;
    a.reached = true;
    a.suspect = true;
    a.takes_streams = true;
    a.load = 1.25;
    a.baseline_work = 520 * us_per_ms;
    a.failure_percent = 93;
    a.severity = 40;
    a.retry_after = 700 * us_per_ms;
    a.boot = static_cast<boot_id>(5);
    a.stamp = 77;
    for (const char* reason : {"", "queue-full"}) {
        a.reason = reason;
        const auto back = parse_hop_answer(to_text(a));
        ASSERT_TRUE(back) << to_text(a);
        EXPECT_EQ(to_text(*back), to_text(a));
        EXPECT_EQ(back->reason, reason);
    }
}

TEST(hop, malformed_text_is_rejected)
{
    for (const char* text : {"", "a", "x,1,2,3,4,5,6,7,-", "a,1,2,3",
                             "n,1,zz,3,4,5,6,7,-", "a,1,0,0,0,0,0,0,-,5"}) {
        EXPECT_FALSE(parse_hop_answer(text)) << text;
        EXPECT_FALSE(parse_hop_request(text)) << text;
    }
}

TEST(dialect, all_platform_field_names_are_set)
{
    const auto d = make_platform_dialect();
    EXPECT_TRUE(d.preserve_request_id);
    EXPECT_FALSE(d.explain);
    for (const auto name :
         {d.request, d.deadline, d.not_run, d.load, d.worker, d.expected_worker,
          d.caller_service, d.response_seal})
        EXPECT_FALSE(name.empty());
}

TEST(hop, retry_loan_round_trip)
{
    const retry_loan loan{static_cast<service_id>(UINT64_MAX), 3};
    const auto back = parse_retry_loan(to_text(loan));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->service, loan.service);
    EXPECT_EQ(back->count, loan.count);
    EXPECT_FALSE(back->hedges);
    const auto lent = parse_retry_loan(to_text(retry_loan{{}, 8, true}));
    ASSERT_TRUE(lent);
    EXPECT_EQ(lent->count, 8);
    EXPECT_TRUE(lent->hedges);
    EXPECT_FALSE(parse_retry_loan("r,1"));
    EXPECT_FALSE(parse_retry_loan("r,1,2,3"));
    EXPECT_FALSE(parse_retry_loan("s,1,2"));
    EXPECT_FALSE(parse_retry_loan("r,x,2"));
}

} // namespace
} // namespace jasminetray
