// Refusals at the entry side: what is said to a caller that gets no backend
// server's answer.
#pragma once

#include "node/entry_run.hpp"

namespace jasminetray {

/// A refusal before or after attempts.
struct refusal
{
    http::status status = http::status::service_unavailable;
    final_outcome outcome = final_outcome::not_run;
    event_id event = event_id::refused_not_run;
    std::string reason;
    span_us retry_after = 0; ///< 0 when repeating is of no use
    std::string team;        ///< of the caller, for the log; empty for none
};

/// Message for a caller.
/// @param explain adds the product's own fields
string_response make_refusal(const request_id& id, const refusal& x,
                             bool explain);

/// Refusal of a request in quarantine that has not run.
refusal quarantine_refusal(const node_state& n);

/// Refusal of a request whose attempts have all ended.
refusal final_refusal(const entry_request& r);

} // namespace jasminetray
