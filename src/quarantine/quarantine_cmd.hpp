// Commands of the quarantine. Time is passed in.
#pragma once

#include "quarantine/quarantine_type.hpp"

namespace jasminetray {

/// Takes up that requests ran on a process when it ended.
/// @return requests that are in quarantine from now on
std::vector<fingerprint>
quarantine_record_crash(quarantine_book& b, process_id process,
                        const std::vector<fingerprint>& running, mono_us now);

/// Takes up marks of another node, or of the store.
/// @return as above
std::vector<fingerprint>
quarantine_apply_reports(quarantine_book& b,
                         const std::vector<crash_report>& reports, mono_us now);

/// Clears a request: it was answered, or an operator releases it.
/// @return false when nothing stood against it
bool quarantine_clear(quarantine_book& b, fingerprint request);

/// Drops marks that are too old.
void quarantine_expire(quarantine_book& b, mono_us now);

} // namespace jasminetray
