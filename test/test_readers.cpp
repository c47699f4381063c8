// Tests of the choice of nodes that follow the configuration in the store.
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

/// Returns the table of a node that knows all others.
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

gossip_message datagram_from(std::size_t n, centre_id centre)
{
    gossip_message m;
    m.kind = gossip_kind::load;
    m.sender = summary_of(record_of(n, centre));
    m.centre = centre;
    m.reads_store = true;
    return m;
}

/// Returns the index of the last node that is not a ranked reader.
std::size_t find_unranked_node(const member_table& t)
{
    for (std::size_t n = nodes; n-- > 0;) {
        const auto id = static_cast<node_id>(n + 1);
        if (std::find(t.readers.begin(), t.readers.end(), id) ==
            t.readers.end())
            return n;
    }
    return 0;
}

TEST(readers, all_nodes_agree_on_the_readers)
{
    random_state rng{3};
    std::size_t reading = 0;
    for (std::size_t n = 0; n < nodes; ++n) {
        auto t = table_of(n, rng);
        t.reader_seen_at = start;
        reading += should_read_store(t, start) ? 1 : 0;
    }
    EXPECT_EQ(reading, member_policy{}.readers);
}

// When all readers are frozen or cut off, the other nodes must read the store
// themselves, or changes don't reach the data centre.
TEST(readers, nodes_read_the_store_after_a_timeout)
{
    random_state rng{3};
    const auto n = find_unranked_node(table_of(0, rng));
    auto t = table_of(n, rng);
    EXPECT_TRUE(should_read_store(t, start));
    const auto reader = static_cast<std::size_t>(t.readers.front()) - 1;
    member_receive(t, datagram_from(reader, centre_id{1}), 1, 1, rng, start);
    EXPECT_FALSE(should_read_store(t, start + us_per_s));
    EXPECT_TRUE(should_read_store(t, start + 3 * us_per_s / 2));
}

// Without ranked readers, stand-ins must not all stop at each other's
// datagrams.
TEST(readers, the_first_stand_in_keeps_reading)
{
    random_state rng{3};
    const auto n = find_unranked_node(table_of(0, rng));
    auto late = table_of(n, rng);
    std::size_t before = 0;
    while (std::find(late.readers.begin(), late.readers.end(),
                     static_cast<node_id>(before + 1)) != late.readers.end())
        ++before;
    auto early = table_of(before, rng);
    member_receive(late, datagram_from(before, centre_id{1}), 1, 1, rng, start);
    member_receive(early, datagram_from(n, centre_id{1}), 1, 1, rng, start);
    EXPECT_FALSE(should_read_store(late, start));
    EXPECT_TRUE(should_read_store(early, start));
}

int count_calls(span_us outage, bool ranked)
{
    int calls = 0;
    span_us pause = 0;
    for (span_us at = 0; at < outage; at += pause) {
        ++calls;
        pause = reader_backoff(pause, ranked);
    }
    return calls;
}

// Retries of all nodes together must not overload a store that returns.
TEST(readers, stand_ins_back_off_in_an_outage)
{
    constexpr span_us outage = 30 * us_per_s;
    EXPECT_GE(count_calls(outage, true), 30);
    EXPECT_LE(count_calls(outage, false), 14);
    EXPECT_LE(reader_backoff(60 * us_per_s, true), us_per_s);
}

TEST(readers, readers_of_other_data_centres_are_ignored)
{
    random_state rng{3};
    auto t = table_of(find_unranked_node(table_of(0, rng)), rng);
    member_receive(t, datagram_from(0, centre_id{2}), 1, 1, rng, start);
    EXPECT_TRUE(should_read_store(t, start));
}

} // namespace
} // namespace jasminetray
