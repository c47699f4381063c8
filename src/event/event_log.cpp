// Event log and event catalogue.
#include "event/event_log.hpp"

#include "table/event_table.hpp"

#include <algorithm>
#include <glog/logging.h>
#include <sstream>

namespace jasminetray {

namespace {

constexpr int numbers_per_family = 1000;

} // namespace

const event_row& find_event_row(event_id id)
{
    const auto it =
        std::find_if(event_table.begin(), event_table.end(),
                     [id](const event_row& r) { return r.id == id; });
    return it == event_table.end() ? event_table.back() : *it;
}

event_family event_family_of(event_id id)
{
    return static_cast<event_family>(event_number(id) / numbers_per_family - 1);
}

event_log::event_log(event_limits limits, google::LogSink* sink)
    : limits_(limits), sink_(sink)
{
}

void event_log::write_line(const std::string& text)
{
    if (sink_ == nullptr)
        LOG(INFO) << text;
    else
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, INFO) << text;
}

bool event_log::may_write_line(event_id id, std::int64_t wall_ms)
{
    auto& budget = budgets_[id];
    const auto second = wall_ms / 1000;
    if (budget.second != second) {
        if (budget.dropped > 0) {
            write_line(
                std::to_string(event_number(event_id::log_lines_dropped)) +
                " log_lines_dropped event=" + std::to_string(event_number(id)) +
                " count=" + std::to_string(budget.dropped));
        }
        budget = line_budget{second, 0, 0};
    }
    if (budget.lines >= limits_.lines_per_second) {
        ++budget.dropped;
        ++dropped_;
        return false;
    }
    ++budget.lines;
    return true;
}

void event_log::write(event_id id, std::string subject, std::string detail)
{
    const auto wall_ms = static_cast<std::int64_t>(wall_ms_now());
    const std::lock_guard lock(mutex_);
    if (may_write_line(id, wall_ms)) {
        write_line(std::to_string(event_number(id)) + ' ' +
                   std::string(find_event_row(id).name) + ' ' + subject +
                   " config=" + std::to_string(config_version_) + ' ' + detail);
    }
    append(id, wall_ms, std::move(subject), std::move(detail));
}

void event_log::record(event_id id, std::string subject, std::string detail)
{
    const std::lock_guard lock(mutex_);
    append(id, static_cast<std::int64_t>(wall_ms_now()), std::move(subject),
           std::move(detail));
}

void event_log::append(event_id id, std::int64_t wall_ms, std::string subject,
                       std::string detail)
{
    const auto n = static_cast<std::size_t>(event_family_of(id));
    const auto limit = event_family_of(id) == event_family::routing
                           ? limits_.routing_records
                           : limits_.other_records;
    if (rings_[n].size() >= limit) {
        overwritten_[n] = rings_[n].front().serial;
        rings_[n].pop_front();
    }
    rings_[n].push_back({++serial_, id, wall_ms, config_version_,
                         std::move(subject), std::move(detail)});
}

void event_log::set_config_version(std::uint64_t version)
{
    const std::lock_guard lock(mutex_);
    config_version_ = version;
}

std::vector<event_record> event_log::find(event_family family,
                                          const std::string& subject_part,
                                          std::size_t max_records) const
{
    const std::lock_guard lock(mutex_);
    std::vector<event_record> found;
    const auto& ring = rings_[static_cast<std::size_t>(family)];
    for (auto it = ring.rbegin(); it != ring.rend(); ++it) {
        if (found.size() >= max_records)
            break;
        if (subject_part.empty() ||
            it->subject.find(subject_part) != std::string::npos)
            found.push_back(*it);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

std::uint64_t event_log::last_overwritten(event_family family) const
{
    const std::lock_guard lock(mutex_);
    return overwritten_[static_cast<std::size_t>(family)];
}

std::uint64_t event_log::dropped_lines() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

std::string event_catalogue()
{
    std::ostringstream out;
    out << "# Events\n\n"
           "Printed from `src/table/event_table.hpp` by `jasminetray-ctl "
           "events`; a test compares the two.\n\n"
           "| number | name | meaning | what to do |\n|---|---|---|---|\n";
    for (const auto& r : event_table) {
        out << "| " << event_number(r.id) << " | " << r.name << " | "
            << r.meaning << " | " << r.action << " |\n";
    }
    return out.str();
}

} // namespace jasminetray
