// Count of the requests that callers wait for. It answers a stop under load: a
// request that waits anywhere, or whose answer is being written, keeps the node
// from ending before the time to stop is over.
#pragma once

#include "node/node_state.hpp"

#include <cassert>
#include <utility>

namespace jasminetray {

/// Counts one request, from its first byte to the last byte of its answer.
class open_call
{
public:
    explicit open_call(node_state& n) : state_(&n)
    {
        ++n.in_flight;
    }

    open_call(open_call&& other) noexcept
        : state_(std::exchange(other.state_, nullptr))
    {
    }

    ~open_call()
    {
        if (state_ == nullptr)
            return;
        assert(state_->in_flight > 0);
        --state_->in_flight;
    }

    open_call(const open_call&) = delete;
    open_call& operator=(const open_call&) = delete;
    open_call& operator=(open_call&&) = delete;

private:
    node_state* state_; ///< null once moved from
};

} // namespace jasminetray
