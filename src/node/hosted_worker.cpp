// Probes and check-ins of a hosted backend server; see hosted_worker.hpp.
#include "node/hosted_worker.hpp"

#include "base/on_exit.hpp"
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "gate/gate_query.hpp"
#include "node/exit_server.hpp"
#include "node/guard_func.hpp"
#include "node/http_func.hpp"

namespace jasminetray {

namespace {

constexpr span_us probe_timeout = us_per_s;
constexpr span_us probe_interval = us_per_s / 2; // between the starts of probes
constexpr span_us check_in_timeout = 5 * us_per_s; // three check-ins missed
constexpr int max_missed_probes = 2; // probes, until the process is removed
/// A process that announced itself as ready this often is admitted in spite of
/// an unhealthy probe, as a health path may be wrong. One announcement is not
/// enough: it may be older than a drain.
constexpr int min_ready_announcements = 2;

const std::string& health_path_of(const node_state& n,
                                  const std::string& service)
{
    static const std::string default_path = service_config{}.health_path;
    const auto* c = n.config ? find_service(*n.config, service) : nullptr;
    return c == nullptr ? default_path : c->health_path;
}

local_worker* current_worker(node_state& n)
{
    return n.workers.empty() ? nullptr : &n.workers.begin()->second;
}

/// Counts a health probe that a process answered, and applies its notice.
void record_probe_answer(node_state& n, worker_id id, const probe_result& p)
{
    gate_count_start(n.local_gate, id, p.sent_at);
    apply_worker_notice(n, id, p.notice, limit_source::health_probe, p.sent_at);
}

void admit_candidate(node_state& n, announcement a, const probe_result& p)
{
    a.busy = p.running;
    if (a.slots < 1)
        a.slots = std::max(1, p.slots);
    n.hosted.candidate.reset();
    const auto id = handle_announcement(n, a);
    n.workers[id].answered_ms = wall_ms_now();
    record_probe_answer(n, id, p);
}

/// Sets the start time of a process that was first found by a probe. It keeps
/// its work and its health statistics.
bool update_start_time(node_state& n, const announcement& a)
{
    auto* w = current_worker(n);
    if (w == nullptr || w->name != a.name ||
        !is_start_of_probed_process(a.boot, w->boot, w->answered_ms,
                                    wall_ms_now()))
        return false;
    const bool is_later = w->leaving_reported_ms != 0 &&
                          !may_have_started_by(a.boot, w->leaving_reported_ms);
    n.events.write(event_id::worker_start_learned, a.name,
                   "start=" + std::to_string(a.boot) +
                       " former=" + std::to_string(w->boot) +
                       " running=" + std::to_string(w->busy.size()) +
                       (is_later ? " leaving=0" : ""));
    w->boot = a.boot;
    if (is_later)
        w->leaving_reported_ms = 0;
    return true;
}

/// Guards against another program that announces an unknown service under this
/// backend server's name.
bool is_service_known(const node_state& n, const std::string& service)
{
    return service == n.settings.hosted.service ||
           (n.config && find_service(*n.config, service) != nullptr);
}

bool may_admit(const node_state& n, const announcement& a,
               const probe_result& p)
{
    const auto& known = n.hosted.incarnations.names;
    const auto it = known.find(p.name);
    if (p.name != a.name || (it != known.end() && it->second.departed) ||
        !is_service_known(n, a.service))
        return false;
    return p.healthy ||
           (it != known.end() && it->second.ready >= min_ready_announcements);
}

/// Guards against an answer of a new incarnation that keeps the old one in use.
bool has_newer_candidate(const hosted_state& h, const probe_result& p)
{
    return h.candidate && h.candidate->name == p.name;
}

/// Keeps the current process, admits a new one or removes an overdue one.
void apply_probe_result(node_state& n, const probe_result& p)
{
    auto& h = n.hosted;
    h.missed_probes = p.reached ? 0 : h.missed_probes + 1;
    auto* w = current_worker(n);
    if (w != nullptr && p.name == w->name && !has_newer_candidate(h, p)) {
        w->announced_at = mono_now();
        record_probe_answer(n, w->id, p);
        return;
    }
    if (h.candidate && may_admit(n, *h.candidate, p))
        return admit_candidate(n, *h.candidate, p);
    if (!h.candidate && w == nullptr && p.healthy && !p.name.empty()) {
        announcement a;
        a.name = p.name;
        a.service = n.settings.hosted.service;
        const auto at = parse_host_port(n.settings.hosted.worker);
        a.ip = at->ip;
        a.port = at->port;
        a.slots = p.slots;
        if (may_admit(n, a, p))
            admit_candidate(n, a, p);
    }
    if (w != nullptr && h.missed_probes >= max_missed_probes &&
        mono_now() - w->announced_at > check_in_timeout)
        deregister_worker(n, w->id, "silent");
}

void start_probe(node_state& n)
{
    auto& h = n.hosted;
    const auto at = parse_host_port(
        h.candidate ? h.candidate->ip + ":" + std::to_string(h.candidate->port)
                    : n.settings.hosted.worker);
    if (h.probing || !at)
        return;
    h.probing = true;
    h.probe_at = mono_now() + probe_interval;
    const tcp::endpoint to(asio::ip::make_address_v4(at->ip), at->port);
    const auto path = health_path_of(
        n, h.candidate ? h.candidate->service : n.settings.hosted.service);
    spawn_guarded(n, "health-probe", [&n, to, path](const yield& y) {
        const on_exit ended([&n] { n.hosted.probing = false; });
        const auto p = probe_worker(n, to, path, y);
        n.events.record(event_id::worker_probed, p.name,
                        "reached=" + std::to_string(p.reached) +
                            " healthy=" + std::to_string(p.healthy));
        apply_probe_result(n, p);
    });
}

/// Closes the gate for an incarnation; its work in flight goes on.
void drain_incarnation(node_state& n, const announcement& a)
{
    if (n.hosted.candidate && n.hosted.candidate->name == a.name)
        n.hosted.candidate.reset();
    for (auto& [id, w] : n.workers) {
        // An earlier incarnation of this name may match too; it is dead then.
        if (w.name != a.name || w.draining)
            continue;
        w.draining = true;
        n.events.write(event_id::worker_draining, w.name,
                       a.leaving ? "left=1" : "left=0");
        deliver_gate_decisions(
            n, gate_drain_worker(n.local_gate, id, true, mono_now()));
        publish_self(n);
    }
}

} // namespace

void handle_check_in(node_state& n, const announcement& a)
{
    auto& h = n.hosted;
    const auto step =
        apply_announcement(h.incarnations, a, mono_now(), wall_ms_now());
    increment_counter(*n.metrics.check_ins, "fate",
                      std::string(name_of(announcement_status_names, step)));
    switch (step) {
    case announcement_status::stale:
        return;
    case announcement_status::unidentified:
        n.events.write(event_id::check_in_refused, a.name,
                       "reason=no-start-time");
        return;
    case announcement_status::departed:
        return drain_incarnation(n, a);
    case announcement_status::current:
        break;
    }
    const auto* w = current_worker(n);
    if (update_start_time(n, a) ||
        (w != nullptr && w->name == a.name && w->boot == a.boot)) {
        n.hosted.candidate.reset();
        handle_announcement(n, a);
        return;
    }
    h.candidate = a;
    start_probe(n);
}

void tick_hosted_worker(node_state& n, mono_us now)
{
    if (!n.config || now < n.hosted.probe_at || n.stopping)
        return;
    const auto* w = current_worker(n);
    if (w == nullptr || now - w->announced_at > check_in_timeout)
        start_probe(n);
}

probe_result probe_worker(node_state& n, const tcp::endpoint& at,
                          const std::string& path, const yield& y)
{
    probe_result p;
    p.sent_at = mono_now();
    http_connection link(n.ctx);
    link.stream.expires_after(std::chrono::microseconds(probe_timeout));
    beast::error_code ec;
    link.stream.async_connect(at, y[ec]);
    http::request<http::empty_body> q(http::verb::get, path, 11);
    q.set(http::field::host, at.address().to_string());
    q.keep_alive(false);
    if (!ec)
        http::async_write(link.stream, q, y[ec]);
    response_parser parser;
    apply_limits(parser, link.buf, health_answer_limits);
    if (!ec)
        ec = read_buffered(link, parser, *health_answer_limits.body_bytes, y);
    log_unreadable(n, message_side::backend_server, ec, health_answer_limits,
                   link.buf, path);
    if (ec)
        return p;
    const auto& r = parser.get();
    p.reached = true;
    p.healthy = r.result() == http::status::ok;
    p.name = header_value(r, n.dialect.worker);
    p.notice = read_worker_notice(n.dialect, r);
    if (const auto load = parse_worker_load(header_value(r, n.dialect.load))) {
        p.running = (*load)[0];
        p.slots = (*load)[2];
    }
    return p;
}

std::optional<std::array<int, 3>> parse_worker_load(const std::string& text)
{
    const auto parts = split(text, ',');
    std::array<int, 3> load{};
    if (parts.size() != load.size())
        return std::nullopt;
    for (std::size_t k = 0; k < load.size(); ++k) {
        const auto n = parse_int(trim(parts[k]));
        if (!n || *n < 0 || *n > INT32_MAX)
            return std::nullopt;
        load[k] = static_cast<int>(*n);
    }
    return load;
}

} // namespace jasminetray
