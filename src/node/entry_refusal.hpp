// Refusals: responses that the entry side gives without a backend server's
// answer.
#pragma once

#include "node/entry_request.hpp"

namespace jasminetray {

/// A refusal before or after attempts.
struct refusal
{
    http::status status = http::status::service_unavailable;
    final_outcome outcome = final_outcome::not_run;
    event_id event = event_id::refused_not_run;
    std::string reason;
    span_us retry_after = 0; ///< 0 when a retry would not help
    std::string team;        ///< of the caller, for the log; may be empty
};

/// Returns the response to the caller.
/// @param explain adds header fields and a body that state the reason
string_response make_refusal(const request_id& id, const refusal& x,
                             bool explain);

/// Returns the refusal of a quarantined request that has not run.
refusal quarantine_refusal(const node_state& n);

/// Returns the refusal of a request whose attempts have all ended.
refusal final_refusal(const entry_request& r);

} // namespace jasminetray
