// Interface of the platform's store: versioned rows in tables, objects, and a
// feed of changes. A struct of functions, so that tests can substitute a fake.
#pragma once

#include "base/names_type.hpp"
#include "base/time_type.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jasminetray {

enum class store_error : std::uint8_t
{
    none,
    missing,
    conflict, ///< a row has another version; nothing was written
    refused,  ///< rate limited or overloaded; nothing was done
    forbidden,
    full,        ///< no space for the object
    too_old,     ///< the history is truncated; list all rows again
    unreachable, ///< the call was not sent; nothing was written
    unclear,     ///< outcome unknown; a write may still take effect
    malformed,   ///< invalid response
};

inline constexpr std::array<std::string_view, 10> store_error_names = {
    "none", "missing", "conflict",    "refused", "forbidden",
    "full", "too-old", "unreachable", "unclear", "malformed"};

struct row_name
{
    std::string table;
    std::string key;
};

struct store_row
{
    std::uint64_t version = 0; ///< of the last write; 0 for an absent row
    std::string value;
};

/// A row with its key, as returned by lists and the feed.
struct keyed_row
{
    std::string key;
    store_row row;
    bool removed = false; ///< set by the feed when the row was removed
};

/// One write of a transaction. All writes of it take effect, or none.
struct row_write
{
    row_name name;
    /// Required version of the row: 0 for an absent row, nothing for any.
    std::optional<std::uint64_t> expected;
    std::string value;
    bool remove = false; ///< instead of writing it
};

/// Consistent snapshot of a table, or a part of its changes.
struct row_list
{
    std::vector<keyed_row> rows;
    std::uint64_t version = 0; ///< newest version in the whole store
    /// Time of the snapshot by the store's steady clock, in microseconds.
    /// Absent when the store did not report it or more changes are pending.
    std::optional<std::int64_t> store_time;
};

/// Calls of the store. Each one sets `error`, to `none` on success.
struct store_api
{
    std::function<std::optional<store_row>(const row_name&, store_error& error)>
        read_row;
    std::function<bool(const std::vector<row_write>&, store_error& error)>
        write_rows;
    std::function<std::optional<row_list>(const std::string& table,
                                          store_error& error)>
        list_rows;
    /// Returns changes of a table after a version, oldest first. Waits up to
    /// `wait` for the first one, and returns no rows when none occurred. Fails
    /// with `too_old` when the store no longer keeps that part of its history.
    std::function<std::optional<row_list>(const std::string& table,
                                          std::uint64_t after, span_us wait,
                                          store_error& error)>
        watch_rows;
    /// Writes an object. Objects are immutable: a name has one content.
    std::function<bool(const std::string& name, const std::string& content,
                       store_error& error)>
        put_object;
    std::function<std::optional<std::string>(const std::string& name,
                                             store_error& error)>
        get_object;
};

} // namespace jasminetray
