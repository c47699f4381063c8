// Memory that is set aside for work that must not fail. Guards against a lack
// of memory that ends the process: libraries (Cap'n Proto, glog) throw from
// destructors when an allocation fails. Requests take what is left over; when
// an allocation fails anyway, a block of the reserve is freed for it, and new
// requests are refused until the reserve is whole enough again.
//
// The reserve is one for the process, like the allocator. All functions may be
// called from any thread.
#pragma once

#include <cstddef>

namespace jasminetray {

/// An allocation of this size at least succeeds while a few blocks are held.
constexpr std::size_t memory_block_bytes = 256 * 1024;
constexpr std::size_t max_memory_blocks = 1024;

struct memory_reserve_state
{
    std::size_t blocks = 0; ///< when whole; 0 without a reserve
    std::size_t held = 0;   ///< invariant: <= blocks
};

/// Sets memory aside and uses it from now on, also where libraries call
/// operator new.
void start_memory_reserve(std::size_t bytes);

memory_reserve_state find_memory_reserve();

/// Frees a block, so that a failed allocation can be tried again.
/// @return false if none is held, or this thread must do without
bool use_memory_reserve();

/// Takes back what can be had. Called at intervals.
void refill_memory_reserve();

/// Makes sure that an allocation of `bytes` succeeds now.
bool can_allocate(std::size_t bytes);

/// Returns whether more than half of the reserve is used.
bool is_memory_low(const memory_reserve_state& s);

/// Returns whether a new request is refused for lack of memory. One without
/// another beside it is not, as its refusal would free nothing.
/// @param in_flight requests, with this one
bool lacks_memory_for(const memory_reserve_state& s, int in_flight);

/// Makes allocations of this thread fail rather than use the reserve, for
/// memory in an amount that others choose, such as bodies. Must not be held
/// where a coroutine waits.
class no_memory_reserve
{
public:
    no_memory_reserve();
    ~no_memory_reserve();
    no_memory_reserve(const no_memory_reserve&) = delete;
    no_memory_reserve& operator=(const no_memory_reserve&) = delete;
};

} // namespace jasminetray
