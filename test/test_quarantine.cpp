// Quarantine: crash marks, their gossip and store rows.
#include "member/member_query.hpp"
#include "quarantine/quarantine_cmd.hpp"
#include "quarantine/quarantine_gossip.hpp"
#include "quarantine/quarantine_query.hpp"
#include "quarantine/quarantine_row.hpp"
#include "wire/wire_func.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jasminetray {

namespace {

constexpr mono_us start = 1000 * us_per_s;
constexpr auto bad = static_cast<fingerprint>(1);
constexpr auto good = static_cast<fingerprint>(2);

process_id process(std::uint64_t n)
{
    return static_cast<process_id>(n);
}

/// Nodes that exchange messages with random loss.
struct simulated_fleet
{
    explicit simulated_fleet(std::size_t n) : books(n)
    {
    }

    void send(std::size_t to, std::size_t from, const quarantine_message& m,
              mono_us now)
    {
        if (random_unit(rng) < loss)
            return;
        quarantine_apply_reports(books[to], m.reports, now);
        for (const auto& reply : quarantine_reply(books[to], m, rng, now))
            send(from, to, reply, now);
    }

    void tick(mono_us now)
    {
        for (std::size_t k = 0; k < books.size(); ++k) {
            const auto due = quarantine_tick(books[k], now);
            const auto other = [&] {
                return (k + 1 + random_below(rng, books.size() - 1)) %
                       books.size();
            };
            for (const auto& m : due.push) {
                for (std::size_t f = 0; f < books[k].policy.fanout; ++f)
                    send(other(), k, m, now);
            }
            if (due.compare)
                send(other(), k, quarantine_compare(books[k]), now);
        }
    }

    std::size_t count_quarantining(fingerprint f) const
    {
        std::size_t n = 0;
        for (const auto& b : books)
            n += is_quarantined(b, f) ? 1 : 0;
        return n;
    }

    std::vector<quarantine_book> books;
    random_state rng;
    double loss = 0;
};

} // namespace

// Guards against a request that crashes one process after another.
TEST(quarantine, begins_after_several_crashes)
{
    quarantine_book b;
    EXPECT_TRUE(quarantine_record_crash(b, process(1), {bad, good}, 1).empty());
    EXPECT_TRUE(quarantine_record_crash(b, process(2), {bad}, 2).empty());
    EXPECT_TRUE(is_suspect(b, bad));
    EXPECT_FALSE(is_quarantined(b, bad));
    EXPECT_EQ(quarantine_record_crash(b, process(3), {bad}, 3),
              std::vector<fingerprint>{bad});
    EXPECT_TRUE(is_quarantined(b, bad));
    EXPECT_FALSE(is_quarantined(b, good));
}

// Guards against counting a crash more than once.
TEST(quarantine, process_counts_once)
{
    quarantine_book b;
    for (int k = 0; k < 5; ++k)
        quarantine_record_crash(b, process(1), {bad}, k);
    EXPECT_EQ(crashes_of(b, bad), 1U);
    EXPECT_EQ(b.marks, 1U);
}

// Guards against refusing frequent requests that happen to run during crashes.
TEST(quarantine, answer_clears_earlier_marks)
{
    quarantine_book b;
    quarantine_record_crash(b, process(1), {good}, 1);
    quarantine_record_crash(b, process(2), {good}, 2);
    EXPECT_TRUE(quarantine_clear(b, good));
    EXPECT_FALSE(quarantine_clear(b, good));
    quarantine_record_crash(b, process(3), {good}, 3);
    EXPECT_FALSE(is_quarantined(b, good));
    // Late reports of cleared marks change nothing.
    quarantine_apply_reports(b, {{good, process(1), 0, false}}, 4);
    EXPECT_EQ(crashes_of(b, good), 1U);
}

