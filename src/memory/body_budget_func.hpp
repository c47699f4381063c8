// Reservations in the budget of bytes for bodies.
#pragma once

#include "memory/body_budget_type.hpp"

#include <optional>

namespace jasminetray {

/// Reserves bytes. @return nothing when they exceed what is left
std::optional<body_hold_id> body_reserve(body_budget& b, std::uint64_t bytes);

/// Gives a reservation back; one that was given back before is ignored.
void body_release(body_budget& b, body_hold_id id);

} // namespace jasminetray
