// Running one piece of work on a backend server of this VM.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// What a backend server made of a piece of work.
struct worker_exchange
{
    work_result end = work_result::unsent;
    outcome_kind seen = outcome_kind::neutral; ///< as evidence
    std::string reason;                        ///< when there is no answer
    bool closed = false; ///< no answer: the backend server ended it
    std::unique_ptr<http_link> link;
    std::unique_ptr<response_parser> parser; ///< of the answer
    std::uint64_t key = 0; ///< of the outstanding work, for the evidence
    mono_us began = 0;
    bool head_forwarded = false; ///< the answer's head went on already
    std::uint32_t source = 0;
    std::uint32_t route_class = 0; ///< of the route, at its backend server
};

/// Sends work to its backend server and reads the answer, or as much as is
/// held. The entry node's connection is watched: idempotent work whose
/// caller has left is cancelled.
worker_exchange execute_on_worker(node_state& n, const string_request& message,
                                  const gate_request& r, std::uint32_t source,
                                  beast::tcp_stream& entry, const yield& y);

/// Ends an exchange whose answer was passed on: the evidence, and what
/// becomes of the connection.
/// @param whole the answer was complete
void finish_on_worker(node_state& n, const gate_request& r, worker_exchange& a,
                      bool whole);

} // namespace jasminetray
