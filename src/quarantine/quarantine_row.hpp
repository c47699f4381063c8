// What the store keeps of a request in quarantine, as text: the moment of its
// newest mark in milliseconds since 1970, then the processes that ended.
#pragma once

#include "quarantine/quarantine_type.hpp"

#include <optional>
#include <string>

namespace jasminetray {

/// Text of a row.
/// @param now by the clock that suspension does not stop
/// @param wall_ms the same moment in milliseconds since 1970
std::string quarantine_row(const quarantine_book& b, fingerprint request,
                           mono_us now, std::uint64_t wall_ms);

/// Marks of a row; nothing when it can't be read.
/// @param key the request's fingerprint in hex
std::optional<std::vector<crash_report>>
parse_quarantine_row(const std::string& key, const std::string& value,
                     std::uint64_t wall_ms);

} // namespace jasminetray
