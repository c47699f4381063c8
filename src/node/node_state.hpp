// State owned by the request thread. One thread runs the entry and the exit
// side, so the gate, the health statistics and the fleet view need no locks.
// Actors keep membership and the configuration, and post their changes to this
// thread.
#pragma once

#include "attempt/attempt_type.hpp"
#include "attempt/hedge_policy_type.hpp"
#include "balance/carried_bytes.hpp"
#include "balance/load_update.hpp"
#include "balance/placement_type.hpp"
#include "balance/view_type.hpp"
#include "config/config_type.hpp"
#include "config/node_settings.hpp"
#include "event/event_log.hpp"
#include "gate/gate_cmd.hpp"
#include "hosted/incarnation_type.hpp"
#include "limit/limit_type.hpp"
#include "memory/body_budget_type.hpp"
#include "node/dialect_type.hpp"
#include "node/http_type.hpp"
#include "node/node_metrics.hpp"
#include "outlier/outlier_type.hpp"
#include "quarantine/quarantine_type.hpp"
#include "store/store_type.hpp"
#include "team/allowance_type.hpp"

#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>

namespace jasminetray {

/// A request whose answer was lost.
struct lost_work
{
    fingerprint request{};
    mono_us at = 0; ///< when its connection closed
};

struct local_worker
{
    worker_id id{};
    std::string name;
    std::string service;
    tcp::endpoint at;
    int slots = 1;
    bool draining = false;
    bool drained_by_operator = false;
    bool said_leaving = false; ///< in one of its answers; final for a process
    /// Unix time in milliseconds at which, by an entry node, a process at this
    /// VM said that it is leaving, if it may be this one; 0 for never.
    std::int64_t leaving_reported_ms = 0;
    mono_us announced_at = 0;
    worker_health health;
    outlier_policy policy;
    connection_pool idle;
    /// Connections in use. Invariant: each outlives its entry, which the
    /// coroutine of its request removes.
    std::set<http_connection*> busy;
    std::uint64_t next_work_key = 0;
    bool sends_bare_refusals = false; ///< see is_bare_refusal()
    int published_severity = 0;
    /// Cold start by its check-ins, or as assumed before the first one, and the
    /// time in its published record; 0 for none.
    bool warm_up_stated = false;
    span_us warm_up_time = 0;
    mono_us cold_until = 0;
    std::uint16_t published_warm_up_ms = 0;
    measured_speed speed; ///< as last measured, while speeds are on
    mono_us speed_measured_at = 0;
    bool slow = false; ///< beyond doubt, as last logged
    load_report reported_load;
    mono_us load_reported_at = 0;
    std::uint64_t boot = 0; ///< start of its process as announced, which with
                            ///< the name forms its incarnation; 0 while unknown
    /// Unix time in milliseconds of the health probe that the process answered
    /// before it was registered; 0 for none.
    std::uint64_t answered_ms = 0;
    std::vector<lost_work> lost; ///< recent; suspect if the process crashed
    bool crash_check_pending = false; ///< a probe for a crash is running
    std::uint32_t crashes = 0;
    mono_us crashed_at = 0;
    int override_severity = 0; ///< set by an operator; 0 for none
    mono_us override_until = 0;
};

/// A queued request that waits for the gate's decision.
struct pending_admission
{
    pending_admission(asio::io_context& ctx, mono_us until)
        : signal(ctx), deadline(until)
    {
    }

    asio::steady_timer signal; ///< cancelled to wake the waiting coroutine
    mono_us deadline = 0; ///< of the request; its entry node may shorten it
    bool shortened = false;
    std::optional<gate_decision> decision;
    bool caller_left = false;
};

/// A request that waits for its team's next token.
struct grant_wait
{
    asio::steady_timer timer; ///< cancelled to refuse the request
    mono_us until = 0;
};

/// A query for peers' statistics of a backend server, until all replies
/// arrived.
struct peer_query
{
    worker_id about{};
    std::size_t awaited = 0;
    std::vector<peer_report> reports;
};

/// Processes behind the backend server address of a hosted VM.
struct hosted_state
{
    incarnation_table incarnations;        ///< processes that have checked in
    std::optional<announcement> candidate; ///< not confirmed by a probe
    bool probing = false;
    mono_us probe_at = 0;  ///< earliest time of the next probe
    int missed_probes = 0; ///< consecutive probes without a response
};

struct entry_request;

/// Calls from the request thread to the actors and to blocking RPC.
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
    /// Revokes an attempt at an exit node over RPC. `done` runs on the request
    /// thread, with nothing when there was no reply.
    std::function<void(const node_address&, const attempt_id&, boot_id,
                       span_us bound,
                       std::function<void(std::optional<revoke_reply>)> done)>
        revoke;
};

