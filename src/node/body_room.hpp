// A reservation in the node's budget of bytes for bodies, given back at the end
// of its scope, however that ends. Where the budget has no limit it holds
// nothing and always has room.
#pragma once

#include "memory/body_budget_func.hpp"
#include "node/node_state.hpp"

#include <functional>
#include <utility>

namespace jasminetray {

class body_room
{
public:
    body_room() = default;

    /// Reserves bytes; has_value() says whether there was room.
    body_room(node_state& n, body_kind kind, std::uint64_t bytes);

    body_room(body_room&& other) noexcept
        : state_(std::exchange(other.state_, nullptr)), id_(other.id_)
    {
    }

    body_room& operator=(body_room&& other) noexcept
    {
        std::swap(state_, other.state_);
        std::swap(id_, other.id_);
        return *this;
    }

    ~body_room();

    body_room(const body_room&) = delete;
    body_room& operator=(const body_room&) = delete;

    bool has_value() const
    {
        return state_ != nullptr;
    }

    /// Returns whether the room was taken back while its sender was idle.
    bool withdrawn() const;

    /// Changes the bytes that are reserved. @return false when there is no room
    bool resize(std::uint64_t bytes);

    /// Notes that the body waits for its sender. An idle sender loses the room
    /// to a body that finds none.
    /// @param stop ends the wait; called at most once, from the request thread
    void wait(std::function<void()> stop);

    /// Notes bytes that ended a wait.
    void arrived(std::uint64_t bytes);

    /// Returns whether the reservation counts toward a limit.
    bool has_limit() const
    {
        return state_ != nullptr && state_->bodies.limit > 0;
    }

private:
    node_state* state_ = nullptr; ///< null without a reservation
    body_hold_id id_{};
};

/// Reserves bytes, and waits for them in turn if there is no room: for as long
/// at most as a refused caller would be told to stay away.
/// @return without a value when there was none
body_room wait_for_room(node_state& n, body_kind kind, std::uint64_t bytes,
                        const yield& y);

/// Sent to callers whose request finds no room.
inline constexpr span_us body_retry_after = us_per_s;

/// Notes a request that is refused for lack of room. Logs the first one since
/// there was room.
/// @param side "entry" or "exit"
void note_bodies_full(node_state& n, const char* side);

} // namespace jasminetray
