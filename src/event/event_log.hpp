// Where decisions are written: a bounded ring per event family for `explain`
// and a glog line, rate-limited per event so that a flood of one event can
// neither slow the request path nor hide the others.
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

/// Sizes of an event log.
struct event_limits
{
    std::size_t routing_records = 4096;   ///< ring of routing decisions
    std::size_t other_records = 1024;     ///< ring of each other family
    std::size_t lines_per_second = 20000; ///< log lines of one event
};

/// Rings and log lines of one process. Safe to use from several threads.
class event_log
{
public:
    /// @param sink takes the lines; null for glog's own destinations
    explicit event_log(event_limits limits = {},
                       google::LogSink* sink = nullptr);

    /// Records a decision and writes its log line.
    /// @param id which event
    /// @param subject request, worker or node it is about
    /// @param detail evidence, as "key=value key=value"
    void write(event_id id, std::string subject, std::string detail);

    /// Records without a log line, for what is no decision.
    void note(event_id id, std::string subject, std::string detail);

    /// Configuration version that later records carry.
    void set_config_version(std::uint64_t version);

    /// Records whose subject contains `part`, oldest first.
    /// @param family which ring
    /// @param part text to look for; empty for all
    /// @param most at most this many, the newest ones
    std::vector<event_record> find(event_family family, const std::string& part,
                                   std::size_t most) const;

    /// Serial of the oldest record that a ring still has, so that an answer
    /// can say what has been overwritten; 0 when nothing was.
    std::uint64_t overwritten(event_family family) const;

    /// Log lines left out so far.
    std::uint64_t dropped_lines() const;

private:
    struct line_budget
    {
        std::int64_t second = 0;   ///< the second that is counted
        std::size_t lines = 0;     ///< lines written in it
        std::uint64_t dropped = 0; ///< lines left out in it
    };

    void keep(event_id id, std::int64_t wall_ms, std::string subject,
              std::string detail);
    bool may_write_line(event_id id, std::int64_t wall_ms);
    void write_line(const std::string& text);

    mutable std::mutex mutex_;
    event_limits limits_;
    google::LogSink* sink_; ///< outlives this; may be null
    std::uint64_t config_version_ = 0;
    std::uint64_t serial_ = 0;
    std::uint64_t dropped_ = 0;
    // Invariant: a ring never holds more than its limit of records.
    std::array<std::deque<event_record>, event_family_count> rings_;
    std::array<std::uint64_t, event_family_count> overwritten_{};
    std::map<event_id, line_budget> budgets_;
};

/// The event catalogue as a page of markdown.
std::string event_catalogue();

} // namespace jasminetray
