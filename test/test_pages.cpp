// The pages that are printed from tables in the code, and the wire.
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

TEST(pages, events_are_those_of_the_table)
{
    EXPECT_EQ(read_page("docs/EVENTS.md"), event_catalogue());
}

TEST(pages, settings_are_those_of_the_table)
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

TEST(events, rings_are_bounded_and_say_what_is_gone)
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

// Callers of a node get no answer for seconds: whoever reads its log has
// stopped reading, the pipe is full, and the request thread stands in a
// write. A line that cannot be taken is left out and counted, and what is
// read later says how many.
TEST(events, a_reader_that_stops_reading_blocks_nobody)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    constexpr std::size_t room = 65536;
    constexpr int lines = 4000; // a pipe and the room hold some 1,500
    log_writer writer(ends[1], room);
    event_log log({4, 2, lines + 1}, &writer);
    for (int n = 0; n < lines; ++n)
        log.write(event_id::worker_ejected, "w", std::string(60, 'x'));
    EXPECT_GT(writer.left_out(), 0U);
    std::string text;
    std::array<char, 4096> buf{};
    while (text.find("reason=output-blocked") == std::string::npos) {
        const auto n = ::read(ends[0], buf.data(), buf.size());
        ASSERT_GT(n, 0);
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
    EXPECT_NE(text.find("worker_ejected w config=0"), std::string::npos);
}

// The platform moves a VM to another service by writing its settings anew,
// without a signal; the node goes on with the old ones. It looks at the file
// itself, and a file that is away for a moment while it is replaced is none.
TEST(settings, a_file_that_changes_is_noticed)
{
    const auto path = ::testing::TempDir() + "jasminetray-watched.ini";
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

// Callers of long work get a closed connection when a VM is stopped: the node
// cuts it at a time that was written down for another installation. Times that
// the platform tells are taken from there.
TEST(settings, work_at_the_stop_has_until_the_platforms_kill)
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

TEST(identifiers, come_back_from_their_text)
{
    rc::check([](std::uint64_t entry, std::uint64_t seq, std::uint32_t count) {
        const attempt_id a{{static_cast<node_id>(entry), seq},
                           count == 0 ? 1 : count};
        RC_ASSERT(parse_attempt_id(to_text(a)) == a);
    });
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
    r.workers.push_back({worker_id{1}, service_id{2}, 6, 100, true, {}});
    m.records.push_back(r);
    return m;
}

TEST(wire, a_message_comes_back)
{
    const cluster_keys keys{1, {"first key of the test"}};
    wire_error last{};
    const auto m = decode_message(encode_message(sample(), keys), keys, last);
    ASSERT_TRUE(m);
    EXPECT_EQ(m->records[0].name, "fukuoka-1");
    EXPECT_TRUE(m->records[0].workers[0].draining);
}

// While keys are changed node by node, datagrams signed with either arrive.
TEST(wire, two_keys_are_valid_at_once)
{
    const cluster_keys old_only{1, {"the old key of the test"}};
    const cluster_keys both{
        1, {"the new key of the test", "the old key of the test"}};
    wire_error last{};
    EXPECT_TRUE(decode_message(encode_message(sample(), old_only), both, last));
    EXPECT_FALSE(
        decode_message(encode_message(sample(), both), old_only, last));
    EXPECT_EQ(last, wire_error::bad_mac);
}

TEST(wire, damaged_datagrams_are_dropped)
{
    const cluster_keys keys{1, {"first key of the test"}};
    rc::check([&] {
        auto bytes = encode_message(sample(), keys);
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(bytes[at] ^ 0x40);
        wire_error last{};
        RC_ASSERT(!decode_message(bytes, keys, last));
        RC_ASSERT(!decode_message(std::string_view(bytes).substr(0, cut), keys,
                                  last));
        RC_ASSERT(last != wire_error::none);
    });
}

// Someone who has the key sends nonsense: it is malformed, and no more.
TEST(wire, signed_nonsense_is_not_fatal)
{
    const cluster_keys keys{1, {"first key of the test"}};
    gossip_message big = sample();
    big.records[0].workers.resize(max_workers + 1);
    wire_error last{};
    EXPECT_FALSE(decode_message(encode_message(big, keys), keys, last));
    EXPECT_EQ(last, wire_error::out_of_bounds);
}

} // namespace
} // namespace jasminetray
