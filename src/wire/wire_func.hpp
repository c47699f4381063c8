// Codec of gossip datagrams: a frame with the cluster's id and a MAC, then a
// packed Cap'n Proto message. The MAC is verified before the message is parsed,
// so unauthenticated input never reaches the parser.
#pragma once

#include "base/names_type.hpp"
#include "member/member_type.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetray {

/// Keys of a cluster. Two keys may be valid at once, which allows rotation node
/// by node: add the new key as second, swap both, then remove the old one.
struct cluster_keys
{
    std::uint64_t cluster = 0;     ///< hash of the cluster's name
    std::vector<std::string> keys; ///< 1 or 2 keys; the first one signs
};

enum class wire_error : std::uint8_t
{
    none,
    too_short,
    other_version,
    other_cluster,
    bad_mac,
    malformed,
    out_of_bounds,
};

inline constexpr std::array<std::string_view, 7> wire_error_names = {
    "none",    "too-short", "other-version", "other-cluster",
    "bad-mac", "malformed", "out-of-bounds"};

constexpr std::size_t max_datagram = 8192; ///< bytes, sent or received

/// Returns the datagram of a message, signed with the first key.
std::string encode_message(const gossip_message& m, const cluster_keys& keys);

/// Verifies and parses a datagram. Sets `error` to `none` on success.
/// @return the message, or nothing with the reason in `error`
std::optional<gossip_message> decode_message(std::string_view bytes,
                                             const cluster_keys& keys,
                                             wire_error& error);

} // namespace jasminetray
