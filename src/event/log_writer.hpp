// Log lines to a file descriptor, by a thread of its own. Whoever reads the
// output may stop reading: a pipe that is full blocks its writer, and on the
// request thread every caller would wait for the log. Here a line is put into
// a bounded buffer or left out and counted; the thread alone may block. Lines
// are gathered for a moment and written in one call.
#pragma once

#include <cstdint>
#include <glog/logging.h>
#include <memory>

namespace jasminetray {

/// A sink of glog that never blocks its caller. Safe to use from several
/// threads.
class log_writer : public google::LogSink
{
public:
    /// @param fd where lines go; stays open
    /// @param max_bytes of lines that wait
    log_writer(int fd, std::size_t max_bytes);

    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
    ~log_writer() override;

    void send(google::LogSeverity severity, const char* full_filename,
              const char* base_filename, int line,
              const google::LogMessageTime& time, const char* message,
              std::size_t size) override;

    /// Waits until all lines are written, within a bound in milliseconds.
    void flush(int bound_ms);

    /// Lines left out so far because the output did not take them.
    std::uint64_t left_out() const;

private:
    struct state;
    std::shared_ptr<state> state_; ///< the thread's too, which may outlive us
};

} // namespace jasminetray
