// One request at the entry side: its machine, its attempts, its inbox. The
// caller's coroutine owns it; each attempt has a coroutine of its own that
// puts events into the inbox.
#pragma once

#include "node/node_state.hpp"

#include <deque>

namespace jasminetray {

constexpr span_us exit_idle_timeout =
    30 * us_per_s; ///< shorter than exits wait
constexpr std::size_t max_idle_exit_connections =
    32; ///< connections to one exit node

/// One attempt's I/O.
struct entry_attempt
{
    worker_id worker{};
    node_id exit{};
    boot_id boot{}; ///< process that it was sent to
    node_address address;
    std::unique_ptr<http_connection> link;
    std::unique_ptr<response_parser> parser;
    span_us retry_after = 0; ///< from the exit node's refusal
    bool cancelled = false;
};

/// One request of a caller.
struct entry_request : std::enable_shared_from_this<entry_request>
{
    entry_request(node_state& state) : n(state), signal(state.ctx)
    {
    }

    node_state& n;
    request_id id;
    std::string label; ///< id in logs: the caller's own where it has one
    std::shared_ptr<const fleet_config> config; ///< in force at its start
    const route_config* route = nullptr;        ///< within config
    const service_config* service = nullptr;    ///< within config
    service_id service_key{};
    std::uint32_t route_class = 0;
    std::string team;           ///< of the caller; empty for none
    std::uint64_t team_key = 0; ///< hash of its name; 0 for none
    team_limit limit;           ///< of the team; a rate of 0 for none
    int priority = 0;           ///< the team's own, else the route's
    string_request message;
    std::optional<fingerprint> content; ///< of message, once it was needed
    request_state machine;
    mono_us began = 0;
    std::deque<attempt_event> inbox;
    asio::steady_timer signal;       ///< cancelled when the inbox has news
    std::deque<entry_attempt> tries; ///< by count - 1; stable addresses
    std::vector<worker_id> tried;
    std::optional<worker_id> home; ///< the only one allowed, by key
    bool may_probe = false; ///< the attempt that begins may meet a suspect
    bool resort = false;    ///< the attempt that begins is the last resort
    bool watching = false;  ///< the caller's socket is watched

    /// Puts an event into the inbox.
    void tell(attempt_event e);
};

/// A new connection to another node's exit side; null when there is none in
/// time.
std::unique_ptr<http_connection> connect_exit(node_state& n,
                                              const node_address& to,
                                              mono_us deadline, const yield& y);

/// Starts an attempt.
/// @param kind how it is sent
void start_attempt(const std::shared_ptr<entry_request>& r, std::uint32_t count,
                   attempt_action_kind kind);

/// Asks the exit node of an attempt whether it ran.
void start_revoke(const std::shared_ptr<entry_request>& r, std::uint32_t count);

/// Drops an attempt; its connection is closed.
void cancel_attempt(entry_request& r, std::uint32_t count);

/// Pings one path on a new connection.
void start_path_probe(node_state& n, node_id exit);

/// Evidence about the path to an exit node, with its log line.
void record_path_result(node_state& n, node_id exit, bool lost);

} // namespace jasminetray
