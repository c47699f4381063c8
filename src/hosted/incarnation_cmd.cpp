// Classification of announcements by incarnation.
#include "hosted/incarnation_type.hpp"

#include <algorithm>
#include <utility>

namespace jasminetray {

namespace {

void make_room(incarnation_table& t)
{
    if (t.names.size() < t.policy.max_names)
        return;
    const auto oldest = std::min_element(
        t.names.begin(), t.names.end(), [](const auto& a, const auto& b) {
            return a.second.last_seen_at < b.second.last_seen_at;
        });
    t.names.erase(oldest);
}

bool is_known_past(const incarnation_record& k, const announcement& a)
{
    return std::any_of(k.past.begin(), k.past.end(), [&](const auto& p) {
        return p.start_ms == a.boot && (p.departed || a.sequence <= p.sequence);
    });
}

/// Returns whether an incarnation with an earlier start is the running one,
/// after the wall clock stepped back or the later start was forged.
bool accept_candidate(incarnation_record& k, const announcement& a,
                      const incarnation_table& t, mono_us now)
{
    auto& r = k.candidate;
    if (!t.guards.accept_candidates || a.draining || a.leaving ||
        is_known_past(k, a))
        return false;
    if (r.start_ms != a.boot) {
        r = {a.boot, a.sequence, 1, now};
        return false;
    }
    if (a.sequence <= r.sequence)
        return false;
    r.sequence = a.sequence;
    ++r.announcements;
    return r.announcements >= t.policy.candidate_announcements &&
           now - r.first_at >= t.policy.candidate_period;
}

/// Returns whether the first start time stated for a name precedes a departure
/// announced without one; then the same process departed.
bool departed_after_start(const incarnation_record& k, const announcement& a)
{
    return k.start_ms == 0 && k.departed && a.boot < k.departed_ms;
}

/// Switches the record to the announcement's incarnation. An ambiguous start
/// may be that of a superseded incarnation, so it has to qualify as a
/// candidate.
/// @return false when the announcement is of a previous incarnation
bool switch_incarnation(incarnation_record& k, const announcement& a,
                        const incarnation_table& t, mono_us now)
{
    if (a.boot == k.start_ms || a.boot == 0)
        return true;
    const bool is_ambiguous = a.boot <= std::max(k.start_ms, k.ambiguous_until);
    if (is_ambiguous && t.guards.order_starts &&
        !accept_candidate(k, a, t, now))
        return false;
    const auto departed = departed_after_start(k, a);
    const auto ambiguous_until =
        is_ambiguous ? std::max(k.start_ms, k.ambiguous_until) : 0;
    auto past = k.past;
    if (past.size() >= max_past_incarnations)
        past.erase(past.begin());
    past.push_back({k.start_ms, k.sequence, k.departed});
    if (t.guards.fresh_record) {
        k = {};
        k.departed = departed;
    }
    k.past = std::move(past);
    k.start_ms = a.boot;
    k.ambiguous_until = ambiguous_until;
    return true;
}

} // namespace

announcement_status apply_announcement(incarnation_table& t,
                                       const announcement& a, mono_us now,
                                       std::uint64_t wall_ms)
{
    if (t.names.count(a.name) == 0)
        make_room(t);
    auto& k = t.names[a.name];
    // Another program may use the backend server's name. A departure without a
    // start time is accepted all the same: it is worse to send requests to a
    // stopped backend server than to spare a running one.
    if (a.boot == 0 && k.start_ms != 0 && !a.leaving && t.guards.require_start)
        return announcement_status::unidentified;
    if (!switch_incarnation(k, a, t, now))
        return announcement_status::stale;
    k.candidate = {};
    k.last_seen_at = now;
    if (a.draining || a.leaving) {
        k.departed = true;
        k.departed_ms = a.boot == 0 ? wall_ms : 0;
        return announcement_status::departed;
    }
    if (k.departed && t.guards.keep_departed)
        return announcement_status::stale;
    if (k.sequence != 0 && a.sequence <= k.sequence && t.guards.order_sequences)
        return announcement_status::stale;
    k.sequence = a.sequence;
    ++k.ready;
    return announcement_status::current;
}

bool is_start_of_probed_process(std::uint64_t start_ms,
                                std::uint64_t current_start_ms,
                                std::uint64_t probed_ms, std::uint64_t wall_ms)
{
    if (probed_ms == 0 || start_ms <= current_start_ms)
        return false;
    return start_ms <= probed_ms || start_ms > wall_ms;
}

bool may_have_started_by(std::uint64_t start_ms, std::int64_t wall_ms)
{
    return start_ms == 0 || static_cast<std::int64_t>(start_ms) <= wall_ms;
}

} // namespace jasminetray
