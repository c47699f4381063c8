// One request at the entry side: its state machine, attempts and event queue.
// The caller's coroutine owns it; each attempt runs in its own coroutine and
// posts events to the queue.
#pragma once

#include "node/body_room.hpp"

#include <deque>

namespace jasminetray {

struct caller_upload;

/// Shorter than the idle timeout of exit nodes, so that this side closes first.
constexpr span_us exit_idle_timeout = 30 * us_per_s;
constexpr std::size_t max_idle_exit_connections = 32; ///< per exit node

/// I/O state of one attempt.
struct entry_attempt
{
    worker_id worker{};
    node_id exit{};
    boot_id boot{}; ///< process of the exit node
    node_address address;
    std::unique_ptr<http_connection> connection;
    std::unique_ptr<response_parser> parser;
    body_room room;            ///< of what the parser holds
    span_us retry_after = 0;   ///< from the exit node's refusal
    bool rate_limited = false; ///< refused because of a limit of starts
    bool cancelled = false;
    bool may_probe = false;   ///< may go to a suspect backend server
    bool is_fallback = false; ///< goes to a suspect, which admits it
    bool far = false;         ///< in another data centre
    bool cold = false;        ///< had just started
    bool may_move = false;    ///< its gate was told that it may be moved
};

/// Grant of a team's owner node.
struct taken_grant
{
    node_id owner{};          ///< node that gave it
    mono_us at = 0;           ///< when it was asked for, which is not later
    std::uint64_t number = 0; ///< random
};

/// One request of a caller.
struct entry_request : std::enable_shared_from_this<entry_request>
{
    entry_request(node_state& state) : n(state), signal(state.ctx)
    {
    }

    node_state& n;
    request_id id;
    std::string label; ///< id in logs: the caller's where it sends one
    std::shared_ptr<const fleet_config> config; ///< in force at its start
    const route_config* route = nullptr;        ///< within config
    const service_config* service = nullptr;    ///< within config
    service_id service_key{};
    std::uint32_t route_class = 0;
    std::string team;                 ///< may be empty
    std::uint64_t team_hash = 0;      ///< hash of its name; 0 for none
    team_limit limit;                 ///< of the team; a rate of 0 is no limit
    std::optional<taken_grant> grant; ///< until given back
    double pressure = 0; ///< of the team, from its owner; 0: unknown
    int priority = 0;    ///< the team's, else the route's
    string_request message;
    body_room room;                        ///< of the message's body
    std::shared_ptr<caller_upload> upload; ///< large body; null for others
    std::optional<fingerprint> message_fingerprint; ///< computed on demand
    request_state machine;
    mono_us received_at = 0;
    std::deque<attempt_event> event_queue;
    asio::steady_timer signal;          ///< cancelled when an event is queued
    std::deque<entry_attempt> attempts; ///< by number - 1; addresses are stable
    std::vector<worker_id> tried_workers;
    std::uint32_t moves = 0;                ///< times that a gate moved it
    std::optional<worker_id> pinned_worker; ///< only server allowed, by key
    bool watching_caller = false; ///< the caller's socket is polled for closing

    /// Queues an event and wakes the caller's coroutine.
    void queue_event(attempt_event e);
};

/// Connects to another node's exit side.
/// @return null on error or timeout
std::unique_ptr<http_connection> connect_exit(node_state& n,
                                              const node_address& to,
                                              mono_us deadline, const yield& y);

/// @param kind one of the send actions
void start_attempt(const std::shared_ptr<entry_request>& r, std::uint32_t count,
                   attempt_action_kind kind);

/// Asks the exit node to revoke an attempt; the reply says whether it ran.
void start_revoke(const std::shared_ptr<entry_request>& r, std::uint32_t count);

/// Abandons an attempt and closes its connection.
void cancel_attempt(entry_request& r, std::uint32_t count);

/// Counts bytes that an attempt carried between data centres.
void count_carried_bytes(entry_request& r, const entry_attempt& t,
                         std::size_t bytes);

/// Pings an exit node on a new connection.
void start_path_probe(node_state& n, node_id exit);

/// Records success or loss on the path to an exit node, and logs state
/// changes of the path.
void record_path_result(node_state& n, node_id exit, bool lost);

} // namespace jasminetray
