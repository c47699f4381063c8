// Sends requests to the backend servers of this VM and classifies the results.
#pragma once

#include "node/body_room.hpp"
#include "node/exit_upload.hpp"
#include "node/node_state.hpp"

namespace jasminetray {

/// A request to a backend server, with its connection and result.
struct worker_exchange
{
    work_result result = work_result::unsent;
    outcome_kind outcome = outcome_kind::neutral; ///< for outlier detection
    std::string reason; ///< why there is no answer; else empty
    bool closed_by_worker = false;
    std::unique_ptr<http_connection> link;
    std::unique_ptr<response_parser> parser; ///< holds what has been read
    body_room room;                          ///< of that
    std::uint64_t evidence_key = 0; ///< outstanding request's, in its health
    mono_us started_at = 0;
    bool head_forwarded = false;
    span_us body_time = 0; ///< for an upload; no time of the backend server's
    bool body_cut = false; ///< the backend server didn't get all of an upload
    std::uint32_t source = 0;      ///< see node_state::source_index
    std::uint32_t route_class = 0; ///< at this backend server
};

/// Sends a request to its backend server and reads the answer, up to the number
/// of bytes that are held in memory. Idempotent work is cancelled when the
/// entry node's connection closes.
/// @param r gets a later deadline, by the time that an upload takes
/// @param upload body of the message; null when the message holds it
worker_exchange execute_on_worker(node_state& n, const string_request& message,
                                  gate_request& r, std::uint32_t source,
                                  beast::tcp_stream& entry,
                                  arriving_upload* upload, const yield& y);

/// Ends a request: records its outcome, and keeps or closes the connection.
/// @param whole whether the complete answer was forwarded
void finish_on_worker(node_state& n, const gate_request& r, worker_exchange& a,
                      bool whole);

} // namespace jasminetray
