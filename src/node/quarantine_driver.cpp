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

/// A process that ended and its successor share the id of a backend server
/// until the successor announces itself.
process_id process_of(const local_worker& w)
{
    return static_cast<process_id>(
        mix_hash(static_cast<std::uint64_t>(w.id), w.crashes));
}

/// Whether a backend server of this node ended under a request.
bool is_noted_here(const node_state& n, fingerprint request)
{
    for (const auto& r : reports_of(n.quarantine, request, uptime_now())) {
        for (const auto& [id, w] : n.workers) {
            if (w.crashes > 0 && r.process == process_of(w))
                return true;
        }
    }
    return false;
}

fingerprint hash_once(const node_state& n, const string_request& m,
                      std::optional<fingerprint>& known)
{
    if (!known)
        known = fingerprint_of(n, m);
    return *known;
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

/// Nodes that guard other backend servers of a service.
std::vector<node_address> guards_of(const node_state& n, service_id service)
{
    std::vector<node_address> guards;
    const auto it = n.view.services.find(service);
    if (it == n.view.services.end())
        return guards;
    for (const auto& c : it->second.candidates) {
        const auto node = n.view.nodes.find(c.exit);
        if (c.exit != n.self.id && node != n.view.nodes.end())
            guards.push_back(node->second.record.address);
    }
    return guards;
}

void tell(node_state& n, std::vector<node_address> to,
          std::vector<quarantine_message> messages)
{
    if (!to.empty() && !messages.empty())
        n.control.send_crashes(std::move(to), std::move(messages));
}

void log_begun(node_state& n, const std::vector<fingerprint>& begun)
{
    for (const auto f : begun)
        n.events.write(event_id::quarantine_began, to_text(f),
                       "crashes=" +
                           std::to_string(crashes_of(n.quarantine, f)));
}

} // namespace

fingerprint fingerprint_of(const node_state& n, const string_request& m)
{
    const auto team = field_of(m, beast_text(n.dialect.team));
    const auto host = field_of(m, "host");
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
                    std::optional<fingerprint>& known)
{
    // Most of the time there is no suspect, and no request is hashed.
    if (n.quarantine.marks_by_request.empty() ||
        !n.settings.experiment.has(mechanism::quarantine))
        return false;
    return is_quarantined(n.quarantine, hash_once(n, m, known));
}

void record_worker_crash(node_state& n, const local_worker& w,
                         const std::vector<fingerprint>& running)
{
    const auto now = uptime_now();
    const auto begun =
        quarantine_record_crash(n.quarantine, process_of(w), running, now);
    log_begun(n, begun);
    tell(n, guards_of(n, service_of(w.service)),
         quarantine_announce(n.quarantine, running, now));
    for (const auto f : running) {
        if (is_quarantined(n.quarantine, f))
            save_quarantine_row(n, f);
    }
}

void clear_answered_request(node_state& n, const string_request& m,
                            std::optional<fingerprint>& known)
{
    if (!n.quarantine.marks_by_request.empty())
        end_quarantine(n, hash_once(n, m, known), "answer");
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
    log_begun(n, begun);
    // Ends at the same moment are each noted before any node knows of all.
    for (const auto f : begun) {
        if (is_noted_here(n, f))
            save_quarantine_row(n, f);
    }
    tell(n, {from}, quarantine_reply(n.quarantine, m, n.rng, now));
}

void tick_quarantine(node_state& n)
{
    auto due = quarantine_tick(n.quarantine, uptime_now());
    if (!due.push.empty())
        tell(n, random_some(alive_nodes(n), n.quarantine.policy.fanout, n.rng),
             std::move(due.push));
    if (due.compare)
        tell(n, random_some(alive_nodes(n), 1, n.rng),
             {quarantine_compare(n.quarantine)});
}

} // namespace jasminetray
