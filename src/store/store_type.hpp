// The platform's store as this project sees it: rows in tables, objects, and
// a feed of changes. A table of functions, so that tests put a small fake in
// its place and only one client knows the wire.
#pragma once

#include "base/names_type.hpp"
#include "base/time_type.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jasminetray {

/// Why a call to the store gave no result.
enum class store_error : std::uint8_t
{
    none,
    missing,     ///< no such row or object
    conflict,    ///< a row has another version; nothing was written
    refused,     ///< too many calls, or the store is busy: nothing was done
    forbidden,   ///< the store does not let this system write there
    full,        ///< no room for the object
    too_old,     ///< the history that was asked for is gone; read it all
    unreachable, ///< the call was never sent: nothing was written
    unclear,     ///< no answer: a write may have taken effect, or may later
    malformed,   ///< the answer could not be understood
};

inline constexpr std::array<std::string_view, 10> store_error_names = {
    "none", "missing", "conflict",    "refused", "forbidden",
    "full", "too-old", "unreachable", "unclear", "malformed"};

/// Where a row stands.
struct row_name
{
    std::string table;
    std::string key;
};

/// A row.
struct store_row
{
    std::uint64_t version = 0; ///< of the write that left it; 0 for "absent"
    std::string value;
};

/// A row with its key, as lists and the feed give it.
struct keyed_row
{
    std::string key;
    store_row row;
    bool removed = false; ///< the feed's word that it is gone
};

/// One write of a transaction: all take effect or none.
struct row_write
{
    row_name name;
    /// Version that the row must have, 0 for "absent"; nothing for any.
    std::optional<std::uint64_t> expected;
    std::string value;
    bool remove = false; ///< the row instead of writing it
};

/// Rows of one table at one moment.
struct row_list
{
    std::vector<keyed_row> rows;
    std::uint64_t version = 0; ///< newest of the whole store at that moment
    /// That moment by the store's steady clock, in microseconds; nothing when
    /// it is not told, or when more changes stand behind these rows.
    std::optional<std::int64_t> told_at;
};

/// The store.
struct store_api
{
    /// Reads a row.
    std::function<std::optional<store_row>(const row_name&, store_error& last)>
        read_row;
    /// Writes rows in one transaction; false with `last` filled in.
    std::function<bool(const std::vector<row_write>&, store_error& last)>
        write_rows;
    /// Reads all rows of a table.
    std::function<std::optional<row_list>(const std::string& table,
                                          store_error& last)>
        list_rows;
    /// Changes of a table after a version, oldest first; waits for the first
    /// one. No rows when none came in time; `too_old` when the store has
    /// dropped that part of its history.
    std::function<std::optional<row_list>(const std::string& table,
                                          std::uint64_t after, span_us wait,
                                          store_error& last)>
        watch_rows;
    /// Writes an object; the same name always has the same content.
    std::function<bool(const std::string& name, const std::string& content,
                       store_error& last)>
        put_object;
    /// Reads an object.
    std::function<std::optional<std::string>(const std::string& name,
                                             store_error& last)>
        get_object;
};

} // namespace jasminetray