/// Safeguards in force. Only fault injection tests turn any of them off.
struct node_safeguards
{
    gate_safeguards gate;
    attempt_safeguards attempt;
    bool check_echo = true;       ///< an answer must carry its request's id
    bool prove_refusal = true;    ///< see answer_safeguards
    bool close_incomplete = true; ///< no reuse after an incomplete exchange
};

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
    asio::thread_pool* blocking_pool = nullptr; ///< null without a store
    int open_key_claims = 0;                    ///< invariant: <= max_claims
    node_record self;                           ///< as last published
    random_state rng;
    std::uint64_t next_request = 1;
    mono_us started_at = 0;
    bool stopping = false;
    bool memory_low = false;             ///< as last logged
    mono_us refuse_at = mono_never;      ///< shutdown: new requests are refused
    mono_us last_answer_at = mono_never; ///< shutdown: deadline of all answers
    std::set<entry_request*> open_requests;
    freshness fresh;
    bool config_proven = true; ///< fresh enough, as last logged
    mono_us members_changed_at = 0;
    allowance_table owned_allowances; ///< of teams owned by this node
    /// Of teams whose owner node didn't answer the node that asked this one.
    allowance_table stand_in_allowances;
    pause_watch pauses;
    /// When nodes last ceased to own teams, and whether they were leaving.
    std::unordered_map<node_id, prior_owner> former_owners;
    returned_grants returned;
    /// Nodes of a former build, which don't take grants back, until when they
    /// are not asked to.
    std::unordered_map<node_id, mono_us> no_returns_until;
    /// Owner nodes that did not answer a grant request, and when.
    std::unordered_map<node_id, mono_us> unresponsive_owners;
    allowance_table fallback_allowances; ///< of teams without a reachable owner
    bool store_reachable = false;
    mono_us config_at = 0; ///< when the configuration came into force
    std::shared_ptr<const fleet_config> config; ///< null until the first one

    /// Positions in config->services; rebuilt for each configuration.
    std::unordered_map<service_id, std::size_t> service_positions;

    http_dialect dialect;
    fingerprint_key fingerprints{};
    quarantine_book quarantine;
    hosted_state hosted;
    gate local_gate;
    std::map<worker_id, local_worker> workers;
    std::unordered_map<attempt_id, std::shared_ptr<pending_admission>,
                       attempt_hash>
        pending_admissions;
    std::map<std::uint64_t, peer_query> peer_queries;
    std::uint64_t next_peer_query = 1;
    std::map<std::uint32_t, std::uint32_t> source_index; ///< by data centre

    fleet_view view;
    std::size_t max_nodes = 1; ///< maximum ever known; keeps an isolated node
                               ///< from using the others' share of limits
    path_table paths;
    path_policy path_settings;
    balance_policy balance;
    placement_policy placing;
    load_update_policy load_updates;
    /// Times of kinds at backend servers of the services that this node serves,
    /// as told while placing.speeds.on.
    std::unordered_map<service_id, service_times> work_times;
    carried_bytes answer_sizes; ///< learned while placing.byte_cost > 0
    /// Time of the newest failure returned to a caller.
    mono_us last_failure_reported_at = 0;
    std::unordered_map<node_id, connection_pool> exit_connections;
    std::unordered_map<std::string, retry_budget> retry_budgets;
    hedge_memory hedges; ///< learned while hedges.policy.learned
    std::unordered_map<std::string, hedge_loan_pace>
        hedge_loans; ///< by service
    std::unordered_map<std::string, int> in_flight_by_service;
    int in_flight = 0; ///< requests that callers wait for; see open_call
    body_budget bodies;
    /// Ends the wait for an idle sender's bytes, by its reservation.
    std::unordered_map<body_hold_id, std::function<void()>> body_waits;
    /// Turns of callers' bodies that wait for room; the first is cancelled when
    /// there may be some.
    std::list<asio::steady_timer*> body_turns;
    /// The same of bodies from nodes.
    std::list<asio::steady_timer*> peer_body_turns;
    std::set<grant_wait*> grant_waits; ///< of requests in flight
    allowance_table local_allowances;  ///< of teams without keys
    /// Position of each route's next request within its traffic split.
    std::unordered_map<std::string, double> split_positions;
    /// Position of each service's next idempotent request in the sequence that
    /// spreads work over idle backend servers.
    std::unordered_map<service_id, double> idle_positions;
};

/// Returns a share of 1 as rounded percent.
int percent_of(double share);

/// Returns whether the node can serve callers: it is not stopping, has a
/// configuration in force that is fresh enough, and knows a backend server of
/// each service; some time after its start, of one.
bool is_ready(const node_state& n);

/// Returns the data centre of an ejection's scope; 0 for all.
centre_id scope_centre(const node_state& n, std::uint32_t scope);

/// Returns the severity of a backend server's ejection request: the operator's
/// override, else by outlier detection.
int severity_of(const local_worker& w, mono_us now);

/// Rebuilds and publishes this node's record, and decides all ejections.
void publish_self(node_state& n);

/// Returns whether the published warm-up time of a backend server has changed.
bool is_warm_up_outdated(const local_worker& w, mono_us now);

/// Decides the ejections of all services, and logs those held by the capacity
/// floor.
void apply_all_ejections(node_state& n);

/// Does the same for some services.
void apply_service_ejections(node_state& n,
                             const std::vector<service_id>& services);

} // namespace jasminetray
