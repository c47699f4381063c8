// How work waits at a gate; see gate_queue.hpp.
#include "gate/gate_queue.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

/// Least share of the slots that late work is forecast to get.
constexpr double min_rest = 0.05;

span_us wait_for(const gate_worker& w, span_us ahead, double share)
{
    const double slots = std::max(1.0, w.limit) * share;
    return static_cast<span_us>(static_cast<double>(ahead) / slots);
}

/// Usual times that work needs to its deadline. Half of one: most work that has
/// less left ends too late.
constexpr double needed = 0.5;

/// The same where the entry node ends at the deadline. Work that is cut there
/// has run for nobody and its caller is told so after seconds; refused as not
/// run, it goes to another gate or its caller to another node at once. One
/// piece of work in seven takes longer than this.
constexpr double needed_leaving = 1.5;

bool ends_before_deadline(const gate_worker& w, const gate_waiting& x,
                          mono_us begin)
{
    const auto usual = static_cast<double>(took_by(w, x.route_class));
    const double times = x.leaving ? needed_leaving : needed;
    return begin + static_cast<span_us>(times * usual) < x.deadline;
}

/// Whether work starts in time when `ahead` goes first.
bool starts_in_time(const gate_worker& w, const gate_limits& l,
                    const gate_waiting& x, span_us ahead, mono_us now)
{
    const auto begin = now + wait_for(w, ahead, 1);
    if (!ends_before_deadline(w, x, begin))
        return false;
    if (x.due == mono_never)
        return true;
    return begin <= std::max(x.due, x.due - x.target + l.min_wait);
}

/// Whether the slots that are left over answer late work in time for its
/// deadline.
bool served_late(const gate_worker& w, const gate_limits& l,
                 const gate_waiting& x, span_us ahead, mono_us now)
{
    if (!l.late_forecast)
        return false;
    const double rest = std::max(min_rest, 1 - on_time_load_now(w, l, now));
    return ends_before_deadline(w, x, now + wait_for(w, ahead, rest));
}

} // namespace

gate_waiting waiting_of(const gate_request& r, std::uint64_t serial)
{
    return {r.attempt, r.idempotent,  r.priority, r.deadline, r.due,
            r.target,  r.route_class, serial,     r.leaving};
}

span_us took_by(const gate_worker& w, std::uint32_t route_class)
{
    const auto it = w.classes.find(route_class);
    return it == w.classes.end() || it->second.usual == 0 ? w.usual
                                                          : it->second.usual;
}

bool is_late(const gate_worker& w, const gate_waiting& x, mono_us now)
{
    return x.due - took_by(w, x.route_class) < now;
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
    return a.serial < b.serial;
}

double on_time_load_now(const gate_worker& w, const gate_limits& l, mono_us now)
{
    const auto passed = static_cast<double>(now - w.pressure_at);
    return w.pressure *
           std::exp(-passed / static_cast<double>(l.pressure_span));
}

void add_pressure(gate_worker& w, const gate_limits& l,
                  std::uint32_t route_class, mono_us now)
{
    const double whole = w.limit * static_cast<double>(l.pressure_span);
    w.pressure = on_time_load_now(w, l, now) +
                 static_cast<double>(took_by(w, route_class)) / whole;
    w.pressure_at = now;
}

bool is_servable(const gate_worker& w, const gate_limits& l,
                 const gate_waiting& x, span_us ahead, mono_us now)
{
    return starts_in_time(w, l, x, ahead, now) ||
           served_late(w, l, x, ahead, now);
}

} // namespace jasminetray
