// Everything that a node's request thread owns. One thread runs both sides,
// so the gate, the evidence and the view need no locks; slow state lives in
// actors, which post their news to this thread.
#pragma once

#include "attempt/attempt_type.hpp"
#include "balance/load_update.hpp"
#include "balance/placement_type.hpp"
#include "balance/view_type.hpp"
#include "config/config_type.hpp"
#include "config/node_settings.hpp"
#include "event/event_log.hpp"
#include "gate/gate_cmd.hpp"
#include "hosted/incarnation_type.hpp"
#include "limit/limit_type.hpp"
#include "node/dialect_type.hpp"
#include "node/http_type.hpp"
#include "node/node_metrics.hpp"
#include "outlier/outlier_type.hpp"
#include "quarantine/quarantine_type.hpp"
#include "store/store_type.hpp"
#include "team/allowance_type.hpp"

#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace jasminetray {

/// Work whose answer is lost.
struct lost_work
{
    fingerprint request{};
    mono_us at = 0; ///< when its connection ended
};

/// A backend server on this VM.
struct local_worker
{
    worker_id id{};
    std::string name; ///< as announced
    std::string service;
    tcp::endpoint at;
    int slots = 1;
    bool draining = false;
    bool drained_by_operator = false; ///< by an operator
    mono_us announced_at = 0;         ///< last announcement
    worker_health health;
    outlier_policy policy;
    connection_pool idle;
    /// Connections with work on them. Invariant: each lives until its work's
    /// coroutine has taken it out again.
    std::set<http_connection*> busy;
    std::uint64_t next_work_key = 0; ///< of outstanding work, for the evidence
    int published = 0;               ///< severity in the node's record
    load_report told;                ///< to the data centre, last
    mono_us told_at = 0;
    std::uint64_t boot = 0; ///< of its process, as announced; its
                            ///< incarnation together with the name; 0
                            ///< until a hosted one has told it
    /// Wall clock when its process answered a health probe before it was
    /// taken up, in milliseconds since 1970; 0 when none was needed.
    std::uint64_t answered_ms = 0;
    std::vector<lost_work> lost; ///< lately; suspect if the process ended
    bool checking = false;       ///< whether it did is being asked
    std::uint32_t crashes = 0;   ///< that were noticed under this id
    mono_us crashed_at = 0;      ///< the last of them
    int by_operator = 0;         ///< severity that an operator set; 0 for none
    mono_us operator_until = 0;  ///< when that ends by itself
};

/// Queued work that waits for the gate's decision.
struct pending_admission
{
    pending_admission(asio::io_context& ctx, mono_us until)
        : signal(ctx), deadline(until)
    {
    }

    asio::steady_timer signal; ///< cancelled when there is a decision
    mono_us deadline = 0;      ///< of the work; its entry node may shorten it
    bool shortened = false;    ///< it did
    std::optional<gate_decision> decision;
    bool caller_left = false;
};

/// Peers' reports that are still awaited.
struct peer_query
{
    worker_id about{};
    std::size_t awaited = 0;
    std::vector<peer_report> reports;
};

/// Who is behind the address of a hosted VM's backend server.
struct hosted_state
{
    incarnation_table known;               ///< who announced itself
    std::optional<announcement> candidate; ///< checked in, not proven yet
    bool probing = false;                  ///< the address is being asked
    mono_us probe_at = 0;                  ///< not before
    int missed = 0;                        ///< probes without an answer
};

struct entry_request;

/// What the request thread asks the slow state to do.
struct control_hooks
{
    std::function<void(node_record)> update_self;
    std::function<void(std::vector<load_report>)> send_load_reports;
    std::function<void(std::uint32_t ip, std::uint16_t port,
                       const baseline_query&, bool answer)>
        send_baseline_message;
    std::function<void(std::vector<node_address> to,
                       std::vector<quarantine_message>)>
        send_quarantine_messages;
    /// Asks an exit node on a new connection; `done` runs on the request
    /// thread, with nothing when there was no reply.
    std::function<void(const node_address&, const attempt_id&, boot_id,
                       span_us bound,
                       std::function<void(std::optional<revoke_reply>)> done)>
        revoke;
};

