// Rows of the store about requests in quarantine. Nodes have no disks: a
// restart of all of them at once would lose every mark. The store is only read
// at a node's start and written when a quarantine begins or ends; without it
// nodes still tell each other.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Reads the rows that former processes left; repeated until it succeeds.
void load_quarantine_rows(node_state& n);

/// Writes what stands against a request.
void save_quarantine_row(node_state& n, fingerprint request);

/// Removes the row of a request.
void delete_quarantine_row(node_state& n, fingerprint request);

} // namespace jasminetray
