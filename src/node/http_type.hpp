// Names of the HTTP layer: the library's namespaces, the fields that nodes
// add between each other, and a connection with its buffer.
#pragma once

#include "base/id_type.hpp"
#include "base/time_type.hpp"
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
using string_request = http::request<http::string_body>;
using string_response = http::response<http::string_body>;
using response_parser = http::response_parser<http::string_body>;

/// Fields that callers see.
namespace caller_field {
inline constexpr char outcome[] = "jasminetray-outcome";
inline constexpr char reason[] = "jasminetray-reason";
inline constexpr char event[] = "jasminetray-event";
inline constexpr char request[] = "jasminetray-request";
inline constexpr char retry_ms[] = "jasminetray-retry-after-ms";
inline constexpr char key[] = "idempotency-key";
} // namespace caller_field

/// Path that a node answers itself with its boot id and a fresh stamp.
inline constexpr char ping_path[] = "/.jasminetray/ping";

/// Path at which an exit node hears that an entry node stops.
inline constexpr char shorten_path[] = "/.jasminetray/shorten";

/// Path at which a node that stops borrows retries.
inline constexpr char retry_path[] = "/.jasminetray/retry";

/// Path at which a team's home grants leave for requests.
inline constexpr char allowance_path[] = "/.jasminetray/leave";

/// A connection that carries one request at a time.
struct http_connection
{
    explicit http_connection(asio::io_context& ctx) : stream(ctx)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    mono_us last_used = 0; ///< when its last answer was complete
    bool used = false;     ///< carried a request before
};

/// Idle connections to one place. Invariant: each ended its last exchange
/// completely, with no unread bytes.
using connection_pool = std::vector<std::unique_ptr<http_connection>>;

} // namespace jasminetray
