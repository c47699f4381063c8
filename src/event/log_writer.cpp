// Asynchronous log output.
#include "event/log_writer.hpp"

#include "event/event_log.hpp"

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <exception>
#include <mutex>
#include <poll.h>
#include <string>
#include <thread>
#include <unistd.h>

namespace jasminetray {

namespace {

/// Time to collect lines, so that one call writes many of them.
constexpr std::chrono::milliseconds batch_delay(20);

/// Waits for a non-blocking output to become writable.
void wait_until_writable(int fd)
{
    constexpr int timeout_ms = 100;
    pollfd p{fd, POLLOUT, 0};
    ::poll(&p, 1, timeout_ms);
}

/// Returns false if the output is closed.
bool write_all(int fd, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const auto n = ::write(fd, text.data() + done, text.size() - done);
        if (n < 0 && errno == EAGAIN)
            wait_until_writable(fd);
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
    std::size_t max_bytes = 0;
    std::string buffer;   ///< invariant: size <= max_bytes
    bool writing = false; ///< lines taken from `buffer` are being written
    bool stopping = false;
    std::uint64_t dropped_lines = 0;
    std::uint64_t reported = 0; ///< part of dropped_lines already logged

    void run();
    std::string take_buffer();
    bool append(const std::string& text) noexcept;
};

/// @return false if there is no room or no memory for a line
bool log_writer::state::append(const std::string& text) noexcept
{
    if (buffer.size() + text.size() > max_bytes)
        return false;
    const bool first = buffer.empty();
    try {
        buffer += text;
    } catch (const std::exception&) {
        return false;
    }
    if (first)
        changed.notify_all();
    return true;
}

/// Returns the buffered lines, followed by a line with the number of lines
/// dropped since the last call if there are any.
std::string log_writer::state::take_buffer()
{
    std::string text;
    text.swap(buffer);
    if (dropped_lines == reported)
        return text;
    try {
        text += std::to_string(event_number(event_id::log_lines_dropped)) +
                " log_lines_dropped event=all count=" +
                std::to_string(dropped_lines - reported) +
                " reason=output-blocked\n";
        reported = dropped_lines;
    } catch (const std::exception&) {
        // No memory; said with a later line.
    }
    return text;
}

void log_writer::state::run()
{
    std::unique_lock lock(mutex);
    while (true) {
        changed.wait(lock, [this] { return stopping || !buffer.empty(); });
        if (!stopping)
            changed.wait_for(lock, batch_delay, [this] { return stopping; });
        const auto text = take_buffer();
        if (text.empty())
            return; // stopping, and all lines are written
        writing = true;
        lock.unlock();
        const bool open = write_all(fd, text);
        lock.lock();
        writing = false;
        changed.notify_all();
        if (!open)
            return;
    }
}

log_writer::log_writer(int fd, std::size_t max_bytes)
    : state_(std::make_shared<state>())
{
    state_->fd = fd;
    state_->max_bytes = max_bytes;
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
    std::string text;
    bool dropped = false;
    // The library calls this from a destructor, which must not throw.
    try {
        text = ToString(severity, base_filename, line, time, message, size);
        text += '\n';
    } catch (const std::exception&) {
        dropped = true;
    }
    const std::lock_guard lock(state_->mutex);
    if (dropped || !state_->append(text))
        ++state_->dropped_lines;
}

void log_writer::flush(int timeout_ms)
{
    auto& s = *state_;
    std::unique_lock lock(s.mutex);
    s.stopping = true;
    s.changed.notify_all();
    s.changed.wait_for(lock, std::chrono::milliseconds(timeout_ms),
                       [&s] { return s.buffer.empty() && !s.writing; });
}

std::uint64_t log_writer::dropped_lines() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->dropped_lines;
}

} // namespace jasminetray
