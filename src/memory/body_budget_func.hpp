// Reservations in the budget of bytes for bodies.
#pragma once

#include "memory/body_budget_type.hpp"

#include <optional>

namespace jasminetray {

/// Returns the bytes that may be in use with a reservation of a kind.
std::uint64_t body_ceiling(const body_budget& b, body_kind kind);

/// Returns whether bytes of a kind can be reserved.
bool body_has_room(const body_budget& b, body_kind kind, std::uint64_t bytes);

/// Reserves bytes. @return nothing when there is no room for its kind
std::optional<body_hold_id> body_reserve(body_budget& b, body_kind kind,
                                         std::uint64_t bytes);

/// Changes the size of a reservation.
/// @return false, with nothing changed, when there is no room or it was taken
///         back
bool body_resize(body_budget& b, body_hold_id id, std::uint64_t bytes);

/// Gives a reservation back; one that was given back before is ignored.
void body_release(body_budget& b, body_hold_id id);

/// Notes that a body waits for its sender.
void body_wait(body_budget& b, body_hold_id id, mono_us now);

/// Notes bytes that ended a wait.
void body_arrived(body_budget& b, body_hold_id id, std::uint64_t bytes,
                  mono_us now);

/// Returns the reservation whose sender has been idle for longest, if one has
/// been for idle_body_time.
std::optional<body_hold_id> find_idle_body(const body_budget& b, mono_us now);

/// Notes a request that was refused for lack of room.
/// @return whether it is the first since there was room
bool body_note_full(body_budget& b);

/// Returns whether there is room again, once after body_note_full().
bool body_note_room(body_budget& b);

/// Returns the limit that is used: the setting, else a share of the VM's
/// memory, else a default.
/// @param setting bytes; nothing if it isn't set
/// @param vm_bytes memory of the VM; 0 if it isn't known
std::uint64_t body_limit_for(std::optional<std::uint64_t> setting,
                             std::uint64_t vm_bytes);

} // namespace jasminetray
