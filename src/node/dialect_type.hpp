// How the callers and backend servers of a deployment name things in HTTP
// headers. The product has names of its own; an adapter brings others. Both
// sides of a node use whichever is in force, and know no name themselves.
#pragma once

#include <string_view>

namespace jasminetray {

/// Names of header fields; an empty one is not used.
struct http_dialect
{
    /// Id of a request, which a backend server echoes in its answer.
    std::string_view request = "x-request-id";
    /// The id above is the caller's own and passes through; else each
    /// attempt gets one of the node's.
    bool preserve_request_id = false;
    std::string_view deadline = "x-deadline-ms"; ///< remaining milliseconds
    std::string_view not_run = "x-shed"; ///< answer to work that did not run
    std::string_view load;               ///< "running,waiting,slots"
    std::string_view worker;             ///< process that gave an answer
    std::string_view expected_worker;    ///< process that must run the work
    std::string_view caller_service;     ///< service of the VM of the caller
    /// Key by which a caller shows its team; no node passes it on.
    std::string_view team_key = "x-team-key";
    /// Name of the team: set by entry nodes where teams have keys, else what
    /// the caller says.
    std::string_view team = "x-team";
    /// Present on whole answers that a backend server made; a success
    /// without it is none.
    std::string_view proof;
    /// Refusals and answers tell callers what was decided, in fields of the
    /// product's own.
    bool explain = true;
};

} // namespace jasminetray
