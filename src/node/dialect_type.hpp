// Names of the HTTP header fields that callers and backend servers use. The
// defaults are the product's own; a platform adapter replaces them.
#pragma once

#include <string_view>

namespace jasminetray {

/// Names of header fields; an empty name disables the field.
struct http_dialect
{
    /// Request id, which a backend server echoes in its answer.
    std::string_view request = "x-request-id";
    /// Forwards the caller's request id; else the node sets one per attempt.
    bool preserve_request_id = false;
    std::string_view deadline = "x-deadline-ms"; ///< remaining milliseconds
    std::string_view not_run = "x-shed"; ///< marks answers without execution
    std::string_view load;               ///< "running,waiting,slots"
    /// Requests a second that a backend server accepts from the whole fleet.
    std::string_view worker_limit = "x-worker-limit";
    /// "1" on the answers of a backend server that accepts no new requests.
    std::string_view worker_leaving = "x-worker-leaving";
    std::string_view worker;          ///< process that answered
    std::string_view expected_worker; ///< process that must run the work
    std::string_view caller_service;  ///< service hosted on the caller's VM
    /// API key that authenticates a team; never forwarded.
    std::string_view team_key = "x-team-key";
    /// Team's name: set by entry nodes where keys are required, else by
    /// callers.
    std::string_view team = "x-team";
    /// Present on all genuine answers of backend servers; a success without it
    /// is treated as a failure.
    std::string_view response_seal;
    /// Adds the product's own fields to refusals and answers.
    bool explain = true;
};

} // namespace jasminetray
