// Persists the quarantine in the store, so that it outlives a restart of all
// nodes at once. The store is read at a node's start and written when a
// quarantine begins or ends; gossip works without it.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// Starts to read all rows; retried until it succeeds.
void load_quarantine_rows(node_state& n);

/// Starts to write the row of a request; retried a bounded number of times.
void save_quarantine_row(node_state& n, fingerprint request);

/// Starts to delete the row of a request; retried like a write.
void delete_quarantine_row(node_state& n, fingerprint request);

} // namespace jasminetray
