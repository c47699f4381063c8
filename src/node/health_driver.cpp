// Outlier detection; see health_driver.hpp.
#include "node/health_driver.hpp"

#include "balance/load_update.hpp"
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "gate/gate_query.hpp"
#include "node/announce.hpp"
#include "node/speed_driver.hpp"
#include "outlier/outlier_cmd.hpp"
#include "outlier/outlier_query.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace jasminetray {

namespace {

constexpr std::size_t max_queried_peers = 8;
constexpr span_us peer_query_timeout = 30 * us_per_ms;
constexpr double assumed_request_rate = 18; // requests/s at a backend server
constexpr span_us min_overdue = us_per_s;   // above the tail of short requests
constexpr int severity_publish_step = 50;

double floor_slots_for(const node_state& n, const local_worker& w)
{
    const auto* c = n.config ? find_service(*n.config, w.service) : nullptr;
    const auto it = n.view.services.find(service_of(w.service));
    if (c == nullptr || it == n.view.services.end())
        return 0;
    return floor_slots(*c, it->second.total);
}

std::string describe_evidence(const node_state& n, const local_worker& w,
                              mono_us now)
{
    const auto& h = w.health;
    const auto seen =
        health_report(h, w.policy, now - 3 * us_per_s, all_sources);
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << "service=" << w.service
        << " evidence=" << health_score(h, w.policy, now)
        << " threshold=" << health_threshold(h, w.policy)
        << " recent_seen=" << seen.seen << " recent_failed=" << seen.failed
        << " usual_fail_rate=" << h.baseline.fail_rate
        << " outstanding=" << h.outstanding_work.size() << " flaps=" << h.flaps
        << " floor_slots=" << floor_slots_for(n, w);
    return out.str();
}

std::string scope_name(const node_state& n, std::uint32_t scope)
{
    const auto centre = scope_centre(n, scope);
    return centre == centre_id{} ? "all"
                                 : to_hex(static_cast<std::uint64_t>(centre));
}

void eject(node_state& n, local_worker& w, mono_us now)
{
    const auto s = health_suspicion(w.health, w.policy, now);
    n.events.write(event_id::worker_ejected, w.name,
                   describe_evidence(n, w, now) +
                       " scope=" + scope_name(n, s.scope));
    health_eject(w.health, w.policy, now);
    increment_counter(*n.metrics.ejection_steps, "step", "eject");
    publish_self(n);
}

/// @param text evidence from before the baseline was updated
void log_held_ejection(node_state& n, const local_worker& w,
                       const std::string& text)
{
    n.events.write(event_id::ejection_held_by_peers, w.name, text);
    increment_counter(*n.metrics.ejection_steps, "step", "hold");
}

void restore(node_state& n, local_worker& w, mono_us now)
{
    std::ostringstream out;
    out << "service=" << w.service
        << " ejected_ms=" << (now - w.health.ejected_at) / us_per_ms
        << " return_evidence=" << w.health.return_score
        << " flaps=" << w.health.flaps;
    n.events.write(event_id::worker_returned, w.name, out.str());
    health_restore(w.health, w.policy, now);
    increment_counter(*n.metrics.ejection_steps, "step", "restore");
    publish_self(n);
}

void decide_ejection(node_state& n, std::uint64_t query_id)
{
    const auto ask = n.peer_queries.find(query_id);
    if (ask == n.peer_queries.end())
        return;
    const auto reports = std::move(ask->second.reports);
    const auto it = n.workers.find(ask->second.about);
    n.peer_queries.erase(ask);
    if (it == n.workers.end() ||
        it->second.health.state == ejection_state::ejected)
        return;
    const auto now = mono_now();
    auto& w = it->second;
    const auto text = describe_evidence(n, w, now);
    const auto step = health_compare_peers(w.health, w.policy, reports, now);
    if (step == outlier_action::eject)
        eject(n, w, now);
    if (step == outlier_action::hold)
        log_held_ejection(n, w, text);
}

std::vector<node_address> peers_of(node_state& n, service_id service)
{
    std::vector<node_address> peers;
    const auto it = n.view.services.find(service);
    if (it == n.view.services.end())
        return peers;
    std::vector<node_id> nodes;
    for (const auto& c : it->second.candidates) {
        if (c.exit != n.self.id)
            nodes.push_back(c.exit);
    }
    std::sort(nodes.begin(), nodes.end());
    nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
    while (!nodes.empty() && peers.size() < max_queried_peers) {
        const auto k = random_below(n.rng, nodes.size());
        const auto node = n.view.nodes.find(nodes[k]);
        if (node != n.view.nodes.end() && node->second.state == liveness::alive)
            peers.push_back(node->second.record.address);
        nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(k));
    }
    return peers;
}

