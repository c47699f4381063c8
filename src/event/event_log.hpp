// Event log: a bounded ring per event family for `explain`, and glog lines that
// are rate-limited per event, so that a flood of one event neither slows the
// request path nor hides other events.
#pragma once

#include "event/event_type.hpp"

#include <array>
#include <deque>
#include <functional>
#include <glog/logging.h>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace jasminetray {

struct event_limits
{
    std::size_t routing_records = 4096;   ///< capacity of the routing ring
    std::size_t other_records = 1024;     ///< capacity of each other ring
    std::size_t lines_per_second = 20000; ///< limit per event
};

/// Event log of a process. Thread-safe.
class event_log
{
public:
    /// @param sink receives the lines; null for glog's own destinations
    explicit event_log(event_limits limits = {},
                       google::LogSink* sink = nullptr);

    /// Records an event and writes its log line.
    /// @param subject request, worker or node
    /// @param detail evidence, as "key=value key=value"
    void write(event_id id, std::string subject, std::string detail);

    /// Records an event without a log line.
    void record(event_id id, std::string subject, std::string detail);

    void set_config_version(std::uint64_t version);

    /// Returns the newest records of a family whose subject contains
    /// `subject_part`, oldest first.
    std::vector<event_record> find(event_family family,
                                   const std::string& subject_part,
                                   std::size_t max_records) const;

    /// Returns the serial of the last overwritten record of a family, or 0.
    std::uint64_t last_overwritten(event_family family) const;

    /// Returns how many log lines the rate limit dropped.
    std::uint64_t dropped_lines() const;

private:
    /// Log lines of one event within the current second.
    struct line_budget
    {
        std::int64_t second = 0;
        std::size_t lines = 0;
        std::uint64_t dropped = 0;
    };

    void append(event_id id, std::int64_t wall_ms, std::string subject,
                std::string detail);
    bool may_write_line(event_id id, std::int64_t wall_ms);
    void write_line(const std::string& text);

    mutable std::mutex mutex_;
    event_limits limits_;
    google::LogSink* sink_; ///< outlives this; may be null
    std::uint64_t config_version_ = 0;
    std::uint64_t serial_ = 0;
    std::uint64_t dropped_ = 0;
    // Invariant: a ring never exceeds its limit of records.
    std::array<std::deque<event_record>, event_family_count> rings_;
    std::array<std::uint64_t, event_family_count> overwritten_{};
    std::map<event_id, line_budget> budgets_;
};

/// Returns the event catalogue as a markdown page.
std::string event_catalogue();

} // namespace jasminetray
