// Start limits. A backend server may name in its answers how many requests a
// second it accepts from the whole fleet. All of its requests pass one gate,
// which counts their starts over a sliding window.
#pragma once

#include "base/names_type.hpp"
#include "base/time_type.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace jasminetray {

/// Length of the sliding window over which starts are counted.
constexpr span_us start_window = 4 * us_per_s;
/// Starts are counted per slice, so that the state has a fixed size.
constexpr span_us start_slice = 200 * us_per_ms;
/// One slice more than the window holds, since the newest one is incomplete.
constexpr std::size_t start_slices =
    static_cast<std::size_t>(start_window / start_slice) + 1;

/// Who named the limit in force.
enum class limit_source : std::uint8_t
{
    none,         ///< no limit is in force
    answer,       ///< an answer that passed this gate
    health_probe, ///< the answer to a health probe
    entry_node,   ///< an entry node, from before this process started
};

inline constexpr std::array<std::string_view, 4> limit_source_names = {
    "none", "answer", "health-probe", "entry-node"};

/// How closely a limit is kept.
struct start_limit_policy
{
    bool on = true;
    /// Most starts in a window: this multiple of what the limit allows, plus
    /// the slack. Binds after a limit begins or falls, when the window still
    /// holds starts from before.
    double window_factor = 1.5;
    double window_slack = 4;
    double burst = 3; ///< starts that may begin at once after an idle time
    /// A start is allowed this long after the last one, however low the limit:
    /// its end is only learnt from answers.
    span_us trickle_interval = 1800 * us_per_ms;
    /// Time after the begin of a limit in which the trickle goes on beside a
    /// full window. After a fall, the window of the former limit binds it.
    span_us grace = 3 * us_per_s;
    /// Longest time after which a refused caller is asked to return.
    span_us max_retry_after = start_window;
};

/// Starts of one backend server and the limit that it named.
struct start_limit
{
    limit_source source = limit_source::none;
    double rate = 0;      ///< starts per second; invariant: finite, >= 0
    mono_us named_at = 0; ///< when it was last named
    mono_us begun_at = 0; ///< when the limit came into force
    mono_us fell_at = 0;  ///< begin of the grace: when it did, or became lower
    double former_rate = 0; ///< before `fell_at`; infinite without a limit
    /// When an answer of the process last said whether it has a limit; 0 for
    /// never.
    mono_us heard_at = 0;
    mono_us last_start_at = 0; ///< 0 for never
    /// Token bucket; the tokens may fall to -1 by a start out of turn.
    double tokens = 0;
    mono_us tokens_at = 0;     ///< when `tokens` was computed
    mono_us promised_at = 0;   ///< start that the last refused caller may get
    std::uint64_t refused = 0; ///< requests refused because of the limit
    std::array<std::uint32_t, start_slices> slices{}; ///< starts per slice
    std::int64_t newest_slice = 0; ///< number of the newest slice
};

/// Returns whether a limit is in force.
bool is_limited(const start_limit& s);

/// Counts a request that is sent to the backend server.
void start_limit_count(start_limit& s, const start_limit_policy& p,
                       mono_us now);

/// Returns when the next request may be sent, after `ahead` others; `now` when
/// no limit is in force.
mono_us next_start(const start_limit& s, const start_limit_policy& p,
                   std::size_t ahead, mono_us now);

/// Returns after which time a refused caller should return. Each refusal moves
/// the time for the next one, so that callers don't return all at once.
/// @param ahead requests that are queued
span_us start_limit_refuse(start_limit& s, const start_limit_policy& p,
                           std::size_t ahead, mono_us now);

/// Returns the starts in the window that ends now, rounded up to whole slices.
std::uint32_t starts_in_window(const start_limit& s, mono_us now);

/// Applies a limit that the backend server named.
/// @param named_at when it did; later than `s.named_at`
/// @return whether the limit in force changed
bool start_limit_name(start_limit& s, const start_limit_policy& p, double rate,
                      limit_source source, mono_us named_at, mono_us now);

/// Takes the window as full at a time in the past: a former process may have
/// used it. Until it has passed, no start is out of turn.
void start_limit_assume_full(start_limit& s, const start_limit_policy& p,
                             mono_us at, mono_us now);

/// Applies an answer that names no limit. It ends the limit only if its request
/// was sent after the limit was last named: answers of concurrent requests may
/// arrive in another order than they were made.
/// @param sent_at when the request was sent to the backend server
/// @return whether a limit ended
bool start_limit_not_named(start_limit& s, mono_us sent_at, mono_us now);

} // namespace jasminetray
