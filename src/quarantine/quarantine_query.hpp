// Read-only queries of the quarantine.
#pragma once

#include "quarantine/quarantine_type.hpp"

namespace jasminetray {

/// Returns whether a request is refused.
bool is_quarantined(const quarantine_book& b, fingerprint request);

/// Returns whether a request has uncleared marks.
bool is_suspect(const quarantine_book& b, fingerprint request);

/// Returns the number of uncleared marks of a request.
std::size_t crashes_of(const quarantine_book& b, fingerprint request);

/// Returns all marks of a request as reports to other nodes.
std::vector<crash_report> reports_of(const quarantine_book& b,
                                     fingerprint request, mono_us now);

std::size_t bucket_of(fingerprint request);

std::uint64_t mark_hash(const crash_mark& m);

} // namespace jasminetray
