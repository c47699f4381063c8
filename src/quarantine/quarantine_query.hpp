// Questions to the quarantine.
#pragma once

#include "quarantine/quarantine_type.hpp"

namespace jasminetray {

/// Whether a request is refused.
bool is_quarantined(const quarantine_book& b, fingerprint request);

/// Whether anything stands against a request.
bool is_suspect(const quarantine_book& b, fingerprint request);

/// Processes that ended under a request, with no answer since.
std::size_t crashes_of(const quarantine_book& b, fingerprint request);

/// All marks of a request, as told to others.
std::vector<crash_report> reports_of(const quarantine_book& b,
                                     fingerprint request, mono_us now);

/// Bucket of a request's marks.
std::size_t bucket_of(fingerprint request);

/// Hash of a mark for the digest.
std::uint64_t mark_hash(const crash_mark& m);

} // namespace jasminetray
