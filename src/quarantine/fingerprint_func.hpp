// Fingerprints of requests: the same for one request that comes again at any
// node with another id, and different for another body on the same path.
// Keyed, so that no caller can craft a request with another one's fingerprint.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace jasminetray {

/// Keyed hash of what a request asks for.
enum class fingerprint : std::uint64_t
{
};

/// Key of the fingerprints; the same on all nodes of a cluster.
using fingerprint_key = std::array<unsigned char, 16>;

/// What a request asks for and on whose behalf. Ids, deadlines and fields of
/// one connection are no part of it, nor is the node where it enters.
struct request_content
{
    std::string_view team; ///< empty for none
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path with query
    std::string_view body;
};

/// Key of the fingerprints.
/// @param cluster_key that the nodes authenticate each other by
fingerprint_key make_fingerprint_key(const std::string& cluster_key);

/// Fingerprint of a request.
fingerprint fingerprint_of(const request_content& r,
                           const fingerprint_key& key);

/// 16 hex digits.
std::string to_text(fingerprint f);

} // namespace jasminetray
