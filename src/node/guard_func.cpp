// Recording of exceptions and the guarded loop; see guard_func.hpp.
#include "node/guard_func.hpp"

#include <cstdio>

namespace jasminetray {

namespace {

std::string describe(const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& e) {
        return e.what();
    }
}

} // namespace

void record_handler_failure(event_log& events, node_metrics& m,
                            const char* part,
                            const std::exception_ptr& failure) noexcept
{
    try {
        increment_counter(*m.handler_failures, "part", part);
        events.write(event_id::handler_failed, part,
                     "error=" + describe(failure));
    } catch (const std::exception&) {
        // No memory is left for the event.
        std::fputs("handler_failed: no memory for the log\n", stderr);
    }
}

void watch_memory(node_state& n)
{
    const auto before = find_memory_reserve();
    if (before.held < before.blocks)
        refill_memory_reserve();
    n.metrics.memory_reserve->Set(
        static_cast<double>(before.held * memory_block_bytes));
    const bool low = is_memory_low(before);
    if (low == n.memory_low)
        return;
    n.memory_low = low;
    n.events.write(event_id::memory_low, n.settings.name,
                   std::string(low ? "began" : "ended") + "=1 reserve_kb=" +
                       std::to_string(before.held * memory_block_bytes / 1024) +
                       " requests=" + std::to_string(n.in_flight));
}

void run_loop(node_state& n)
{
    while (!run_guarded(n, "io", [&n] { n.ctx.run(); })) {
    }
}

} // namespace jasminetray
