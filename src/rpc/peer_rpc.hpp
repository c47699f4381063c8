// Cap'n Proto RPC between nodes, and from the command line tool to a node:
// revocation of attempts, configuration chunks, queries.
#pragma once

#include "gate/gate_type.hpp"
#include "member/member_type.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace jasminetray {

/// Handlers of incoming calls. They run on the RPC thread, may block it for a
/// short time, and must not throw.
struct peer_handlers
{
    std::function<std::optional<revoke_reply>(const attempt_id&, boot_id)>
        revoke;
    std::function<std::optional<std::string>(std::uint64_t hash)> chunk;
    std::function<std::string(const std::string& json)> query;
    /// The event loop has failed and starts again.
    std::function<void(const char* why)> failed = [](const char*) {};
};

/// Memory that must be free for a call to other nodes.
constexpr std::size_t peer_call_bytes = 128 * 1024;

/// RPC server with its own event loop thread, which starts again after a
/// failure. The destructor stops it.
class peer_server
{
public:
    /// Starts listening.
    /// @param ip IPv4 address in dotted decimal
    /// @param port 0 for any free port
    /// @param error empty on success
    /// @return null on error
    static std::unique_ptr<peer_server> make(const std::string& ip,
                                             std::uint16_t port,
                                             peer_handlers handlers,
                                             std::string& error);

    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    std::uint16_t port() const;

private:
    struct server_state;
    peer_server();
    std::unique_ptr<server_state> state_;
};

/// Asks a node to revoke an attempt. Like the other calls, it opens a new
/// connection, blocks, and returns nothing on error or timeout.
std::optional<revoke_reply> call_revoke(std::uint32_t ip, std::uint16_t port,
                                        const attempt_id& a, boot_id boot,
                                        span_us timeout);

/// Fetches a configuration chunk or manifest from a node; also returns nothing
/// when the node does not have it.
std::optional<std::string> call_chunk(std::uint32_t ip, std::uint16_t port,
                                      std::uint64_t hash, span_us timeout);

/// Sends a query or an operator command in JSON; returns the JSON response.
std::optional<std::string> call_query(std::uint32_t ip, std::uint16_t port,
                                      const std::string& json, span_us timeout);

} // namespace jasminetray
