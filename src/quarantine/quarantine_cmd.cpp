// Commands of the quarantine; see quarantine_cmd.hpp.
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

/// Removes the marks of a request that `is_old` selects.
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

/// Makes room for one more mark: the oldest of those that confirm nothing
/// goes. A flood of suspects must not end a quarantine.
/// @return false when there is no such mark that is older than `at`
bool make_room(quarantine_book& b, mono_us at)
{
    if (b.marks < b.policy.max_marks)
        return true;
    const crash_mark* oldest = nullptr;
    for (const auto& [request, marks] : b.suspects) {
        if (is_quarantined(b, request))
            continue;
        for (const auto& m : marks) {
            if (oldest == nullptr || m.at < oldest->at)
                oldest = &m;
        }
    }
    if (oldest == nullptr || oldest->at >= at)
        return false;
    const auto it = b.suspects.find(oldest->request);
    const auto process = oldest->process;
    remove_marks(b, it->second,
                 [&](const auto& m) { return m.process == process; });
    if (it->second.empty())
        b.suspects.erase(it);
    return true;
}

/// Takes one mark up.
/// @return true when its request is in quarantine by it
bool take_mark(quarantine_book& b, const crash_mark& m, mono_us now)
{
    const auto it = b.suspects.find(m.request);
    if (it != b.suspects.end()) {
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
    b.suspects[m.request].push_back(m);
    ++b.marks;
    toggle_digest(b, m);
    // An old one comes from a comparison, and the others have it.
    if (now - m.at < b.policy.push_age)
        push_mark(b, m);
    return !was && is_quarantined(b, m.request);
}

} // namespace

std::vector<fingerprint>
quarantine_record_crash(quarantine_book& b, process_id process,
                        const std::vector<fingerprint>& running, mono_us now)
{
    std::vector<fingerprint> begun;
    for (const auto f : running) {
        if (take_mark(b, {f, process, now, false}, now))
            begun.push_back(f);
    }
    return begun;
}

std::vector<fingerprint>
quarantine_apply_reports(quarantine_book& b,
                         const std::vector<crash_report>& reports, mono_us now)
{
    std::vector<fingerprint> begun;
    for (const auto& r : reports) {
        // What others are about to forget must not come back from them.
        if (r.age < 0 || r.age >= b.policy.memory)
            continue;
        if (take_mark(b, {r.request, r.process, now - r.age, r.cleared}, now))
            begun.push_back(r.request);
    }
    return begun;
}

bool quarantine_clear(quarantine_book& b, fingerprint request)
{
    const auto it = b.suspects.find(request);
    bool stood = false;
    if (it == b.suspects.end())
        return stood;
    for (auto& m : it->second) {
        if (m.cleared)
            continue;
        clear_mark(b, m);
        stood = true;
    }
    return stood;
}

void quarantine_expire(quarantine_book& b, mono_us now)
{
    for (auto it = b.suspects.begin(); it != b.suspects.end();) {
        remove_marks(b, it->second, [&](const auto& m) {
            return now - m.at >= b.policy.memory;
        });
        it = it->second.empty() ? b.suspects.erase(it) : std::next(it);
    }
}

} // namespace jasminetray
