// Tables of the keys that a section may have. Parsing, error messages and the
// settings reference all use the same rows.
#pragma once

#include <string_view>

namespace jasminetray {

/// One key of a section.
template <typename Target>
struct key_row
{
    std::string_view key;
    bool (*set)(Target&, std::string_view); ///< returns false for a bad value
    std::string_view expects; ///< accepted values, for error messages
    std::string_view meaning; ///< description, for the reference page
};

enum class key_outcome
{
    set,
    unknown_key,
    bad_value,
};

/// Sets one key of a section.
/// @param table key rows of the section
/// @param expects receives the accepted values of the key
template <typename Table, typename Target>
key_outcome set_key(const Table& table, Target& target, std::string_view key,
                    std::string_view value, std::string_view& expects)
{
    for (const auto& row : table) {
        if (row.key != key)
            continue;
        expects = row.expects;
        return row.set(target, value) ? key_outcome::set
                                      : key_outcome::bad_value;
    }
    return key_outcome::unknown_key;
}

} // namespace jasminetray