// Guards against a flood of marks that evicts those of a quarantined request.
TEST(quarantine, survives_a_flood_of_marks)
{
    quarantine_book b;
    b.policy.max_marks = 100;
    for (std::uint64_t k = 0; k < 3; ++k)
        quarantine_record_crash(b, process(k), {bad}, 1);
    for (std::uint64_t k = 10; k < 1000; ++k)
        quarantine_record_crash(b, process(k), {static_cast<fingerprint>(k)},
                                static_cast<mono_us>(k));
    EXPECT_EQ(b.marks, 100U);
    EXPECT_TRUE(is_quarantined(b, bad));
    EXPECT_TRUE(is_suspect(b, static_cast<fingerprint>(999)));
}

TEST(quarantine, marks_expire)
{
    quarantine_book b;
    for (std::uint64_t k = 0; k < 3; ++k)
        quarantine_record_crash(b, process(k), {bad}, start);
    quarantine_expire(b, start + b.policy.mark_ttl - 1);
    EXPECT_TRUE(is_quarantined(b, bad));
    quarantine_expire(b, start + b.policy.mark_ttl);
    EXPECT_TRUE(b.marks_by_request.empty());
    EXPECT_EQ(b.digest, quarantine_digest{});
    EXPECT_EQ(b.marks, 0U);
}

// Guards against nodes that diverge after the same reports in another order,
// repeated, or received from each other.
TEST(quarantine, nodes_converge_in_any_report_order)
{
    const bool held = rc::check([] {
        const auto steps = *rc::gen::container<std::vector<int>>(
            rc::gen::inRange(0, 4 * 3 * 2));
        quarantine_book a;
        quarantine_book b;
        mono_us now = start;
        for (const auto s : steps) {
            const auto f = static_cast<fingerprint>(s % 3);
            const auto p = process(static_cast<std::uint64_t>(s / 3 % 4));
            auto& at = s / 12 == 0 ? a : b;
            now += us_per_ms;
            if (s % 5 == 0)
                quarantine_clear(at, f);
            else
                quarantine_record_crash(at, p, {f}, now);
        }
        const auto all = [&](const quarantine_book& x) {
            std::vector<crash_report> reports;
            for (std::uint64_t f = 0; f < 3; ++f) {
                for (const auto& r :
                     reports_of(x, static_cast<fingerprint>(f), now))
                    reports.push_back(r);
            }
            return reports;
        };
        const auto of_a = all(a);
        quarantine_apply_reports(a, all(b), now);
        quarantine_apply_reports(b, of_a, now);
        RC_ASSERT(a.digest == b.digest);
        RC_ASSERT(a.marks == b.marks);
        for (std::uint64_t f = 0; f < 3; ++f)
            RC_ASSERT(is_quarantined(a, static_cast<fingerprint>(f)) ==
                      is_quarantined(b, static_cast<fingerprint>(f)));
    });
    EXPECT_TRUE(held);
}

// Guards against a missed quarantine when each crash is seen by another node.
TEST(quarantine, reaches_all_nodes_despite_message_loss)
{
    constexpr span_us stable = 3 * us_per_s;
    for (const std::size_t size : {8U, 100U, 300U}) {
        simulated_fleet f(size);
        f.loss = 0.3;
        for (std::size_t k = 0; k < 3; ++k)
            quarantine_record_crash(f.books[k], process(k), {bad, good}, start);
        for (mono_us now = start; now < start + stable; now += 20 * us_per_ms)
            f.tick(now);
        EXPECT_EQ(f.count_quarantining(bad), size);
    }
}

// Guards against a restarted node that admits requests that others refuse.
TEST(quarantine, restarted_node_learns_marks_from_any_node)
{
    simulated_fleet f(30);
    for (std::uint64_t k = 0; k < 3; ++k)
        quarantine_record_crash(f.books[0], process(k), {bad}, start);
    mono_us now = start;
    for (; now < start + 10 * us_per_s; now += 20 * us_per_ms)
        f.tick(now);
    f.books[7] = {};
    const auto began = now;
    for (; now < began + us_per_s; now += 20 * us_per_ms)
        f.tick(now);
    EXPECT_TRUE(is_quarantined(f.books[7], bad));
}

// Guards against expired marks that nodes pass back and forth forever.
TEST(quarantine, expired_reports_are_ignored)
{
    quarantine_book b;
    quarantine_apply_reports(b, {{bad, process(1), b.policy.mark_ttl, false}},
                             start);
    EXPECT_TRUE(b.marks_by_request.empty());
}