void add_local_reports(const node_state& n, const local_worker& except,
                       const suspicion& s, std::vector<peer_report>& reports)
{
    for (const auto& [id, w] : n.workers) {
        if (id != except.id && w.service == except.service &&
            w.health.state == ejection_state::trusted)
            reports.push_back(
                health_report(w.health, w.policy, s.since, s.scope));
    }
}

void query_peers(node_state& n, local_worker& w, mono_us now)
{
    const auto s = health_suspicion(w.health, w.policy, now);
    const auto query_id = n.next_peer_query++;
    auto& a = n.peer_queries[query_id];
    a.about = w.id;
    add_local_reports(n, w, s, a.reports);
    baseline_query q;
    q.correlation_id = query_id;
    q.service = service_of(w.service);
    q.lookback = now - s.since;
    q.centre = scope_centre(n, s.scope);
    const auto peers = peers_of(n, q.service);
    a.awaited = peers.size();
    if (peers.empty())
        return decide_ejection(n, query_id);
    for (const auto& p : peers)
        n.control.send_baseline_message(p.ip, p.gossip_port, q, false);
    auto timer = std::make_shared<asio::steady_timer>(n.ctx);
    timer->expires_after(std::chrono::microseconds(peer_query_timeout));
    timer->async_wait([&n, query_id, timer](beast::error_code) {
        decide_ejection(n, query_id);
    });
}

void evaluate_worker(node_state& n, local_worker& w, mono_us now)
{
    if (!n.settings.experiment.is_enabled(mechanism::outlier_ejection))
        return;
    switch (health_check(w.health, w.policy, now)) {
    case outlier_action::ask_peers:
        return query_peers(n, w, now);
    case outlier_action::eject:
        return eject(n, w, now);
    case outlier_action::restore:
        return restore(n, w, now);
    case outlier_action::none:
    case outlier_action::hold:
        break;
    }
    const int severity = severity_of(w, now);
    if (severity / severity_publish_step !=
        w.published_severity / severity_publish_step)
        publish_self(n);
}

} // namespace

void record_worker_outcome(node_state& n, local_worker& w, std::uint64_t key,
                           const observation& o, mono_us now)
{
    health_record_outcome(w.health, w.policy, key, o, now);
    evaluate_worker(n, w, now);
}

namespace {

/// Suspicion spreads in load reports, not in the node's record: gossip between
/// data centres is too costly for a state that lasts seconds.
void log_suspicion_change(node_state& n, worker_id id, bool was_suspect,
                          const char* cause)
{
    if (is_suspect(n.local_gate, id, mono_now()) == was_suspect)
        return;
    const auto probability =
        gate_failure_probability(n.local_gate, id, mono_now());
    n.events.write(was_suspect ? event_id::worker_trusted
                               : event_id::worker_suspected,
                   n.workers[id].name,
                   "cause=" + std::string(cause) +
                       " doubt=" + std::to_string(percent_of(probability)));
}

void record_overdue_request(node_state& n, worker_id id, mono_us now)
{
    const bool was_suspect = is_suspect(n.local_gate, id, now);
    deliver_gate_decisions(n, gate_report_overdue(n.local_gate, id, now));
    log_suspicion_change(n, id, was_suspect, "silence");
}

} // namespace

void record_early_success(node_state& n, worker_id id, mono_us now)
{
    const bool was_suspect = is_suspect(n.local_gate, id, now);
    gate_check_early_success(n.local_gate, id, now);
    log_suspicion_change(n, id, was_suspect, "survival");
}

