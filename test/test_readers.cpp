// Who follows the configuration in the store: a few nodes of each data centre,
// and any node that hears of none of them.
#include "member/member_cmd.hpp"
#include "member/member_query.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr std::size_t nodes = 30;
constexpr mono_us start = 100 * us_per_s;

node_record record_of(std::size_t n, centre_id centre)
{
    node_record r;
    r.id = static_cast<node_id>(n + 1);
    r.generation = 1;
    r.sequence = 1;
    r.name = "node-" + std::to_string(n);
    r.centre = centre;
    r.address.ip = static_cast<std::uint32_t>(n + 1);
    return r;
}

/// The table of one node that knows all others of its data centre.
member_table table_of(std::size_t n, random_state& rng)
{
    auto t = make_member_table(record_of(n, centre_id{1}), {}, {});
    gossip_message m;
    m.kind = gossip_kind::update;
    m.centre = centre_id{1};
    for (std::size_t other = 0; other < nodes; ++other) {
        if (other != n)
            m.records.push_back(record_of(other, centre_id{1}));
    }
    m.sender = summary_of(m.records.front());
    member_receive(t, m, 1, 1, rng, start);
    member_tick(t, rng, start);
    return t;
}

gossip_message word_of(std::size_t n, centre_id centre)
{
    gossip_message m;
    m.kind = gossip_kind::load;
    m.sender = summary_of(record_of(n, centre));
    m.centre = centre;
    m.reads_store = true;
    return m;
}

/// Place of a node that is no ranked reader, the last of all.
std::size_t some_other(const member_table& t)
{
    for (std::size_t n = nodes; n-- > 0;) {
        const auto id = static_cast<node_id>(n + 1);
        if (std::find(t.readers.begin(), t.readers.end(), id) ==
            t.readers.end())
            return n;
    }
    return 0;
}

TEST(readers, all_agree_on_a_few)
{
    random_state rng{3};
    std::size_t reading = 0;
    for (std::size_t n = 0; n < nodes; ++n) {
        auto t = table_of(n, rng);
        t.reader_heard_at = start; // as if they were heard
        reading += should_read_store(t, start) ? 1 : 0;
    }
    EXPECT_EQ(reading, member_policy{}.readers);
}

// A change of the configuration does not reach a data centre: its readers are
// frozen or cut off, and the others wait for their word. Each node that hears
// nothing of a reader for a moment reads the store itself.
TEST(readers, their_silence_is_made_up_for)
{
    random_state rng{3};
    const auto n = some_other(table_of(0, rng));
    auto t = table_of(n, rng);
    EXPECT_TRUE(should_read_store(t, start)); // nobody was heard yet
    const auto reader = static_cast<std::size_t>(t.readers.front()) - 1;
    member_receive(t, word_of(reader, centre_id{1}), 1, 1, rng, start);
    EXPECT_FALSE(should_read_store(t, start + us_per_s));
    EXPECT_TRUE(should_read_store(t, start + 3 * us_per_s / 2));
}

// With all ranked readers dead, stand-ins must not stop at the word of each
// other: the first of them stays.
TEST(readers, of_two_stand_ins_one_stays)
{
    random_state rng{3};
    const auto n = some_other(table_of(0, rng));
    auto late = table_of(n, rng);
    std::size_t before = 0;
    while (std::find(late.readers.begin(), late.readers.end(),
                     static_cast<node_id>(before + 1)) != late.readers.end())
        ++before;
    auto early = table_of(before, rng);
    member_receive(late, word_of(before, centre_id{1}), 1, 1, rng, start);
    member_receive(early, word_of(n, centre_id{1}), 1, 1, rng, start);
    EXPECT_FALSE(should_read_store(late, start));
    EXPECT_TRUE(should_read_store(early, start));
}

/// Calls of one node in an outage, each of which fails at once.
int calls_in(span_us outage, bool ranked)
{
    int calls = 0;
    span_us pause = 0;
    for (span_us at = 0; at < outage; at += pause) {
        ++calls;
        pause = reader_backoff(pause, ranked);
    }
    return calls;
}

// The store is out, and when it returns it is out again: nobody hears of a
// reader, so every node of the fleet asks it each second. Those that nobody
// relies on ask ever less often.
TEST(readers, stand_ins_spare_a_store_that_is_out)
{
    constexpr span_us outage = 30 * us_per_s;
    EXPECT_GE(calls_in(outage, true), 30);
    EXPECT_LE(calls_in(outage, false), 14);
    EXPECT_LE(reader_backoff(60 * us_per_s, true), us_per_s);
}

TEST(readers, of_another_data_centre_count_for_nothing_here)
{
    random_state rng{3};
    auto t = table_of(some_other(table_of(0, rng)), rng);
    member_receive(t, word_of(0, centre_id{2}), 1, 1, rng, start);
    EXPECT_TRUE(should_read_store(t, start));
}

} // namespace
} // namespace jasminetray