TEST(quarantine, message_fits_a_datagram_and_round_trips)
{
    quarantine_book b;
    std::vector<fingerprint> running;
    for (std::uint64_t k = 0; k < b.policy.max_reports; ++k)
        running.push_back(static_cast<fingerprint>(k * 0x9e3779b97f4a7c15ULL));
    quarantine_record_crash(b, process(0xfedcba9876543210ULL), running, start);
    const auto messages = quarantine_announce(b, running, start + us_per_s);
    ASSERT_EQ(messages.size(), 1U);
    gossip_message m;
    m.kind = gossip_kind::quarantine;
    m.quarantine = messages.front();
    const auto digest = quarantine_compare(b).digest;
    m.quarantine.digest = digest;
    m.quarantine.reply = true;
    const cluster_keys keys{1, {"key"}};
    const auto bytes = encode_message(m, keys);
    EXPECT_LT(bytes.size(), 1400U); // one packet
    wire_error last{};
    const auto read = decode_message(bytes, keys, last);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->quarantine.reports.size(), running.size());
    EXPECT_EQ(read->quarantine.reports.front().age, us_per_s);
    EXPECT_EQ(read->quarantine.digest, digest);
    EXPECT_TRUE(read->quarantine.reply);
}

// Guards against losing the quarantine when the whole fleet restarts.
TEST(quarantine, restored_from_stored_row)
{
    constexpr std::uint64_t wall_ms = 1'700'000'000'000;
    quarantine_book b;
    for (std::uint64_t k = 1; k <= 4; ++k)
        quarantine_record_crash(b, process(k), {bad}, start);
    const auto text = quarantine_row(b, bad, start + us_per_s, wall_ms);
    const auto reports =
        parse_quarantine_row(to_text(bad), text, wall_ms + 1000);
    ASSERT_TRUE(reports);
    ASSERT_EQ(reports->size(), 4U);
    EXPECT_EQ(reports->front().age, 2 * us_per_s);
    quarantine_book restored;
    quarantine_apply_reports(restored, *reports, start);
    EXPECT_TRUE(is_quarantined(restored, bad));
}

// Guards against accepting malformed rows.
TEST(quarantine, malformed_rows_are_rejected)
{
    EXPECT_FALSE(parse_quarantine_row("not hex", "1 2", 5));
    EXPECT_FALSE(parse_quarantine_row("1", "", 5));
    EXPECT_FALSE(parse_quarantine_row("1", "soon 2", 5));
    EXPECT_FALSE(parse_quarantine_row("1", "-1 2", 5));
    EXPECT_FALSE(parse_quarantine_row("1", "1 2 x", 5));
    // A row from a clock that was ahead gives an age of zero.
    const auto reports = parse_quarantine_row("1", "99 2", 5);
    ASSERT_TRUE(reports);
    EXPECT_EQ(reports->front().age, 0);
    EXPECT_TRUE(rc::check([] {
        const auto text = *rc::gen::arbitrary<std::string>();
        parse_quarantine_row("1", text, 5);
    }));
}

// Guards against messages of other clusters and messages with too many reports.
TEST(quarantine, out_of_bounds_messages_are_rejected)
{
    gossip_message m;
    m.kind = gossip_kind::quarantine;
    m.quarantine.digest.assign(quarantine_buckets - 1, 7);
    const cluster_keys keys{1, {"key"}};
    wire_error last{};
    EXPECT_FALSE(decode_message(encode_message(m, keys), keys, last));
    EXPECT_EQ(last, wire_error::out_of_bounds);
    m.quarantine.digest.clear();
    m.quarantine.reports.resize(1000);
    EXPECT_FALSE(decode_message(encode_message(m, keys), keys, last));
    EXPECT_EQ(last, wire_error::out_of_bounds);
    m.quarantine.reports.clear();
    EXPECT_FALSE(decode_message(encode_message(m, keys), {2, {"key"}}, last));
    EXPECT_EQ(last, wire_error::other_cluster);
}

} // namespace jasminetray