/// Safeguards in force; all on but in fault runs.
struct node_safeguards
{
    gate_safeguards gate;
    attempt_safeguards attempt;
    bool check_echo = true;       ///< an answer must carry its request's id
    bool close_incomplete = true; ///< no reuse after an incomplete exchange
};

/// The request thread's state.
struct node_state
{
    node_state(const node_settings& s, asio::io_context& c, event_log& e,
               node_metrics& m)
        : settings(s), ctx(c), events(e), metrics(m)
    {
    }

    const node_settings& settings;
    asio::io_context& ctx;
    event_log& events;
    node_metrics& metrics;
    control_hooks control;
    node_safeguards safeguards;
    store_api store;
    asio::thread_pool* blocking_pool = nullptr; ///< for blocking claims
    int open_key_claims = 0;                    ///< invariant: <= max_claims
    node_record self;                           ///< as last published
    random_state rng;
    std::uint64_t next_request = 1;
    mono_us started_at = 0;         ///< this process
    bool stopping = false;          ///< doors are closing
    mono_us refuse_at = mono_never; ///< stopping: new requests come too late
    mono_us last_answer_at = mono_never;    ///< stopping: all must have theirs
    std::set<entry_request*> open_requests; ///< requests without a final answer
    freshness fresh;                        ///< of the configuration in force
    bool proven = true;                     ///< it is fresh enough; for the log
    mono_us members_changed_at = 0;         ///< a node came, went or died
    allowance_table allowances; ///< of teams that have their home here
    /// Nodes that did not answer as a team's home, and when.
    std::unordered_map<node_id, mono_us> unresponsive_owners;
    allowance_table
        fallback_allowances; ///< of teams whose homes cannot be reached
    bool store_reachable = false;
    mono_us config_at = 0; ///< when the configuration came into force
    std::shared_ptr<const fleet_config> config; ///< null until there is one

    /// Places in config->services; made anew with each configuration.
    std::unordered_map<service_id, std::size_t> service_positions;

    http_dialect dialect;
    fingerprint_key fingerprints{}; ///< key of requests' fingerprints
    quarantine_book quarantine;
    hosted_state hosted;
    gate door;
    std::map<worker_id, local_worker> workers;
    std::unordered_map<attempt_id, std::shared_ptr<pending_admission>,
                       attempt_hash>
        pending_admissions;
    std::map<std::uint64_t, peer_query> asks;
    std::uint64_t next_peer_query = 1;
    std::map<std::uint32_t, std::uint32_t> source_index; ///< centre to index

    fleet_view view;
    std::size_t max_nodes = 1; ///< that were ever known at once; a node that
                               ///< is cut off must not take the others' part
    path_table paths;
    path_policy path_settings;
    balance_policy balance;
    placement_policy placing;
    load_update_policy load_news;
    mono_us last_failure_reported_at =
        0; ///< newest failure that was said to a caller
    std::unordered_map<node_id, connection_pool> exits;
    std::unordered_map<std::string, retry_budget> budgets;
    std::unordered_map<std::string, int> in_flight_by_service;
    int in_flight = 0;
    allowance_table teams; ///< where teams have no keys
    /// Where the next request of a route falls among its parts, by route.
    std::unordered_map<std::string, double> split_positions;
};

/// A share as whole percent.
int percent_of(double share);

/// Whether callers may come: there is a configuration to serve by, which is
/// proven to be fresh where that is promised, somebody to send work to, and the
/// node is not stopping.
bool is_ready(const node_state& n);

/// Data centre that a verdict's scope means; 0 for all.
centre_id scope_centre(const node_state& n, std::uint32_t scope);

/// Severity of a backend server's claim: an operator's word, else evidence.
int severity_of(const local_worker& w, mono_us now);

/// Publishes this node's record when it has changed.
void publish_self(node_state& n);

/// Applies all claims again and logs what changed.
void apply_all_claims(node_state& n);

/// The same for the services of some nodes' backend servers.
void apply_claims_of(node_state& n, const std::vector<service_id>& services);

} // namespace jasminetray
