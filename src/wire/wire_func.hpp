// Datagrams as bytes: a frame with the cluster's id and a MAC, then a packed
// Cap'n Proto message. Whatever does not verify is dropped before it is
// parsed, so a stranger cannot reach the parser.
#pragma once

#include "base/names_type.hpp"
#include "member/member_type.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetray {

/// Keys of a cluster. Two are valid at once so that keys can be changed node
/// by node: first add the new one as second, then swap, then drop the old.
struct cluster_keys
{
    std::uint64_t cluster = 0;     ///< hash of the cluster's name
    std::vector<std::string> keys; ///< first one signs; 1 or 2 of them
};

/// Why a datagram was dropped.
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

constexpr std::size_t max_datagram = 8192; ///< bytes, both ways

/// Bytes of a message.
std::string encode(const gossip_message& m, const cluster_keys& keys);

/// Message of bytes, or nothing with `last` saying why.
std::optional<gossip_message>
decode(std::string_view bytes, const cluster_keys& keys, wire_error& last);

} // namespace jasminetray
