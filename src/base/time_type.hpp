// Time types and clocks. Decision code takes the time as a parameter instead of
// reading a clock, so that tests and benchmarks can control it.
#pragma once

#include <cstdint>

namespace jasminetray {

/// Time point in microseconds of this process's monotonic clock; not comparable
/// between processes.
using mono_us = std::int64_t;

/// Duration in microseconds.
using span_us = std::int64_t;

constexpr span_us us_per_ms = 1000;
constexpr span_us us_per_s = 1000000;

constexpr mono_us mono_never = INT64_MAX;

/// Reads the monotonic clock. Only the I/O layer calls it.
mono_us mono_now();

/// Reads the boot-time clock, which, unlike the monotonic one, also advances
/// while the VM is suspended. Used for limits that must hold across suspension.
mono_us uptime_now();

/// Reads the wall clock, in milliseconds since 1970. It may step either way.
std::uint64_t wall_ms_now();

} // namespace jasminetray
