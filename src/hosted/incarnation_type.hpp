// Incarnations of hosted backend servers. A backend server may restart under
// the same name; name and start time identify a process. Late announcements of
// a previous incarnation must not affect the current one.
#pragma once

#include "base/names_type.hpp"
#include "hosted/announcement_type.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace jasminetray {

enum class announcement_status : std::uint8_t
{
    stale,        ///< of a previous incarnation, or out of order
    unidentified, ///< lacks a start time although the name has one
    departed,     ///< the incarnation accepts no requests any more
    current,      ///< newest announcement of the current incarnation
};

/// Names used as metric labels.
inline constexpr std::array<std::string_view, 4> announcement_status_names = {
    "stale", "stranger", "gone", "current"};

/// An incarnation with an earlier start time that keeps announcing itself.
struct incarnation_candidate
{
    std::uint64_t start_ms = 0; ///< 0 for none
    std::uint64_t sequence = 0; ///< of its newest announcement
    int announcements = 0;      ///< with rising sequence numbers
    mono_us first_at = 0;       ///< time of the first of them
};

/// A superseded incarnation, kept to recognise its late announcements.
struct past_incarnation
{
    std::uint64_t start_ms = 0;
    std::uint64_t sequence = 0; ///< of its newest announcement
    bool departed = false;      ///< announced that it drains or leaves
};

constexpr std::size_t max_past_incarnations = 8; ///< per name

/// State of one name. Invariant: all members but `candidate`,
/// `ambiguous_until` and `past` belong to the incarnation `start_ms`, and are
/// reset for a later one.
struct incarnation_record
{
    std::uint64_t start_ms = 0;    ///< since 1970; 0 when not stated
    std::uint64_t sequence = 0;    ///< of its newest announcement
    int ready = 0;                 ///< number of announcements as ready
    bool departed = false;         ///< announced that it drains or leaves
    std::uint64_t departed_ms = 0; ///< wall clock then, if without start time
    mono_us last_seen_at = 0;      ///< newest announcement of any kind
    /// Start times up to this one are ambiguous, because the wall clock has
    /// stepped back since. 0 for none.
    std::uint64_t ambiguous_until = 0;
    // Invariant: at most max_past_incarnations, newest last.
    std::vector<past_incarnation> past;
    incarnation_candidate candidate;
};

struct incarnation_policy
{
    /// Names kept; the one that was idle for longest is evicted.
    std::size_t max_names = 256;
    /// How long a candidate must announce itself without one of the current
    /// incarnation. Announcements delayed by the network arrive in one burst.
    span_us candidate_period = 3 * us_per_s;
    int candidate_announcements = 3; ///< minimum number in that period
};

/// Safeguards that tests can turn off; all on in production.
struct incarnation_guards
{
    bool order_starts = true;  ///< an earlier start is a previous incarnation
    bool fresh_record = true;  ///< a new incarnation starts with empty state
    bool keep_departed = true; ///< a departed incarnation never returns
    bool accept_candidates = true; ///< recover from a clock that stepped back
    bool require_start = true;     ///< reject announcements without start time
    bool order_sequences = true;   ///< reject announcements out of order
};

/// Incarnations on one VM, by name.
struct incarnation_table
{
    incarnation_policy policy;
    incarnation_guards guards;
    std::map<std::string, incarnation_record> names;
};

/// Updates the table with an announcement and classifies it.
/// @param now monotonic clock of this process
/// @param wall_ms wall clock of this VM, in milliseconds since 1970
announcement_status apply_announcement(incarnation_table& t,
                                       const announcement& a, mono_us now,
                                       std::uint64_t wall_ms);

/// Returns whether a start time belongs to the process that answered a health
/// probe, so that its first announcement isn't taken for a restart and its
/// requests continue. The probed process has the latest start before the
/// answer. A start in the future shows that the wall clock stepped back;
/// requests then continue, and end by themselves if the process has ended.
/// @param start_ms announced start, in milliseconds since 1970
/// @param current_start_ms start assumed so far; 0 for none
/// @param probed_ms wall clock at the probe's answer; 0 for no answer
/// @param wall_ms wall clock now
bool is_start_of_probed_process(std::uint64_t start_ms,
                                std::uint64_t current_start_ms,
                                std::uint64_t probed_ms, std::uint64_t wall_ms);

/// Returns whether a process may have run at a time in the past.
/// @param start_ms its start, in milliseconds since 1970; 0 when not known
bool may_have_started_by(std::uint64_t start_ms, std::int64_t wall_ms);

} // namespace jasminetray
