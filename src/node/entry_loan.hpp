// Loans of retries between nodes: for the reads of a node that stops, and for
// hedges that a node's own part of the allowance denies.
#pragma once

#include "node/entry_request.hpp"
#include "node/hop_type.hpp"

namespace jasminetray {

constexpr int max_loan = 8; ///< retries of one service at once

/// Borrows retries for a service's requests, from one node at a time, and
/// makes all open requests check their budget again.
/// @return how many were granted
int borrow_retries(node_state& n, const std::string& service, retry_loan loan,
                   const yield& y);

/// Grants retries of this node's budget to another node. For hedges of a node
/// that is not stopping it keeps a reserve.
/// @return false when the connection cannot be reused
bool grant_retry_loan(node_state& n, const string_request& m,
                      beast::tcp_stream& to, const yield& y);

} // namespace jasminetray
