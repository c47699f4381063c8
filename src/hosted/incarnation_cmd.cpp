// Taking announcements in; see incarnation_type.hpp.
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
            return a.second.heard_at < b.second.heard_at;
        });
    t.names.erase(oldest);
}

/// Whether a word says nothing new of an incarnation that was known before.
bool is_past_word(const incarnation_record& k, const announcement& a)
{
    return std::any_of(k.past.begin(), k.past.end(), [&](const auto& p) {
        return p.born == a.boot && (p.left || a.sequence <= p.sequence);
    });
}

/// Whether an incarnation with an earlier start is the living one: the VM's
/// clock stepped back before it started, or the later start was a forgery.
/// Without this it would be unused until its clock had caught up.
bool outlives(incarnation_record& k, const announcement& a,
              const incarnation_table& t, mono_us now)
{
    auto& r = k.rival;
    if (!t.guards.hear_rivals || a.draining || a.leaving || is_past_word(k, a))
        return false;
    if (r.born != a.boot) {
        r = {a.boot, a.sequence, 1, now};
        return false;
    }
    if (a.sequence <= r.sequence)
        return false;
    r.sequence = a.sequence;
    ++r.heard;
    return r.heard >= t.policy.rival_words &&
           now - r.since >= t.policy.rival_span;
}

/// Whether a start that is told for the first time came before an undated
/// farewell: then it is the process that said it.
bool started_before_leave(const incarnation_record& k, const announcement& a)
{
    return k.born == 0 && k.left && a.boot < k.left_ms;
}

/// Makes the record one of the announcement's incarnation; false when the
/// announcement is of an earlier one. A start up to the ceiling may be a late
/// word of one that was outlived, so it has to prove itself as well.
bool turn_to(incarnation_record& k, const announcement& a,
             const incarnation_table& t, mono_us now)
{
    if (a.boot == k.born || a.boot == 0)
        return true;
    const bool in_doubt = a.boot <= std::max(k.born, k.ceiling);
    if (in_doubt && t.guards.order_starts && !outlives(k, a, t, now))
        return false;
    const auto left = started_before_leave(k, a);
    const auto ceiling = in_doubt ? std::max(k.born, k.ceiling) : 0;
    auto past = k.past;
    if (past.size() >= max_past)
        past.erase(past.begin());
    past.push_back({k.born, k.sequence, k.left});
    if (t.guards.fresh_record) {
        k = {};
        k.left = left;
    }
    k.past = std::move(past);
    k.born = a.boot;
    k.ceiling = ceiling;
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
    // Another program may write in this backend server's name. A farewell
    // without a start is taken all the same: work that it must not get is
    // worse than work that it misses.
    if (a.boot == 0 && k.born != 0 && !a.leaving && t.guards.need_start)
        return announcement_status::unidentified;
    if (!turn_to(k, a, t, now))
        return announcement_status::stale;
    k.rival = {};
    k.heard_at = now;
    if (a.draining || a.leaving) {
        k.left = true;
        k.left_ms = a.boot == 0 ? wall_ms : 0;
        return announcement_status::gone;
    }
    if (k.left && t.guards.keep_left)
        return announcement_status::stale;
    if (k.sequence != 0 && a.sequence <= k.sequence && t.guards.order_numbers)
        return announcement_status::stale;
    k.sequence = a.sequence;
    ++k.ready;
    return announcement_status::current;
}

bool is_start_of_probed_process(std::uint64_t born, std::uint64_t known,
                                std::uint64_t answered_ms,
                                std::uint64_t wall_ms)
{
    if (answered_ms == 0 || born <= known)
        return false;
    return born <= answered_ms || born > wall_ms;
}

} // namespace jasminetray
