// Log lines to a file descriptor; see log_writer.hpp.
#include "event/log_writer.hpp"

#include "event/event_log.hpp"

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <poll.h>
#include <string>
#include <thread>
#include <unistd.h>

namespace jasminetray {

namespace {

/// Gathered before a write: one call for all lines of a moment costs less
/// than one call a line, and is soon enough for a reader.
constexpr std::chrono::milliseconds gather_for(20);

/// Waits for an output that was set not to block, as some readers do.
void wait_for_room(int fd)
{
    constexpr int bound_ms = 100;
    pollfd p{fd, POLLOUT, 0};
    ::poll(&p, 1, bound_ms);
}

/// @return false when the output is closed
bool write_whole(int fd, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const auto n = ::write(fd, text.data() + done, text.size() - done);
        if (n < 0 && errno == EAGAIN)
            wait_for_room(fd);
        else if (n < 0 && errno != EINTR)
            return false;
        done += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    return true;
}

} // namespace

struct log_writer::state
{
    std::mutex mutex;
    std::condition_variable changed;
    int fd = 1;
    std::size_t most = 0;
    std::string waiting;  ///< invariant: size <= most
    bool writing = false; ///< taken out of `waiting`, not all written
    bool stopping = false;
    std::uint64_t left_out = 0;
    std::uint64_t told = 0; ///< of left_out, in a line of its own

    void run();
    std::string take();
};

/// What waits, and a line about what was left out since the last time.
std::string log_writer::state::take()
{
    std::string text;
    text.swap(waiting);
    if (left_out > told) {
        text += std::to_string(event_number(event_id::log_lines_dropped)) +
                " log_lines_dropped event=all count=" +
                std::to_string(left_out - told) + " reason=output-blocked\n";
        told = left_out;
    }
    return text;
}

void log_writer::state::run()
{
    std::unique_lock lock(mutex);
    while (true) {
        changed.wait(lock, [this] { return stopping || !waiting.empty(); });
        if (!stopping)
            changed.wait_for(lock, gather_for, [this] { return stopping; });
        const auto text = take();
        if (text.empty())
            return; // stopping, and nothing is left
        writing = true;
        lock.unlock();
        const bool open = write_whole(fd, text);
        lock.lock();
        writing = false;
        changed.notify_all();
        // Nobody can read what is written to a closed output.
        if (!open)
            return;
    }
}

log_writer::log_writer(int fd, std::size_t max_bytes)
    : state_(std::make_shared<state>())
{
    state_->fd = fd;
    state_->most = max_bytes;
    std::thread([s = state_] { s->run(); }).detach();
}

log_writer::~log_writer()
{
    const std::lock_guard lock(state_->mutex);
    state_->stopping = true;
    state_->changed.notify_all();
}

void log_writer::send(google::LogSeverity severity, const char* /*full*/,
                      const char* base_filename, int line,
                      const google::LogMessageTime& time, const char* message,
                      std::size_t size)
{
    auto text = ToString(severity, base_filename, line, time, message, size);
    text += '\n';
    const std::lock_guard lock(state_->mutex);
    if (state_->waiting.size() + text.size() > state_->most) {
        ++state_->left_out;
        return;
    }
    const bool first = state_->waiting.empty();
    state_->waiting += text;
    if (first)
        state_->changed.notify_all();
}

void log_writer::flush(int bound_ms)
{
    auto& s = *state_;
    std::unique_lock lock(s.mutex);
    s.stopping = true;
    s.changed.notify_all();
    s.changed.wait_for(lock, std::chrono::milliseconds(bound_ms),
                       [&s] { return s.waiting.empty() && !s.writing; });
}

std::uint64_t log_writer::left_out() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->left_out;
}

} // namespace jasminetray
