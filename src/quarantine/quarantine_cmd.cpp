// Operations that change the quarantine.
#include "quarantine/quarantine_cmd.hpp"

#include "quarantine/quarantine_query.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

void toggle_digest(quarantine_book& b, const crash_mark& m)
{
    b.digest[bucket_of(m.request)] ^= mark_hash(m);
}

void push_mark(quarantine_book& b, const crash_mark& m)
{
    b.pending.push_back({m.request, m.process, b.policy.push_rounds});
}

void clear_mark(quarantine_book& b, crash_mark& m)
{
    toggle_digest(b, m);
    m.cleared = true;
    toggle_digest(b, m);
    push_mark(b, m);
}

template <typename Predicate>
void remove_marks(quarantine_book& b, std::vector<crash_mark>& marks,
                  Predicate is_old)
{
    const auto first = std::stable_partition(
        marks.begin(), marks.end(), [&](const auto& m) { return !is_old(m); });
    for (auto it = first; it != marks.end(); ++it) {
        toggle_digest(b, *it);
        --b.marks;
    }
    marks.erase(first, marks.end());
}

/// Makes room for one more mark by evicting the oldest one whose request is not
/// quarantined, so that a flood of marks doesn't end a quarantine.
/// @return false when there is no such mark older than `at`
bool make_room(quarantine_book& b, mono_us at)
{
    if (b.marks < b.policy.max_marks)
        return true;
    const crash_mark* oldest = nullptr;
    for (const auto& [request, marks] : b.marks_by_request) {
        if (is_quarantined(b, request))
            continue;
        for (const auto& m : marks) {
            if (oldest == nullptr || m.at < oldest->at)
                oldest = &m;
        }
    }
    if (oldest == nullptr || oldest->at >= at)
        return false;
    const auto it = b.marks_by_request.find(oldest->request);
    const auto process = oldest->process;
    remove_marks(b, it->second,
                 [&](const auto& m) { return m.process == process; });
    if (it->second.empty())
        b.marks_by_request.erase(it);
    return true;
}

/// Adds a mark, or clears a known one.
/// @return true when it starts the quarantine of its request
bool take_mark(quarantine_book& b, const crash_mark& m, mono_us now)
{
    const auto it = b.marks_by_request.find(m.request);
    if (it != b.marks_by_request.end()) {
        const auto known =
            std::find_if(it->second.begin(), it->second.end(),
                         [&](const auto& x) { return x.process == m.process; });
        if (known != it->second.end()) {
            if (m.cleared && !known->cleared)
                clear_mark(b, *known);
            return false;
        }
    }
    if (!make_room(b, m.at))
        return false;
    const bool was = is_quarantined(b, m.request);
    b.marks_by_request[m.request].push_back(m);
    ++b.marks;
    toggle_digest(b, m);
    // An older mark comes from a digest reply, so other nodes have it.
    if (now - m.at < b.policy.push_age)
        push_mark(b, m);
    return !was && is_quarantined(b, m.request);
}

} // namespace

std::vector<fingerprint>
quarantine_record_crash(quarantine_book& b, process_id process,
                        const std::vector<fingerprint>& running, mono_us now)
{
    std::vector<fingerprint> newly_quarantined;
    for (const auto f : running) {
        if (take_mark(b, {f, process, now, false}, now))
            newly_quarantined.push_back(f);
    }
    return newly_quarantined;
}

std::vector<fingerprint>
quarantine_apply_reports(quarantine_book& b,
                         const std::vector<crash_report>& reports, mono_us now)
{
    std::vector<fingerprint> newly_quarantined;
    for (const auto& r : reports) {
        // Nodes must not pass expired marks back and forth.
        if (r.age < 0 || r.age >= b.policy.mark_ttl)
            continue;
        if (take_mark(b, {r.request, r.process, now - r.age, r.cleared}, now))
            newly_quarantined.push_back(r.request);
    }
    return newly_quarantined;
}

bool quarantine_clear(quarantine_book& b, fingerprint request)
{
    const auto it = b.marks_by_request.find(request);
    bool cleared_any = false;
    if (it == b.marks_by_request.end())
        return cleared_any;
    for (auto& m : it->second) {
        if (m.cleared)
            continue;
        clear_mark(b, m);
        cleared_any = true;
    }
    return cleared_any;
}

void quarantine_expire(quarantine_book& b, mono_us now)
{
    for (auto it = b.marks_by_request.begin();
         it != b.marks_by_request.end();) {
        remove_marks(b, it->second, [&](const auto& m) {
            return now - m.at >= b.policy.mark_ttl;
        });
        it = it->second.empty() ? b.marks_by_request.erase(it) : std::next(it);
    }
}

} // namespace jasminetray
