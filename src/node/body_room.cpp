// Implementation of reservations for bodies; see body_room.hpp.
#include "node/body_room.hpp"

#include "base/on_exit.hpp"
#include "node/guard_func.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

std::string describe_bodies(const body_budget& b)
{
    std::string text =
        "held=" + std::to_string(b.held) + " limit=" + std::to_string(b.limit);
    for (std::size_t k = 0; k < body_kind_names.size(); ++k)
        text += " " + std::string(body_kind_names[k]) + "=" +
                std::to_string(b.held_by_kind[k]);
    return text;
}

/// Returns the bodies that a body of the kind waits behind.
std::list<asio::steady_timer*>& find_turns(node_state& n, body_kind kind)
{
    return is_from_peer(kind) ? n.peer_body_turns : n.body_turns;
}

/// Ends the waits of the bodies whose turn it is.
void wake_next(node_state& n)
{
    for (const auto* turns : {&n.peer_body_turns, &n.body_turns}) {
        if (!turns->empty())
            turns->front()->cancel();
    }
}

/// Takes back the room of a body whose sender is idle.
/// @return false when there is none
bool withdraw_idle_body(node_state& n)
{
    const auto id = find_idle_body(n.bodies, mono_now());
    if (!id)
        return false;
    body_release(n.bodies, *id);
    ++n.bodies.withdrawn;
    const auto it = n.body_waits.find(*id);
    if (it == n.body_waits.end())
        return true;
    const auto stop = std::move(it->second);
    n.body_waits.erase(it);
    stop();
    return true;
}

/// Tries until there is room or no idle sender is left.
template <typename Try>
bool find_room(node_state& n, body_kind kind, Try try_once)
{
    while (!try_once()) {
        // An answer without room is streamed: that costs its reader nothing.
        if (kind == body_kind::answer || !withdraw_idle_body(n))
            return false;
    }
    return true;
}

} // namespace

body_room::body_room(node_state& n, body_kind kind, std::uint64_t bytes)
{
    if (n.bodies.limit == 0 || find_room(n, kind, [&] {
            const auto id = body_reserve(n.bodies, kind, bytes);
            id_ = id.value_or(body_hold_id{});
            return id.has_value();
        }))
        state_ = &n;
}

body_room::~body_room()
{
    if (!has_limit())
        return;
    state_->body_waits.erase(id_);
    body_release(state_->bodies, id_);
    wake_next(*state_);
    if (!body_note_room(state_->bodies))
        return;
    run_guarded(*state_, "body-room", [this] {
        state_->events.write(event_id::body_memory_free, state_->settings.name,
                             describe_bodies(state_->bodies));
    });
}

bool body_room::withdrawn() const
{
    return has_limit() && state_->bodies.holds.count(id_) == 0;
}

bool body_room::resize(std::uint64_t bytes)
{
    if (!has_limit())
        return has_value();
    const auto it = state_->bodies.holds.find(id_);
    return it != state_->bodies.holds.end() &&
           find_room(*state_, it->second.kind,
                     [&] { return body_resize(state_->bodies, id_, bytes); });
}

void body_room::wait(std::function<void()> stop)
{
    if (!has_limit() || withdrawn())
        return;
    state_->body_waits[id_] = std::move(stop);
    body_wait(state_->bodies, id_, mono_now());
}

void body_room::arrived(std::uint64_t bytes)
{
    if (!has_limit())
        return;
    state_->body_waits.erase(id_);
    body_arrived(state_->bodies, id_, bytes, mono_now());
}

body_room wait_for_room(node_state& n, body_kind kind, std::uint64_t bytes,
                        const yield& y)
{
    constexpr span_us retry_interval = 100 * us_per_ms; // senders turn idle
    // Small bodies pass those that wait for much.
    auto& turns = find_turns(n, kind);
    if (is_small(kind) || turns.empty()) {
        body_room room(n, kind, bytes);
        if (room.has_value())
            return room;
    }
    asio::steady_timer turn(n.ctx);
    const auto at = turns.insert(turns.end(), &turn);
    const on_exit leave([&n, &turns, at] {
        turns.erase(at);
        wake_next(n);
    });
    const auto until = mono_now() + body_retry_after;
    while (true) {
        const bool first = turns.front() == &turn;
        const auto left = until - mono_now();
        if (first && (body_has_room(n.bodies, kind, bytes) || left <= 0 ||
                      find_idle_body(n.bodies, mono_now())))
            return {n, kind, bytes};
        if (left <= 0)
            return {};
        turn.expires_after(std::chrono::microseconds(
            first ? std::min(left, retry_interval) : left));
        beast::error_code ec;
        turn.async_wait(y[ec]);
    }
}

void note_bodies_full(node_state& n, const char* side)
{
    if (body_note_full(n.bodies))
        n.events.write(event_id::body_memory_full, n.settings.name,
                       "side=" + std::string(side) + " " +
                           describe_bodies(n.bodies));
}

} // namespace jasminetray
