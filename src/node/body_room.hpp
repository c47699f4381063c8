// A reservation in the node's budget of bytes for bodies, given back at the end
// of its scope, however that ends.
#pragma once

#include "memory/body_budget_func.hpp"
#include "node/node_state.hpp"

#include <utility>

namespace jasminetray {

class body_room
{
public:
    body_room() = default;

    /// Reserves bytes; has_value() says whether there was room.
    body_room(node_state& n, std::uint64_t bytes)
    {
        if (const auto id = body_reserve(n.bodies, bytes)) {
            state_ = &n;
            id_ = *id;
        }
    }

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

    ~body_room()
    {
        if (state_ != nullptr)
            body_release(state_->bodies, id_);
    }

    body_room(const body_room&) = delete;
    body_room& operator=(const body_room&) = delete;

    bool has_value() const
    {
        return state_ != nullptr;
    }

private:
    node_state* state_ = nullptr; ///< null without a reservation
    body_hold_id id_{};
};

} // namespace jasminetray
