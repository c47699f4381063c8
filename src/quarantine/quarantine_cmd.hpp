// Operations that change the quarantine. The caller passes in the time.
#pragma once

#include "quarantine/quarantine_type.hpp"

namespace jasminetray {

/// Marks the requests that were running on a process when it crashed.
/// @return requests that are newly quarantined
std::vector<fingerprint>
quarantine_record_crash(quarantine_book& b, process_id process,
                        const std::vector<fingerprint>& running, mono_us now);

/// Merges marks from another node or from the store.
/// @return requests that are newly quarantined
std::vector<fingerprint>
quarantine_apply_reports(quarantine_book& b,
                         const std::vector<crash_report>& reports, mono_us now);

/// Clears all marks of a request that was answered or that an operator
/// released.
/// @return false when it had no uncleared marks
bool quarantine_clear(quarantine_book& b, fingerprint request);

void quarantine_expire(quarantine_book& b, mono_us now);

} // namespace jasminetray
