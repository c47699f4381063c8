// What a backend server says about itself in the header of its answers: a limit
// of starts, and that it is leaving.
#pragma once

#include "node/dialect_type.hpp"
#include "node/http_type.hpp"

#include <optional>
#include <string>

namespace jasminetray {

struct worker_notice
{
    std::optional<double> rate;   ///< starts per second that it accepts
    bool rate_unreadable = false; ///< no limit could be read, but one is named
    bool leaving = false;         ///< it accepts no new requests
    std::string malformed;        ///< values that were ignored; else empty
};

/// Highest limit that is kept apart from none, in starts per second. Larger
/// values are reduced to it.
constexpr double max_start_rate = 1e6;

/// Parses a limit of starts per second.
/// @return nothing when it is no number or negative
std::optional<double> parse_start_rate(std::string_view text);

/// Reads the notice of an answer. Of several limits, the lowest counts.
worker_notice read_worker_notice(const http_dialect& d, const http::fields& f);

} // namespace jasminetray
