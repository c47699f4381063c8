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

void run_loop(node_state& n)
{
    while (!run_guarded(n, "io", [&n] { n.ctx.run(); })) {
    }
}

} // namespace jasminetray
