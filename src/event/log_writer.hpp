// Asynchronous log output. A full pipe blocks its writer, which must not happen
// on the request thread. Lines go to a bounded buffer, or are dropped and
// counted; a separate thread writes them in batches.
#pragma once

#include <cstdint>
#include <glog/logging.h>
#include <memory>

namespace jasminetray {

/// A glog sink that never blocks its caller. Thread-safe.
class log_writer : public google::LogSink
{
public:
    /// @param fd output; not closed by the destructor
    /// @param max_bytes capacity of the buffer
    log_writer(int fd, std::size_t max_bytes);

    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
    ~log_writer() override;

    void send(google::LogSeverity severity, const char* full_filename,
              const char* base_filename, int line,
              const google::LogMessageTime& time, const char* message,
              std::size_t size) override;

    /// Stops the writer and waits until all lines are written.
    /// @param timeout_ms maximum wait in milliseconds
    void flush(int timeout_ms);

    /// Returns the number of lines dropped because the buffer was full.
    std::uint64_t dropped_lines() const;

private:
    struct state;
    std::shared_ptr<state>
        state_; ///< shared with the thread, which may outlive this
};

} // namespace jasminetray
