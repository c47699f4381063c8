// The reserve of memory; see memory_reserve.hpp.
#include "base/memory_reserve.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <new>

namespace jasminetray {

namespace {

using block_slots = std::array<std::atomic<void*>, max_memory_blocks>;

block_slots slots{};
std::atomic<std::size_t> slot_count{0};
thread_local int exempt_scopes = 0;

/// Called by operator new when it fails.
void free_a_block()
{
    if (!use_memory_reserve())
        throw std::bad_alloc();
}

} // namespace

void start_memory_reserve(std::size_t bytes)
{
    slot_count = std::min(max_memory_blocks, bytes / memory_block_bytes);
    if (slot_count == 0)
        return;
    refill_memory_reserve();
    std::set_new_handler(free_a_block);
}

memory_reserve_state find_memory_reserve()
{
    memory_reserve_state s;
    s.blocks = slot_count;
    s.held = static_cast<std::size_t>(
        std::count_if(slots.begin(), slots.begin() + s.blocks,
                      [](const auto& x) { return x.load() != nullptr; }));
    return s;
}

bool use_memory_reserve()
{
    if (exempt_scopes > 0)
        return false;
    for (std::size_t n = slot_count; n > 0; --n) {
        if (auto* block = slots[n - 1].exchange(nullptr)) {
            ::operator delete(block);
            return true;
        }
    }
    return false;
}

void refill_memory_reserve()
{
    const no_memory_reserve scope;
    for (std::size_t n = 0; n < slot_count; ++n) {
        if (slots[n].load() != nullptr)
            continue;
        auto* block = ::operator new(memory_block_bytes, std::nothrow);
        void* none = nullptr;
        if (block == nullptr)
            return;
        if (!slots[n].compare_exchange_strong(none, block))
            ::operator delete(block); // refilled by another thread
    }
}

bool can_allocate(std::size_t bytes)
{
    auto* probe = ::operator new(bytes, std::nothrow);
    ::operator delete(probe);
    return probe != nullptr;
}

bool is_memory_low(const memory_reserve_state& s)
{
    return s.held < s.blocks / 2;
}

bool lacks_memory_for(const memory_reserve_state& s, int in_flight)
{
    return in_flight > 1 && is_memory_low(s);
}

no_memory_reserve::no_memory_reserve()
{
    ++exempt_scopes;
}

no_memory_reserve::~no_memory_reserve()
{
    --exempt_scopes;
}

} // namespace jasminetray
