// Tests the store client against the stand-in store over loopback sockets.
#include "platform/store_client.hpp"
#include "stand_in/store_state.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace jasminetray {
namespace {

constexpr char table[] = "t";
constexpr span_us call_timeout = us_per_s / 2;

/// Runs a stand-in store on a thread of its own.
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
        return make_store_client({"127.0.0.1", port}, call_timeout);
    }

    /// Runs a change on the store's thread and waits for it.
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

row_write make_write(const std::string& key, const std::string& value,
                     std::optional<std::uint64_t> expected = std::nullopt)
{
    return {{table, key}, expected, value, false};
}

TEST(platform_store, rows_are_written_read_and_removed)
{
    running_store s;
    const auto c = s.client();
    store_error error{};
    const std::string bytes("\0\xff any bytes\n", 13);
    EXPECT_TRUE(c.write_rows({make_write("a", bytes, 0)}, error));
    const auto row = c.read_row({table, "a"}, error);
    ASSERT_TRUE(row);
    EXPECT_EQ(row->value, bytes);
    EXPECT_FALSE(c.read_row({table, "b"}, error));
    EXPECT_EQ(error, store_error::missing);
    EXPECT_TRUE(c.write_rows({{{table, "a"}, row->version, "", true}}, error));
    EXPECT_FALSE(c.read_row({table, "a"}, error));
    EXPECT_EQ(error, store_error::missing);
}

TEST(platform_store, transactions_are_atomic)
{
    running_store s;
    const auto c = s.client();
    store_error error{};
    ASSERT_TRUE(c.write_rows({make_write("a", "1")}, error));
    EXPECT_FALSE(
        c.write_rows({make_write("b", "2"), make_write("a", "3", 77)}, error));
    EXPECT_EQ(error, store_error::conflict);
    EXPECT_FALSE(c.read_row({table, "b"}, error));
    EXPECT_FALSE(c.write_rows({make_write("new", "1", 5)}, error));
    EXPECT_EQ(error, store_error::conflict);
    EXPECT_FALSE(c.write_rows({{{"op", "config"}, {}, "x", false}}, error));
    EXPECT_EQ(error, store_error::forbidden);
}

TEST(platform_store, lists_span_pages)
{
    running_store s;
    s.change([](store_state& x) { x.max_page_rows = 2; });
    const auto c = s.client();
    store_error error{};
    for (const char* key : {"a", "b", "c", "d", "e/ &=%"})
        ASSERT_TRUE(c.write_rows({make_write(key, key)}, error));
    const auto list = c.list_rows(table, error);
    ASSERT_TRUE(list);
    ASSERT_EQ(list->rows.size(), 5U);
    EXPECT_EQ(list->rows[4].key, "e/ &=%");
    EXPECT_EQ(list->rows[4].row.value, "e/ &=%");
    const auto odd = c.read_row({table, "e/ &=%"}, error);
    ASSERT_TRUE(odd);
    EXPECT_EQ(odd->value, "e/ &=%");
}

// Guards against a row whose value can't be decoded and that hides the others,
// also where such rows fill a page.
TEST(platform_store, rows_that_cannot_be_decoded_are_skipped)
{
    running_store s;
    const auto c = s.client();
    store_error error{};
    const std::vector<std::string> sound = {"a", "k", "z"};
    for (const auto& key : sound)
        ASSERT_TRUE(c.write_rows({make_write(key, "value")}, error));
    s.change([](store_state& x) {
        x.max_page_rows = 2;
        for (const auto* key : {"b", "c", "d", "e", "l", "zz"})
            x.rows[{table, key}] = {++x.version, "%%%"};
    });
    const auto list = c.list_rows(table, error);
    ASSERT_TRUE(list) << name_of(store_error_names, error);
    std::vector<std::string> keys;
    for (const auto& r : list->rows)
        keys.push_back(r.key);
    EXPECT_EQ(keys, sound);
    EXPECT_FALSE(c.read_row({table, "b"}, error));
    EXPECT_EQ(error, store_error::missing);
}

TEST(platform_store, feed_waits_for_changes_in_order)
{
    running_store s;
    const auto c = s.client();
    store_error error{};
    ASSERT_TRUE(c.write_rows({make_write("a", "1")}, error));
    const auto start = c.list_rows(table, error);
    ASSERT_TRUE(start);
    const auto none = c.watch_rows(table, start->version, us_per_ms, error);
    ASSERT_TRUE(none);
    EXPECT_TRUE(none->rows.empty());
    std::thread writer([&] {
        store_error e{};
        c.write_rows({make_write("b", "2")}, e);
        c.write_rows({{{table, "a"}, {}, "", true}}, e);
    });
    auto after = start->version;
    std::vector<keyed_row> seen;
    while (seen.size() < 2) {
        const auto more = c.watch_rows(table, after, 5 * us_per_s, error);
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

// The store may discard unread history at any time. The reader must then list
// the whole table again instead of waiting for changes.
TEST(platform_store, discarded_history_is_reported)
{
    running_store s;
    const auto c = s.client();
    store_error error{};
    ASSERT_TRUE(c.write_rows({make_write("a", "1")}, error));
    ASSERT_TRUE(c.write_rows({make_write("a", "2")}, error));
    s.change([](store_state& x) { discard_history(x); });
    EXPECT_FALSE(c.watch_rows(table, 1, us_per_ms, error));
    EXPECT_EQ(error, store_error::too_old);
}

// A write without a response may have taken effect, so it must count neither as
// refused nor as done.
TEST(platform_store, lost_response_leaves_the_write_unclear)
{
    running_store s;
    const auto c = s.client();
    store_error error{};
    s.change([](store_state& x) { x.fault.drop_write_response = true; });
    EXPECT_FALSE(c.write_rows({make_write("a", "1")}, error));
    EXPECT_EQ(error, store_error::unclear);
    s.change([](store_state& x) { x.fault = {}; });
    EXPECT_TRUE(c.read_row({table, "a"}, error));
}

TEST(platform_store, refusals_and_timeouts_have_distinct_errors)
{
    running_store s;
    const auto c = s.client();
    store_error error{};
    s.change([](store_state& x) { x.fault.unavailable = true; });
    EXPECT_FALSE(c.write_rows({make_write("a", "1")}, error));
    EXPECT_EQ(error, store_error::refused);
    s.change([](store_state& x) {
        x.fault = {};
        x.fault.too_many_requests = true;
    });
    EXPECT_FALSE(c.list_rows(table, error));
    EXPECT_EQ(error, store_error::refused);
    s.change([](store_state& x) {
        x.fault = {};
        x.fault.unresponsive = true;
    });
    EXPECT_FALSE(c.list_rows(table, error));
    EXPECT_EQ(error, store_error::unclear);
    s.change([](store_state& x) { x.fault = {}; });
    EXPECT_TRUE(c.list_rows(table, error));
    const auto nobody = make_store_client({"127.0.0.1", 1}, call_timeout);
    EXPECT_FALSE(nobody.list_rows(table, error));
    EXPECT_EQ(error, store_error::unreachable);
}

TEST(platform_store, objects_are_stored)
{
    running_store s;
    const auto c = s.client();
    store_error error{};
    EXPECT_TRUE(c.put_object("x", "content", error));
    EXPECT_EQ(c.get_object("x", error), "content");
    EXPECT_FALSE(c.get_object("y", error));
    EXPECT_EQ(error, store_error::missing);
}

} // namespace
} // namespace jasminetray
