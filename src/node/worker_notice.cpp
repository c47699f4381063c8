// Application of notices; see worker_notice.hpp.
#include "node/worker_notice.hpp"

#include "node/announce.hpp"

#include <sstream>

namespace jasminetray {

namespace {

std::string describe_limit(const start_limit& s, mono_us now)
{
    std::ostringstream out;
    out << "rate=" << s.rate
        << " source=" << name_of(limit_source_names, s.source)
        << " window_starts=" << starts_in_window(s, now)
        << " refused=" << s.refused;
    return out.str();
}

/// Allows for steps of the wall clock.
constexpr span_us max_clock_step = 5 * us_per_s;

/// Returns whether a process has certainly started after a time in the past.
bool started_since(const local_worker& w, span_us age)
{
    const auto then = static_cast<std::int64_t>(wall_ms_now()) -
                      (age - max_clock_step) / us_per_ms;
    return w.boot != 0 && static_cast<std::int64_t>(w.boot) > then;
}

} // namespace

void apply_worker_notice(node_state& n, worker_id id, const worker_notice& x,
                         limit_source source, mono_us sent_at)
{
    const auto w = n.workers.find(id);
    const auto g = n.local_gate.workers.find(id);
    if (w == n.workers.end() || g == n.local_gate.workers.end())
        return;
    const auto now = mono_now();
    const auto& name = w->second.name;
    auto& s = g->second.starts;
    if (!x.malformed.empty())
        n.events.write(event_id::worker_notice_malformed, name, x.malformed);
    if (x.rate && gate_name_limit(n.local_gate, id, *x.rate, source, now))
        n.events.write(event_id::worker_limit_named, name,
                       describe_limit(s, now));
    // An unreadable limit neither sets nor ends one. A health probe may be
    // answered without the fields of other answers.
    const bool says_none =
        !x.rate && !x.rate_unreadable && source != limit_source::health_probe;
    if (says_none && start_limit_not_named(s, sent_at, now))
        n.events.write(event_id::worker_limit_ended, name,
                       describe_limit(s, now) + " limited_ms=" +
                           std::to_string((now - s.begun_at) / us_per_ms));
    const bool keeps_leaving =
        n.settings.experiment.is_enabled(mechanism::leaving_answers);
    if (x.leaving && keeps_leaving && !w->second.said_leaving) {
        n.events.write(
            event_id::worker_leaving_said, name,
            "source=" + std::string(name_of(limit_source_names, source)) +
                " running=" + std::to_string(g->second.in_flight) +
                " waiting=" + std::to_string(g->second.queue.size()));
        drain_leaving_worker(n, w->second);
    }
}

void apply_reported_limit(node_state& n, worker_id id, const reported_limit& l)
{
    const auto w = n.workers.find(id);
    const auto now = mono_now();
    if (w == n.workers.end() || started_since(w->second, l.age) ||
        !gate_adopt_limit(n.local_gate, id, l.rate, now - l.age, now))
        return;
    n.events.write(event_id::worker_limit_named, w->second.name,
                   describe_limit(n.local_gate.workers[id].starts, now) +
                       " age_ms=" + std::to_string(l.age / us_per_ms));
}

void apply_reported_leaving(node_state& n, worker_id id, span_us age)
{
    const auto it = n.workers.find(id);
    // Several processes run behind other gates; their ids outlive the gate.
    if (it == n.workers.end() || n.settings.hosted.control.empty() ||
        !n.settings.experiment.is_enabled(mechanism::leaving_answers))
        return;
    auto& w = it->second;
    const auto said_ms =
        static_cast<std::int64_t>(wall_ms_now()) - age / us_per_ms;
    if (w.said_leaving || w.leaving_reported_ms != 0 ||
        age > reported_leaving_ttl || !may_have_started_by(w.boot, said_ms))
        return;
    w.leaving_reported_ms = std::max<std::int64_t>(1, said_ms);
    n.events.write(
        event_id::worker_leaving_said, w.name,
        "source=" +
            std::string(name_of(limit_source_names, limit_source::entry_node)) +
            " age_ms=" + std::to_string(age / us_per_ms) +
            " start=" + std::to_string(w.boot));
    drain_reported_worker(n, w);
}

} // namespace jasminetray
