// The quarantine at this node; see quarantine_driver.hpp.
#include "node/quarantine_driver.hpp"

#include "base/text_func.hpp"
#include "node/http_func.hpp"
#include "node/quarantine_store.hpp"
#include "quarantine/quarantine_cmd.hpp"
#include "quarantine/quarantine_gossip.hpp"
#include "quarantine/quarantine_query.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Returns the id of a process. It includes the number of crashes, as a process
/// and its successor share a worker id until the successor announces itself.
process_id process_of(const local_worker& w)
{
    return static_cast<process_id>(
        mix_hash(static_cast<std::uint64_t>(w.id), w.crashes));
}

bool has_local_report(const node_state& n, fingerprint request)
{
    for (const auto& r : reports_of(n.quarantine, request, uptime_now())) {
        for (const auto& [id, w] : n.workers) {
            if (w.crashes > 0 && r.process == process_of(w))
                return true;
        }
    }
    return false;
}

fingerprint cached_fingerprint(const node_state& n, const string_request& m,
                               std::optional<fingerprint>& cache)
{
    if (!cache)
        cache = fingerprint_of(n, m);
    return *cache;
}

std::vector<node_address> alive_nodes(const node_state& n)
{
    std::vector<node_address> all;
    for (const auto& [id, v] : n.view.nodes) {
        if (id != n.self.id && v.state == liveness::alive)
            all.push_back(v.record.address);
    }
    return all;
}

std::vector<node_address> exit_nodes_of(const node_state& n, service_id service)
{
    std::vector<node_address> exit_nodes;
    const auto it = n.view.services.find(service);
    if (it == n.view.services.end())
        return exit_nodes;
    for (const auto& c : it->second.candidates) {
        const auto node = n.view.nodes.find(c.exit);
        if (c.exit != n.self.id && node != n.view.nodes.end())
            exit_nodes.push_back(node->second.record.address);
    }
    return exit_nodes;
}

void send_messages(node_state& n, std::vector<node_address> to,
                   std::vector<quarantine_message> messages)
{
    if (!to.empty() && !messages.empty())
        n.control.send_quarantine_messages(std::move(to), std::move(messages));
}

void log_quarantines(node_state& n, const std::vector<fingerprint>& begun)
{
    for (const auto f : begun)
        n.events.write(event_id::quarantine_began, to_text(f),
                       "crashes=" +
                           std::to_string(crashes_of(n.quarantine, f)));
}

} // namespace

fingerprint fingerprint_of(const node_state& n, const string_request& m)
{
    const auto team = header_value(m, to_beast_view(n.dialect.team));
    const auto host = header_value(m, "host");
    const auto method = m.method_string();
    const auto target = m.target();
    return fingerprint_of({team,
                           {method.data(), method.size()},
                           host,
                           {target.data(), target.size()},
                           m.body()},
                          n.fingerprints);
}

bool is_quarantined(const node_state& n, const string_request& m,
                    std::optional<fingerprint>& cache)
{
    // Avoids hashing requests while none is suspect.
    if (n.quarantine.marks_by_request.empty() ||
        !n.settings.experiment.is_enabled(mechanism::quarantine))
        return false;
    return is_quarantined(n.quarantine, cached_fingerprint(n, m, cache));
}

void record_worker_crash(node_state& n, const local_worker& w,
                         const std::vector<fingerprint>& running)
{
    const auto now = uptime_now();
    const auto begun =
        quarantine_record_crash(n.quarantine, process_of(w), running, now);
    log_quarantines(n, begun);
    send_messages(n, exit_nodes_of(n, service_of(w.service)),
                  quarantine_announce(n.quarantine, running, now));
    for (const auto f : running) {
        if (is_quarantined(n.quarantine, f))
            save_quarantine_row(n, f);
    }
}

void clear_answered_request(node_state& n, const string_request& m,
                            std::optional<fingerprint>& cache)
{
    if (!n.quarantine.marks_by_request.empty())
        end_quarantine(n, cached_fingerprint(n, m, cache), "answer");
}

bool end_quarantine(node_state& n, fingerprint request, const char* cause)
{
    const bool held = is_quarantined(n.quarantine, request);
    if (!quarantine_clear(n.quarantine, request))
        return false;
    if (held) {
        n.events.write(event_id::quarantine_ended, to_text(request),
                       "cause=" + std::string(cause));
        delete_quarantine_row(n, request);
    }
    return true;
}

void handle_quarantine_message(node_state& n, const node_address& from,
                               const quarantine_message& m)
{
    const auto now = uptime_now();
    const auto begun = quarantine_apply_reports(n.quarantine, m.reports, now);
    log_quarantines(n, begun);
    // When several nodes record crashes at the same time, each learns only here
    // that the quarantine began, and the row must still be written.
    for (const auto f : begun) {
        if (has_local_report(n, f))
            save_quarantine_row(n, f);
    }
    send_messages(n, {from}, quarantine_reply(n.quarantine, m, n.rng, now));
}

void tick_quarantine(node_state& n)
{
    auto due = quarantine_tick(n.quarantine, uptime_now());
    if (!due.push.empty())
        send_messages(
            n, random_sample(alive_nodes(n), n.quarantine.policy.fanout, n.rng),
            std::move(due.push));
    if (due.compare)
        send_messages(n, random_sample(alive_nodes(n), 1, n.rng),
                      {quarantine_compare(n.quarantine)});
}

} // namespace jasminetray
