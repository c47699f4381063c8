// Which team a key belongs to. Keys are not kept, only keyed hashes of them:
// nothing that prints a configuration can print a key, and no caller can
// choose keys that fall together. A sorted list of 16 bytes an entry: 660,000
// keys take 11 MB, and a look-up is one hash and 20 steps.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetray {

constexpr std::size_t max_key_bytes = 256; ///< no team needs a longer one

/// A key as it was given, with its team's place.
struct configured_key
{
    std::string key;
    std::uint32_t team = 0;
};

/// Hash of one key.
struct key_entry
{
    std::uint64_t hash = 0;
    std::uint32_t team = 0; ///< place of the team that holds it
};

/// All keys. Invariant: entries are in the order of their hashes, each hash
/// once.
struct key_table
{
    std::array<unsigned char, 16> secret{}; ///< of this table alone
    std::vector<key_entry> entries;
};

/// Whether callers can show this key: not empty, not overlong, visible ASCII.
bool is_valid_key(std::string_view key);

/// Makes a table.
/// @param shared first key that two teams hold, as the place of one of them
/// @return nothing when two teams hold one key: whose work it would be is not
/// known
std::optional<key_table> make_key_table(const std::vector<configured_key>& keys,
                                        std::uint32_t& shared);

/// Place of the team that holds a key; nothing when nobody does.
std::optional<std::uint32_t> find_key(const key_table& t, std::string_view key);

} // namespace jasminetray
