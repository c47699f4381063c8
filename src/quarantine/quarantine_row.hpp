// Store rows of quarantined requests, as text: the time of the newest mark in
// milliseconds since 1970, then the ids of the crashed processes.
#pragma once

#include "quarantine/quarantine_type.hpp"

#include <optional>
#include <string>

namespace jasminetray {

/// Formats the row of a request.
/// @param now by the clock that runs during suspension
/// @param wall_ms the same time in milliseconds since 1970
std::string quarantine_row(const quarantine_book& b, fingerprint request,
                           mono_us now, std::uint64_t wall_ms);

/// Parses a row.
/// @param key fingerprint of the request, in hex
/// @return its marks; nothing when the row is malformed
std::optional<std::vector<crash_report>>
parse_quarantine_row(const std::string& key, const std::string& value,
                     std::uint64_t wall_ms);

} // namespace jasminetray
