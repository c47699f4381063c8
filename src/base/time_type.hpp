// Time as the decision core sees it: whole microseconds of one process's
// monotonic clock. The core never reads a clock; every function that needs
// the time takes it as a parameter, so tests and benches can replay it.
#pragma once

#include <cstdint>

namespace jasminetray {

/// A moment, in microseconds of this process's monotonic clock. Moments of
/// two processes must never be compared.
using mono_us = std::int64_t;

/// A length of time in microseconds.
using span_us = std::int64_t;

constexpr span_us us_per_ms = 1000;   ///< microseconds in a millisecond
constexpr span_us us_per_s = 1000000; ///< microseconds in a second

/// A moment that never comes.
constexpr mono_us mono_never = INT64_MAX;

/// Reads the monotonic clock; called by the I/O layer only.
mono_us mono_now();

/// Reads the clock that also goes on while the VM is suspended, when the
/// monotonic one stands still. For what must not outlive a bound.
mono_us uptime_now();

/// Reads the wall clock, in milliseconds since 1970; it may step either way.
std::uint64_t wall_ms_now();

} // namespace jasminetray
