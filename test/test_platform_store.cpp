// The store's client against the stand-in, over real sockets: each answer of
// the store, and each way in which one stays away, is a result or a typed
// error.
#include "platform/store_client.hpp"
#include "stand_in/store_state.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace jasminetray {
namespace {

constexpr char table[] = "t";
constexpr span_us bound = us_per_s / 2;

/// A stand-in store on a thread of its own.
struct running_store
{
    asio::io_context ctx{1};
    store_state state;
    std::uint16_t port = 0;
    std::thread thread;

    running_store()
    {
        port = serve_stand_in(
            ctx, "127.0.0.1", 0,
            [this](const auto& q, auto& r, auto&, const auto& y) {
                return serve_store(state, q, r, ctx, y);
            });
        thread = std::thread([this] {
            const auto work = asio::make_work_guard(ctx);
            ctx.run();
        });
    }

    ~running_store()
    {
        ctx.stop();
        thread.join();
    }

    store_api client() const
    {
        return make_store_client({"127.0.0.1", port}, bound);
    }

    /// Runs a change on the store's own thread.
    template <typename Change>
    void change(Change c)
    {
        std::atomic<bool> done{false};
        asio::post(ctx, [&] {
            c(state);
            done = true;
        });
        while (!done)
            std::this_thread::yield();
    }
};

row_write write_of(const std::string& key, const std::string& value,
                   std::optional<std::uint64_t> expected = std::nullopt)
{
    return {{table, key}, expected, value, false};
}

TEST(platform_store, rows_are_written_read_and_removed)
{
    running_store s;
    const auto c = s.client();
    store_error last{};
    const std::string bytes("\0\xff any bytes\n", 13);
    EXPECT_TRUE(c.write_rows({write_of("a", bytes, 0)}, last));
    const auto row = c.read_row({table, "a"}, last);
    ASSERT_TRUE(row);
    EXPECT_EQ(row->value, bytes);
    EXPECT_FALSE(c.read_row({table, "b"}, last));
    EXPECT_EQ(last, store_error::missing);
    EXPECT_TRUE(c.write_rows({{{table, "a"}, row->version, "", true}}, last));
    EXPECT_FALSE(c.read_row({table, "a"}, last));
    EXPECT_EQ(last, store_error::missing);
}

TEST(platform_store, a_transaction_takes_effect_whole_or_not_at_all)
{
    running_store s;
    const auto c = s.client();
    store_error last{};
    ASSERT_TRUE(c.write_rows({write_of("a", "1")}, last));
    EXPECT_FALSE(
        c.write_rows({write_of("b", "2"), write_of("a", "3", 77)}, last));
    EXPECT_EQ(last, store_error::conflict);
    EXPECT_FALSE(c.read_row({table, "b"}, last));
    EXPECT_FALSE(c.write_rows({write_of("new", "1", 5)}, last));
    EXPECT_EQ(last, store_error::conflict);
    EXPECT_FALSE(c.write_rows({{{"op", "config"}, {}, "x", false}}, last));
    EXPECT_EQ(last, store_error::forbidden);
}

TEST(platform_store, lists_continue_over_pages)
{
    running_store s;
    s.change([](store_state& x) { x.page = 2; });
    const auto c = s.client();
    store_error last{};
    for (const char* key : {"a", "b", "c", "d", "e/ &=%"})
        ASSERT_TRUE(c.write_rows({write_of(key, key)}, last));
    const auto list = c.list_rows(table, last);
    ASSERT_TRUE(list);
    ASSERT_EQ(list->rows.size(), 5U);
    EXPECT_EQ(list->rows[4].key, "e/ &=%");
    EXPECT_EQ(list->rows[4].row.value, "e/ &=%");
    const auto odd = c.read_row({table, "e/ &=%"}, last);
    ASSERT_TRUE(odd);
    EXPECT_EQ(odd->value, "e/ &=%");
}

TEST(platform_store, the_feed_gives_changes_in_order_and_waits_for_them)
{
    running_store s;
    const auto c = s.client();
    store_error last{};
    ASSERT_TRUE(c.write_rows({write_of("a", "1")}, last));
    const auto start = c.list_rows(table, last);
    ASSERT_TRUE(start);
    const auto none = c.watch_rows(table, start->version, us_per_ms, last);
    ASSERT_TRUE(none);
    EXPECT_TRUE(none->rows.empty());
    std::thread writer([&] {
        store_error e{};
        c.write_rows({write_of("b", "2")}, e);
        c.write_rows({{{table, "a"}, {}, "", true}}, e);
    });
    auto after = start->version;
    std::vector<keyed_row> seen;
    while (seen.size() < 2) {
        const auto more = c.watch_rows(table, after, 5 * us_per_s, last);
        ASSERT_TRUE(more);
        after = more->version;
        seen.insert(seen.end(), more->rows.begin(), more->rows.end());
    }
    writer.join();
    EXPECT_EQ(seen[0].key, "b");
    EXPECT_FALSE(seen[0].removed);
    EXPECT_EQ(seen[1].key, "a");
    EXPECT_TRUE(seen[1].removed);
}

// The reader sees `too_old` and reads the whole table again: the store drops
// history that nobody has read yet, at any time and without notice.
TEST(platform_store, forgotten_history_is_told_from_silence)
{
    running_store s;
    const auto c = s.client();
    store_error last{};
    ASSERT_TRUE(c.write_rows({write_of("a", "1")}, last));
    ASSERT_TRUE(c.write_rows({write_of("a", "2")}, last));
    s.change([](store_state& x) { forget_history(x); });
    EXPECT_FALSE(c.watch_rows(table, 1, us_per_ms, last));
    EXPECT_EQ(last, store_error::too_old);
}

// The writer hears nothing, and the write is there all the same. Told as
// "refused" it would be repeated, or as "done" it might be missing.
TEST(platform_store, a_lost_answer_leaves_the_write_unclear)
{
    running_store s;
    const auto c = s.client();
    store_error last{};
    s.change([](store_state& x) { x.fault.lose_answer = true; });
    EXPECT_FALSE(c.write_rows({write_of("a", "1")}, last));
    EXPECT_EQ(last, store_error::unclear);
    s.change([](store_state& x) { x.fault = {}; });
    EXPECT_TRUE(c.read_row({table, "a"}, last));
}

TEST(platform_store, refusals_and_silence_have_errors_of_their_own)
{
    running_store s;
    const auto c = s.client();
    store_error last{};
    s.change([](store_state& x) { x.fault.busy = true; });
    EXPECT_FALSE(c.write_rows({write_of("a", "1")}, last));
    EXPECT_EQ(last, store_error::refused);
    s.change([](store_state& x) {
        x.fault = {};
        x.fault.many = true;
    });
    EXPECT_FALSE(c.list_rows(table, last));
    EXPECT_EQ(last, store_error::refused);
    s.change([](store_state& x) {
        x.fault = {};
        x.fault.silent = true;
    });
    EXPECT_FALSE(c.list_rows(table, last));
    EXPECT_EQ(last, store_error::unclear);
    s.change([](store_state& x) { x.fault = {}; });
    EXPECT_TRUE(c.list_rows(table, last));
    const auto nobody = make_store_client({"127.0.0.1", 1}, bound);
    EXPECT_FALSE(nobody.list_rows(table, last));
    EXPECT_EQ(last, store_error::unreachable);
}

TEST(platform_store, objects_are_kept)
{
    running_store s;
    const auto c = s.client();
    store_error last{};
    EXPECT_TRUE(c.put_object("x", "content", last));
    EXPECT_EQ(c.get_object("x", last), "content");
    EXPECT_FALSE(c.get_object("y", last));
    EXPECT_EQ(last, store_error::missing);
}

} // namespace
} // namespace jasminetray
