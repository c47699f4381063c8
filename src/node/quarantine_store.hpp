// Rows of the store about requests in quarantine. Nodes have no disks: when all
// of them are restarted at once, nobody is left who remembers. The store is
// only read at a node's start and written when a quarantine begins or ends;
// without it nodes still tell each other.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Reads the rows that former processes left; repeated until it succeeds.
void load_quarantine(node_state& n);

/// Writes what stands against a request.
void save_quarantine(node_state& n, fingerprint request);

/// Removes the row of a request.
void drop_quarantine(node_state& n, fingerprint request);

/// Text of a row.
/// @param now by the clock that suspension does not stop
/// @param wall_ms the same moment in milliseconds since 1970
std::string quarantine_row(const quarantine_book& b, fingerprint request,
                           mono_us now, std::uint64_t wall_ms);

/// Marks of a row; nothing when it can't be read.
std::optional<std::vector<crash_report>>
parse_quarantine_row(const std::string& key, const std::string& value,
                     std::uint64_t wall_ms);

} // namespace jasminetray
