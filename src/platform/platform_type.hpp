// The platform's table service and object store as this project sees them:
// a table of functions, so that tests put a small fake in its place.
#pragma once

#include "base/names_type.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jasminetray {

/// Why a call to the platform gave no result.
enum class platform_error : std::uint8_t
{
    none,
    missing,     ///< no such row or object
    conflict,    ///< a row has another version; nothing was written
    unreachable, ///< the call was never sent: nothing was written
    unclear,     ///< no answer: a write may or may not have taken effect
};

inline constexpr std::array<std::string_view, 5> platform_error_names = {
    "none", "missing", "conflict", "unreachable", "unclear"};

/// A row of the table service.
struct table_row
{
    std::uint64_t version = 0; ///< rises with each write; 0 for "absent"
    std::string value;
};

/// One write of a transaction: all take effect or none.
struct table_write
{
    std::string key;
    std::uint64_t expected = 0; ///< version that the row must have
    std::string value;
};

/// The platform.
struct platform_api
{
    /// Reads a row.
    std::function<std::optional<table_row>(const std::string& key,
                                           platform_error& last)>
        read_row;
    /// Writes rows in one transaction; false with `last` filled in.
    std::function<bool(const std::vector<table_write>&, platform_error& last)>
        write_rows;
    /// Writes an object; the same name always has the same content.
    std::function<bool(const std::string& name, const std::string& content,
                       platform_error& last)>
        put_object;
    /// Reads an object.
    std::function<std::optional<std::string>(const std::string& name,
                                             platform_error& last)>
        get_object;
};

} // namespace jasminetray
