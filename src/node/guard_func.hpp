// Confines exceptions to the request, connection or task in which they occur.
// What may throw at any point is memory (std::bad_alloc, std::length_error);
// expected errors are return values.
//
// An exception in a coroutine ends that coroutine. One in an operation of the
// I/O library leaves the loop's run(); the library then destroys the coroutine
// that waits for the operation, so what a coroutine must undo at its end stands
// in an on_exit.
#pragma once

#include "base/memory_reserve.hpp"
#include "node/node_state.hpp"

#include <boost/asio/post.hpp>
#include <boost/context/fixedsize_stack.hpp>
#include <chrono>
#include <exception>
#include <thread>

namespace jasminetray {

/// Logs and counts an exception. May be called from any thread.
/// @param part of the program that threw, for the log
void record_handler_failure(event_log& events, node_metrics& m,
                            const char* part,
                            const std::exception_ptr& failure) noexcept;

/// Calls a function and records its exception. Takes a reference, as a copy of
/// the function may throw, too.
/// @return whether there was none
template <typename Call>
bool run_guarded(node_state& n, const char* part, Call&& call) noexcept
{
    std::exception_ptr failure;
    try {
        call();
        return true;
    } catch (const std::exception&) {
        failure = std::current_exception();
    }
    record_handler_failure(n.events, n.metrics, part, failure);
    return false;
}

/// Allocates the stacks of coroutines, which the library takes from malloc().
class reserve_stack : public boost::context::fixedsize_stack
{
public:
    boost::context::stack_context allocate()
    {
        while (true) {
            try {
                return basic_fixedsize_stack::allocate();
            } catch (const std::bad_alloc&) {
                if (!use_memory_reserve())
                    throw;
            }
        }
    }
};

/// Starts a coroutine on the request thread.
template <typename Function>
void spawn_guarded(node_state& n, const char* part, Function function)
{
    asio::spawn(n.ctx, std::allocator_arg, reserve_stack(), std::move(function),
                [&n, part](const std::exception_ptr& failure) {
                    if (failure)
                        record_handler_failure(n.events, n.metrics, part,
                                               failure);
                });
}

/// Runs a blocking call on the pool, whose threads must not throw.
template <typename Call>
void post_blocking(node_state& n, asio::thread_pool& pool, const char* part,
                   Call call)
{
    asio::post(pool, [&n, part, call = std::move(call)]() mutable {
        run_guarded(n, part, call);
    });
}

/// Posts the end of a blocking call to the request thread, where somebody waits
/// for it. Tries again while there is no memory.
template <typename Call>
void post_reply(node_state& n, const char* part, const Call& call)
{
    constexpr std::chrono::milliseconds delay(10);
    while (!run_guarded(n, part, [&] { asio::post(n.ctx, call); }))
        std::this_thread::sleep_for(delay);
}

/// Takes back the reserve of memory, and logs when new requests begin or cease
/// to be refused for lack of it. Called at each tick.
void watch_memory(node_state& n);

/// Runs the request thread's loop until it is stopped.
void run_loop(node_state& n);

} // namespace jasminetray
