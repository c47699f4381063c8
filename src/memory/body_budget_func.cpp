// Implementation of the budget of bytes; see body_budget_func.hpp.
#include "memory/body_budget_func.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

constexpr std::size_t index_of(body_kind kind)
{
    return static_cast<std::size_t>(kind);
}

/// Adds bytes to a hold that has room for them.
void add_bytes(body_budget& b, body_hold& h, std::uint64_t bytes)
{
    h.bytes += bytes;
    b.held += bytes;
    b.held_by_kind[index_of(h.kind)] += bytes;
    b.peak = std::max(b.peak, b.held);
}

void remove_bytes(body_budget& b, body_hold& h, std::uint64_t bytes)
{
    h.bytes -= bytes;
    b.held -= bytes;
    b.held_by_kind[index_of(h.kind)] -= bytes;
}

span_us idle_time(const body_hold& h, mono_us now)
{
    return h.waiting_since ? h.waited + (now - *h.waiting_since) : 0;
}

} // namespace

std::uint64_t body_ceiling(const body_budget& b, body_kind kind)
{
    return static_cast<std::uint64_t>(static_cast<double>(b.limit) *
                                      body_shares[index_of(kind)]);
}

bool body_has_room(const body_budget& b, body_kind kind, std::uint64_t bytes)
{
    const auto ceiling = body_ceiling(b, kind);
    return b.held <= ceiling && bytes <= ceiling - b.held;
}

std::optional<body_hold_id> body_reserve(body_budget& b, body_kind kind,
                                         std::uint64_t bytes)
{
    if (!body_has_room(b, kind, bytes)) {
        ++b.refused[index_of(kind)];
        return std::nullopt;
    }
    const auto id = static_cast<body_hold_id>(++b.last_id);
    auto& h = b.holds[id];
    h.kind = kind;
    add_bytes(b, h, bytes);
    return id;
}

bool body_resize(body_budget& b, body_hold_id id, std::uint64_t bytes)
{
    const auto it = b.holds.find(id);
    if (it == b.holds.end())
        return false;
    auto& h = it->second;
    if (bytes <= h.bytes) {
        remove_bytes(b, h, h.bytes - bytes);
        return true;
    }
    if (!body_has_room(b, h.kind, bytes - h.bytes)) {
        ++b.refused[index_of(h.kind)];
        return false;
    }
    add_bytes(b, h, bytes - h.bytes);
    return true;
}

void body_release(body_budget& b, body_hold_id id)
{
    const auto it = b.holds.find(id);
    if (it == b.holds.end())
        return;
    remove_bytes(b, it->second, it->second.bytes);
    b.holds.erase(it);
}

void body_wait(body_budget& b, body_hold_id id, mono_us now)
{
    const auto it = b.holds.find(id);
    if (it != b.holds.end() && !it->second.waiting_since)
        it->second.waiting_since = now;
}

void body_arrived(body_budget& b, body_hold_id id, std::uint64_t bytes,
                  mono_us now)
{
    const auto it = b.holds.find(id);
    if (it == b.holds.end())
        return;
    auto& h = it->second;
    h.waited = idle_time(h, now);
    h.waiting_since = std::nullopt;
    h.recent += bytes;
    if (h.recent < min_progress_bytes)
        return;
    h.waited = 0;
    h.recent = 0;
}

std::optional<body_hold_id> find_idle_body(const body_budget& b, mono_us now)
{
    std::optional<body_hold_id> found;
    span_us longest = idle_body_time;
    for (const auto& [id, h] : b.holds) {
        const auto idle = idle_time(h, now);
        if (idle < longest || (found && idle == longest))
            continue;
        found = id;
        longest = idle;
    }
    return found;
}

bool body_note_full(body_budget& b)
{
    const bool first = !b.full;
    b.full = true;
    return first;
}

bool body_note_room(body_budget& b)
{
    constexpr std::uint64_t free_share = 4; // far below all ceilings
    const bool room = b.full && b.held <= b.limit / free_share;
    if (room)
        b.full = false;
    return room;
}

std::uint64_t body_limit_for(std::optional<std::uint64_t> setting,
                             std::uint64_t vm_bytes)
{
    constexpr std::uint64_t vm_share = 10; // the rest is for all other work
    constexpr std::uint64_t unknown_vm = 16 << 20;
    constexpr std::uint64_t least = 1 << 20; // some windows
    if (setting)
        return *setting;
    return vm_bytes == 0 ? unknown_vm : std::max(least, vm_bytes / vm_share);
}

} // namespace jasminetray
