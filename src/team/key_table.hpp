// Look-up of the team that a key belongs to. Only keyed hashes are kept: a
// printed configuration reveals no key, and callers can't choose keys that
// collide. A sorted array keeps the table compact and the look-up logarithmic:
// 660,000 keys of 16 bytes take 11 MB and 20 steps.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetray {

constexpr std::size_t max_key_bytes = 256;

struct configured_key
{
    std::string key;
    std::uint32_t team = 0; ///< index of its team
};

struct key_entry
{
    std::uint64_t hash = 0;
    std::uint32_t team = 0; ///< index of its team
};

/// Hashes of all keys. Invariant: entries are sorted by hash, without
/// duplicates.
struct key_table
{
    std::array<unsigned char, 16> secret{}; ///< hash key of this table
    std::vector<key_entry> entries;
};

/// Returns whether a key is not empty, not too long and visible ASCII.
bool is_valid_key(std::string_view key);

/// @param shared set on failure to the index of one of the teams
/// @return empty when two teams hold the same key, as requests with it could
/// not be attributed
std::optional<key_table> make_key_table(const std::vector<configured_key>& keys,
                                        std::uint32_t& shared);

/// Returns the index of the team that holds a key; empty when none does.
std::optional<std::uint32_t> find_key(const key_table& t, std::string_view key);

} // namespace jasminetray
