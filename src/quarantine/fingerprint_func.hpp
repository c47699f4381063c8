// Request fingerprints: equal for repetitions of a request at any node, even
// under another id. They are keyed, so that a caller can't craft a request with
// the fingerprint of another one.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace jasminetray {

/// Keyed hash of a request's content.
enum class fingerprint : std::uint64_t
{
};

/// Key of the fingerprints; equal on all nodes of a cluster.
using fingerprint_key = std::array<unsigned char, 16>;

/// Parts of a request that its fingerprint covers. Ids, deadlines,
/// connection-specific fields and the entry node are left out.
struct request_content
{
    std::string_view team; ///< empty for none
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path with query
    std::string_view body;
};

/// Derives the fingerprint key.
/// @param cluster_key shared key of the nodes
fingerprint_key make_fingerprint_key(const std::string& cluster_key);

fingerprint fingerprint_of(const request_content& r,
                           const fingerprint_key& key);

/// Formats a fingerprint as 16 hex digits.
std::string to_text(fingerprint f);

} // namespace jasminetray
