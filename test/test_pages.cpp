// Tests of generated pages, the event log, settings and the wire format.
#include "base/id_type.hpp"
#include "config/node_settings.hpp"
#include "event/event_log.hpp"
#include "event/log_writer.hpp"
#include "node/settings_reload.hpp"
#include "table/event_table.hpp"
#include "wire/wire_func.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <set>
#include <sstream>
#include <unistd.h>

namespace jasminetray {
namespace {

std::string read_page(const std::string& name)
{
    std::ifstream in(std::string(JASMINETRAY_SOURCE_DIR) + "/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

TEST(pages, events_page_matches_event_table)
{
    EXPECT_EQ(read_page("docs/EVENTS.md"), event_catalogue());
}

TEST(pages, operations_page_contains_settings_table)
{
    EXPECT_NE(read_page("docs/OPERATIONS.md").find(settings_reference()),
              std::string::npos);
}

TEST(events, numbers_and_names_are_unique)
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (const auto& r : event_table) {
        EXPECT_TRUE(numbers.insert(event_number(r.id)).second);
        EXPECT_TRUE(names.insert(r.name).second);
        EXPECT_EQ(find_event_row(r.id).name, r.name);
    }
}

TEST(events, rings_are_bounded_and_report_overwrites)
{
    event_log log({4, 2, 0});
    for (int n = 0; n < 10; ++n)
        log.write(event_id::request_routed, "r" + std::to_string(n), "");
    log.write(event_id::worker_ejected, "w", "evidence=1");
    EXPECT_EQ(log.find(event_family::routing, "", 100).size(), 4U);
    EXPECT_EQ(log.last_overwritten(event_family::routing), 6U);
    EXPECT_EQ(log.find(event_family::health, "w", 100).size(), 1U);
    EXPECT_EQ(log.dropped_lines(), 11U);
}

// A log reader that stops reading fills the pipe, which must not block the
// request thread. Dropped lines are counted and reported in the log.
TEST(events, stalled_log_reader_does_not_block)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    constexpr std::size_t buffer_size = 65536;
    constexpr int lines = 4000; // exceeds pipe and buffer
    log_writer writer(ends[1], buffer_size);
    event_log log({4, 2, lines + 1}, &writer);
    for (int n = 0; n < lines; ++n)
        log.write(event_id::worker_ejected, "w", std::string(60, 'x'));
    EXPECT_GT(writer.dropped_lines(), 0U);
    std::string text;
    std::array<char, 4096> buf{};
    while (text.find("reason=output-blocked") == std::string::npos) {
        const auto n = ::read(ends[0], buf.data(), buf.size());
        ASSERT_GT(n, 0);
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
    EXPECT_NE(text.find("worker_ejected w config=0"), std::string::npos);
}

// The platform rewrites the settings file without a signal. A file that is
// missing while it is being replaced does not count as a change.
TEST(settings, file_change_is_detected)
{
    const auto path = ::testing::TempDir() + "jasminetray-watched-" +
                      std::to_string(getpid()) + ".ini";
    std::ofstream(path) << "[node]\nname = a\n";
    watched_file file(path);
    EXPECT_FALSE(file.changed());
    std::filesystem::remove(path);
    EXPECT_FALSE(file.changed());
    std::ofstream(path) << "[node]\nname = longer\n";
    EXPECT_TRUE(file.changed());
    EXPECT_FALSE(file.changed());
    std::filesystem::remove(path);
}

// Long requests must not be cut at a fixed stop_ms if the platform grants a
// longer grace period.
TEST(settings, stop_timeout_follows_grace_period)
{
    node_settings s;
    EXPECT_EQ(stop_timeout_for(s), s.stop_timeout);
    s.hosted.grace = 10 * us_per_s;
    EXPECT_GT(stop_timeout_for(s), 9 * us_per_s);
    EXPECT_LT(stop_timeout_for(s), 10 * us_per_s - 500 * us_per_ms);
    const auto page = read_page("deploy/node.ini.template");
    EXPECT_NE(page.find("grace_s = {{Bounds.GraceS}}"), std::string::npos);
    EXPECT_EQ(page.find("stop_ms"), std::string::npos);
}

TEST(identifiers, round_trip_through_text)
{
    EXPECT_TRUE(rc::check(
        [](std::uint64_t entry, std::uint64_t seq, std::uint32_t count) {
            const attempt_id a{{static_cast<node_id>(entry), seq},
                               count == 0 ? 1 : count};
            RC_ASSERT(parse_attempt_id(to_text(a)) == a);
        }));
    EXPECT_FALSE(parse_attempt_id("nonsense"));
    EXPECT_FALSE(parse_request_id(""));
}

gossip_message sample()
{
    gossip_message m;
    m.kind = gossip_kind::update;
    m.sender = {node_id{3}, 4, 5};
    node_record r;
    r.id = node_id{3};
    r.name = "fukuoka-1";
    r.workers.push_back(
        {worker_id{1}, service_id{2}, 6, 100, true, 0, centre_id{}, 4000});
    m.records.push_back(r);
    return m;
}

TEST(wire, message_round_trips)
{
    const cluster_keys keys{1, {"first key of the test"}};
    wire_error error{};
    const auto m = decode_message(encode_message(sample(), keys), keys, error);
    ASSERT_TRUE(m);
    EXPECT_EQ(m->records[0].name, "fukuoka-1");
    EXPECT_TRUE(m->records[0].workers[0].draining);
    EXPECT_EQ(m->records[0].workers[0].warm_up_ms, 4000);
}

// During key rotation, datagrams signed with either key must be accepted.
TEST(wire, both_keys_are_valid_during_rotation)
{
    const cluster_keys old_only{1, {"the old key of the test"}};
    const cluster_keys both{
        1, {"the new key of the test", "the old key of the test"}};
    wire_error error{};
    EXPECT_TRUE(
        decode_message(encode_message(sample(), old_only), both, error));
    EXPECT_FALSE(
        decode_message(encode_message(sample(), both), old_only, error));
    EXPECT_EQ(error, wire_error::bad_mac);
}

TEST(wire, damaged_datagrams_are_dropped)
{
    const cluster_keys keys{1, {"first key of the test"}};
    EXPECT_TRUE(rc::check([&] {
        auto bytes = encode_message(sample(), keys);
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(bytes[at] ^ 0x40);
        wire_error error{};
        RC_ASSERT(!decode_message(bytes, keys, error));
        RC_ASSERT(!decode_message(std::string_view(bytes).substr(0, cut), keys,
                                  error));
        RC_ASSERT(error != wire_error::none);
    }));
}

// A correctly signed datagram with invalid content is rejected as malformed.
TEST(wire, signed_invalid_message_is_rejected)
{
    const cluster_keys keys{1, {"first key of the test"}};
    gossip_message big = sample();
    big.records[0].workers.resize(max_workers + 1);
    wire_error error{};
    EXPECT_FALSE(decode_message(encode_message(big, keys), keys, error));
    EXPECT_EQ(error, wire_error::out_of_bounds);
}

} // namespace
} // namespace jasminetray
