// Types of the HTTP layer: library aliases, header fields, paths that nodes
// serve to each other, and pooled connections.
#pragma once

#include "base/id_type.hpp"
#include "base/time_type.hpp"
#include "http/arriving_body.hpp"
#include "http/message_limits.hpp"
#include "node/hop_type.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>

namespace jasminetray {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using yield = asio::yield_context;
using string_request = http::request<arriving_body>;
using string_response = http::response<arriving_body>;
/// A request whose body another message owns.
using borrowed_request = http::request<http::span_body<const char>>;
using request_parser = http::request_parser<arriving_body>;
using response_parser = http::response_parser<arriving_body>;

/// Header fields of callers' requests and responses.
namespace caller_field {
inline constexpr char outcome[] = "jasminetray-outcome";
inline constexpr char reason[] = "jasminetray-reason";
inline constexpr char event[] = "jasminetray-event";
inline constexpr char request[] = "jasminetray-request";
inline constexpr char retry_ms[] = "jasminetray-retry-after-ms";
inline constexpr char key[] = "idempotency-key";
} // namespace caller_field

/// Path at which an exit node returns its boot id and a fresh stamp.
inline constexpr char ping_path[] = "/.jasminetray/ping";

/// Path for notices that an entry node stops and shortens deadlines.
inline constexpr char shorten_path[] = "/.jasminetray/shorten";

/// Path for retry loans to a node that is stopping.
inline constexpr char retry_path[] = "/.jasminetray/retry";

/// Path for grant requests to a team's owner node.
inline constexpr char allowance_path[] = "/.jasminetray/leave";

/// Heads of requests between nodes. The entry side enforces the configuration's
/// limit, which may differ for a moment from node to node, so that the exit
/// side allows for the largest one and for the fields that nodes add.
inline constexpr std::uint32_t max_hop_head = (1 << 20) + 8192; // bytes

/// Reason of work whose answer has a larger head than max_answer_head.
inline constexpr char answer_head_reason[] = "answer-head-too-large";

/// Reason of work whose answer isn't one in the protocol.
inline constexpr char malformed_answer_reason[] = "answer-malformed";

/// Heads of backend servers' answers, and the same with the nodes' fields.
inline constexpr std::uint32_t max_answer_head = 65536; // bytes
inline constexpr std::uint32_t max_hop_answer_head =
    max_answer_head + 4096; // bytes

/// Limits of answers. Whoever reads one holds no more of its body than it has
/// room for.
inline constexpr message_limits answer_limits{max_answer_head, std::nullopt};
inline constexpr message_limits hop_answer_limits{max_hop_answer_head,
                                                  std::nullopt};

/// Limits of answers to health probes, of which only the head matters.
inline constexpr message_limits health_answer_limits{max_answer_head, 1 << 20};

/// A connection that carries one request at a time.
struct http_connection
{
    explicit http_connection(asio::io_context& ctx) : stream(ctx)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf{max_hop_answer_head}; ///< bytes not parsed yet
    mono_us last_used = 0; ///< when its last exchange ended
    bool used = false;     ///< carried a request before
};

/// Idle connections to one endpoint. Invariant: the last exchange of each is
/// complete, with no unread bytes.
using connection_pool = std::vector<std::unique_ptr<http_connection>>;

} // namespace jasminetray
