// Tables of names for enum classes: one row per value, in the order of the
// enum, so that a name is an index and a parse is a short scan.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace jasminetray {

/// Name of an enum value.
/// @param names table with one name per value, in the order of the enum
/// @param e the value
template <typename Enum, std::size_t N>
constexpr std::string_view name_of(const std::array<std::string_view, N>& names,
                                   Enum e)
{
    const auto n = static_cast<std::size_t>(e);
    return n < N ? names[n] : std::string_view("?");
}

/// Value of a name, or nothing when the table has no such name.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum>
value_of(const std::array<std::string_view, N>& names, std::string_view s)
{
    for (std::size_t n = 0; n < N; ++n) {
        if (names[n] == s)
            return static_cast<Enum>(n);
    }
    return std::nullopt;
}

} // namespace jasminetray
