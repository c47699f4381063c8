// Look-up of teams by key hash.
#include "team/key_table.hpp"

#include <algorithm>
#include <cstring>
#include <sodium.h>

namespace jasminetray {

namespace {

std::uint64_t hash_key(const key_table& t, std::string_view key)
{
    std::array<unsigned char, crypto_shorthash_BYTES> out{};
    static_assert(crypto_shorthash_KEYBYTES == sizeof(t.secret));
    crypto_shorthash(out.data(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), t.secret.data());
    std::uint64_t hash = 0;
    std::memcpy(&hash, out.data(), sizeof(hash));
    return hash;
}

bool has_smaller_hash(const key_entry& a, const key_entry& b)
{
    return a.hash < b.hash;
}

} // namespace

bool is_valid_key(std::string_view key)
{
    constexpr char first_printable = '!';
    constexpr char last_printable = '~';
    return !key.empty() && key.size() <= max_key_bytes &&
           std::all_of(key.begin(), key.end(), [](char c) {
               return c >= first_printable && c <= last_printable;
           });
}

std::optional<key_table> make_key_table(const std::vector<configured_key>& keys,
                                        std::uint32_t& shared)
{
    key_table t;
    randombytes_buf(t.secret.data(), t.secret.size());
    t.entries.reserve(keys.size());
    for (const auto& k : keys)
        t.entries.push_back({hash_key(t, k.key), k.team});
    std::sort(t.entries.begin(), t.entries.end(), has_smaller_hash);
    const auto same = [](const key_entry& a, const key_entry& b) {
        return a.hash == b.hash;
    };
    for (auto it = t.entries.begin(); it != t.entries.end(); ++it) {
        const auto next = std::next(it);
        if (next != t.entries.end() && same(*it, *next) &&
            it->team != next->team) {
            shared = next->team;
            return std::nullopt;
        }
    }
    t.entries.erase(std::unique(t.entries.begin(), t.entries.end(), same),
                    t.entries.end());
    return t;
}

std::optional<std::uint32_t> find_key(const key_table& t, std::string_view key)
{
    if (!is_valid_key(key))
        return std::nullopt;
    const key_entry wanted{hash_key(t, key), 0};
    const auto it = std::lower_bound(t.entries.begin(), t.entries.end(), wanted,
                                     has_smaller_hash);
    if (it == t.entries.end() || it->hash != wanted.hash)
        return std::nullopt;
    return it->team;
}

} // namespace jasminetray
