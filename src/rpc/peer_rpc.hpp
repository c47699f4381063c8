// Cap'n Proto RPC between nodes, and from the operators' tool to a node:
// revoke, chunks of the configuration, questions. Its event loop has a
// thread of its own; calls into the node are passed to the request thread.
#pragma once

#include "gate/gate_type.hpp"
#include "member/member_type.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace jasminetray {

/// What the server calls. Each may block for a moment; none may throw.
struct peer_handlers
{
    std::function<std::optional<revoke_reply>(const attempt_id&, boot_id)>
        revoke;
    std::function<std::optional<std::string>(std::uint64_t hash)> chunk;
    std::function<std::string(const std::string& json)> query;
};

/// A running server. Stops when destroyed.
class peer_server
{
public:
    /// Starts listening, or gives nothing with `why` filled in.
    /// @param ip IPv4 number
    /// @param port 0 for any
    static std::unique_ptr<peer_server> make(const std::string& ip,
                                             std::uint16_t port,
                                             peer_handlers handlers,
                                             std::string& why);

    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Port that it listens on.
    std::uint16_t port() const;

private:
    struct running;
    peer_server();
    std::unique_ptr<running> running_;
};

/// Asks a node to revoke an attempt, on a new connection.
std::optional<revoke_reply> call_revoke(std::uint32_t ip, std::uint16_t port,
                                        const attempt_id& a, boot_id boot,
                                        span_us bound);

/// Fetches a chunk from a node.
std::optional<std::string> call_chunk(std::uint32_t ip, std::uint16_t port,
                                      std::uint64_t hash, span_us bound);

/// Asks a node a question in JSON.
std::optional<std::string> call_query(std::uint32_t ip, std::uint16_t port,
                                      const std::string& json, span_us bound);

} // namespace jasminetray
