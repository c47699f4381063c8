// Tables of keys: what a section may say, how it is read, what it means.
// The checks, the settings reference in docs and the error texts all come
// from the same rows.
#pragma once

#include <string_view>

namespace jasminetray {

/// One key that a section may hold.
template <typename Target>
struct key_row
{
    std::string_view key;                   ///< name in the file
    bool (*set)(Target&, std::string_view); ///< false for a bad value
    std::string_view expects;               ///< for the error text
    std::string_view meaning;               ///< for the reference page
};

/// What came of setting one key.
enum class key_outcome
{
    set,
    unknown_key,
    bad_value,
};

/// Sets one key of a section.
/// @param table rows of the section
/// @param target what is filled in
/// @param key name in the file
/// @param value text in the file
/// @param expects what the row expects; for the error text
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