void record_gate_outcome(node_state& n, worker_id id, outcome_kind seen,
                         span_us took)
{
    if (seen == outcome_kind::neutral)
        return;
    const bool was_suspect = is_suspect(n.local_gate, id, mono_now());
    const bool failed = seen == outcome_kind::failed;
    deliver_gate_decisions(
        n, gate_report_outcome(n.local_gate, id, failed, took, mono_now()));
    log_suspicion_change(n, id, was_suspect, failed ? "failure" : "success");
}

void publish_load_reports(node_state& n, mono_us now)
{
    if (!n.settings.experiment.is_enabled(mechanism::load_updates))
        return;
    std::vector<load_report> changed;
    for (auto& [id, w] : n.workers) {
        load_report l;
        l.worker = id;
        l.service = service_of(w.service);
        l.load = gate_load(n.local_gate, id, now);
        l.work = gate_mean_duration(n.local_gate, id);
        l.failure_probability =
            percent_of(gate_failure_probability(n.local_gate, id, now));
        l.suspect = is_suspect(n.local_gate, id, now);
        if (!is_load_update_due(l, w.reported_load, w.slots,
                                now - w.load_reported_at, n.load_updates))
            continue;
        l.speed = tell_speed(n, w, now);
        w.reported_load = l;
        w.load_reported_at = now;
        changed.push_back(l);
    }
    if (!changed.empty())
        n.control.send_load_reports(std::move(changed));
}

void apply_load_reports(node_state& n, const std::vector<load_report>& loads)
{
    const auto now = mono_now();
    for (const auto& l : loads) {
        auto* c = view_candidate(n.view, l.service, l.worker);
        if (c != nullptr)
            view_update_load(*c, l, now);
        if (c != nullptr && n.placing.speeds.on)
            apply_told_speed(n, *c, l, now);
    }
}

void evaluate_workers(node_state& n, mono_us now)
{
    for (auto& [id, w] : n.workers) {
        evaluate_worker(n, w, now);
        if (is_warm_up_outdated(w, now))
            publish_self(n);
        // A backend server that hangs yields no outcomes until its first
        // timeout after 8 to 10 s, so overdue requests count before that.
        const auto overdue = health_mark_overdue(w.health, min_overdue, now);
        for (std::size_t k = 0; k < overdue; ++k)
            record_overdue_request(n, id, now);
    }
}

int severity_for_source(const local_worker& w, std::uint32_t source)
{
    const auto& h = w.health;
    if (h.state == ejection_state::ejected && h.scope != all_sources &&
        h.scope != source)
        return 0;
    return severity_of(w, mono_now());
}

void answer_baseline_query(node_state& n, std::uint32_t ip, std::uint16_t port,
                           const baseline_query& q)
{
    auto reply = q;
    const auto since = mono_now() - std::max<span_us>(0, q.lookback);
    const auto centre =
        n.source_index.find(static_cast<std::uint32_t>(q.centre));
    const auto source =
        centre == n.source_index.end() ? all_sources : centre->second;
    for (const auto& [id, w] : n.workers) {
        if (service_of(w.service) != q.service ||
            w.health.state == ejection_state::ejected)
            continue;
        const auto r = health_report(w.health, w.policy, since, source);
        reply.reports.push_back(
            {r.seen, r.failed, r.above, r.burst_span, r.source_share});
    }
    n.control.send_baseline_message(ip, port, reply, true);
}

void handle_baseline_response(node_state& n, const baseline_query& q)
{
    const auto it = n.peer_queries.find(q.correlation_id);
    if (it == n.peer_queries.end() || it->second.awaited == 0)
        return;
    for (const auto& r : q.reports)
        it->second.reports.push_back(
            {r.seen, r.failed, r.above, r.burst_us, r.source_share});
    if (--it->second.awaited == 0)
        decide_ejection(n, q.correlation_id);
}

void refresh_ejection_policies(node_state& n)
{
    for (auto& [id, w] : n.workers) {
        const auto* c = n.config ? find_service(*n.config, w.service) : nullptr;
        if (c != nullptr)
            w.policy.threshold = evidence_threshold(c->false_ejections_per_day,
                                                    assumed_request_rate);
    }
}

} // namespace jasminetray
