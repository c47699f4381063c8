// Order and admission of queued work.
#include "gate/gate_queue.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

/// Minimum share of the slots in the forecast for late work.
constexpr double min_late_share = 0.05;

/// @param share of the slots and of the starts that the work may use
span_us expected_wait(const gate_worker& w, const queue_wait& wait,
                      double share)
{
    const double slots = std::max(1.0, w.limit);
    const double longest = std::max(static_cast<double>(wait.ahead) / slots,
                                    static_cast<double>(wait.start));
    return static_cast<span_us>(longest / share);
}

/// Time that work needs before its deadline, in mean durations. Most work with
/// less time left ends too late.
constexpr double required_durations = 0.5;

/// The same for work whose entry node stops at the deadline. Work that would be
/// cut then is refused early, so that it can be retried elsewhere.
constexpr double required_durations_stopping = 1.5;

bool ends_before_deadline(const gate_worker& w, const gate_waiting& x,
                          mono_us begin)
{
    const auto mean_duration =
        static_cast<double>(mean_duration_of(w, x.route_class));
    const double times =
        x.entry_stopping ? required_durations_stopping : required_durations;
    return begin + static_cast<span_us>(times * mean_duration) < x.deadline;
}

/// Returns whether work starts in time after a wait.
bool starts_in_time(const gate_worker& w, const gate_limits& l,
                    const gate_waiting& x, const queue_wait& wait, mono_us now)
{
    const auto begin = now + expected_wait(w, wait, 1);
    if (!ends_before_deadline(w, x, begin))
        return false;
    if (x.due == mono_never)
        return true;
    return begin <= std::max(x.due, x.due - x.target + l.min_wait);
}

/// Returns whether the capacity left over by on-time work lets late work finish
/// before its deadline.
bool is_servable_late(const gate_worker& w, const gate_limits& l,
                      const gate_waiting& x, const queue_wait& wait,
                      mono_us now)
{
    if (!l.late_forecast)
        return false;
    const double late_share =
        std::max(min_late_share, 1 - on_time_load_now(w, l, now));
    return ends_before_deadline(w, x, now + expected_wait(w, wait, late_share));
}

} // namespace

gate_waiting make_waiting(const gate_request& r, const gate_limits& l,
                          std::uint64_t serial, mono_us now)
{
    gate_waiting x;
    x.attempt = r.attempt;
    x.idempotent = r.idempotent;
    x.priority = r.priority;
    x.deadline = r.deadline;
    x.due = r.due;
    x.target = r.target;
    x.route_class = r.route_class;
    x.serial = serial;
    x.entry_stopping = r.entry_stopping;
    x.may_move = r.may_move;
    x.rank = l.fair.on ? now + fair_queue_delay(l.fair, r.pressure) : 0;
    return x;
}

span_us mean_duration_of(const gate_worker& w, std::uint32_t route_class)
{
    const auto it = w.classes.find(route_class);
    return it == w.classes.end() || it->second.mean_duration == 0
               ? w.mean_duration
               : it->second.mean_duration;
}

bool is_late(const gate_worker& w, const gate_waiting& x, mono_us now)
{
    return x.due - mean_duration_of(w, x.route_class) < now;
}

bool comes_before(const gate_worker& w, const gate_limits& l,
                  const gate_waiting& a, const gate_waiting& b, mono_us now)
{
    if (a.priority != b.priority)
        return a.priority < b.priority;
    if (l.short_first && a.target != b.target)
        return a.target < b.target;
    const bool late_a = is_late(w, a, now);
    const bool late_b = is_late(w, b, now);
    if (late_a != late_b)
        return late_b;
    if (a.rank != b.rank)
        return a.rank < b.rank;
    return a.serial < b.serial;
}

double on_time_load_now(const gate_worker& w, const gate_limits& l, mono_us now)
{
    const auto passed = static_cast<double>(now - w.on_time_load_at);
    return w.on_time_load *
           std::exp(-passed / static_cast<double>(l.on_time_load_window));
}

void add_on_time_load(gate_worker& w, const gate_limits& l,
                      std::uint32_t route_class, mono_us now)
{
    const auto window = static_cast<double>(l.on_time_load_window);
    const double of_slots =
        static_cast<double>(mean_duration_of(w, route_class)) /
        (w.limit * window);
    const bool limited = l.starts.on && is_limited(w.starts);
    const double of_starts =
        limited ? std::min(1.0, us_per_s / (w.starts.rate * window)) : 0;
    w.on_time_load =
        on_time_load_now(w, l, now) + std::max(of_slots, of_starts);
    w.on_time_load_at = now;
}

mono_us expected_start(const gate_worker& w, const queue_wait& wait,
                       mono_us now)
{
    return now + expected_wait(w, wait, 1);
}

bool is_servable(const gate_worker& w, const gate_limits& l,
                 const gate_waiting& x, const queue_wait& wait, mono_us now)
{
    return starts_in_time(w, l, x, wait, now) ||
           is_servable_late(w, l, x, wait, now);
}

gate_error unservable_reason(const gate_worker& w, const gate_limits& l,
                             const gate_waiting& x, const queue_wait& wait,
                             mono_us now)
{
    const bool by_limit =
        wait.start > 0 && is_servable(w, l, x, {wait.ahead, 0}, now);
    return by_limit ? gate_error::rate_limited : gate_error::deadline_short;
}

} // namespace jasminetray
