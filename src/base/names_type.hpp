// Names of enum classes, in tables indexed by the enum value.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace jasminetray {

/// Returns the name of an enum value, or "?" when it is out of range.
/// @param names one name per value, in the order of the enum
template <typename Enum, std::size_t N>
constexpr std::string_view name_of(const std::array<std::string_view, N>& names,
                                   Enum e)
{
    const auto n = static_cast<std::size_t>(e);
    return n < N ? names[n] : std::string_view("?");
}

/// Returns the value with this name, or nothing when the table has none.
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
