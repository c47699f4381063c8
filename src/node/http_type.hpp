// Names of the HTTP layer: the library's namespaces, the fields that nodes
// add between each other, and a connection with its buffer.
#pragma once

#include "base/id_type.hpp"
#include "base/time_type.hpp"

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

/// Fields between entry node and exit node; callers never see them.
namespace hop_field {
inline constexpr char attempt[] = "jt-attempt";        ///< echoed
inline constexpr char boot[] = "jt-boot";              ///< of the exit node
inline constexpr char stamp[] = "jt-stamp";            ///< of its clock
inline constexpr char remaining[] = "jt-remaining-us"; ///< until the deadline
inline constexpr char idempotent[] = "jt-idempotent";  ///< 1 or 0
inline constexpr char worker[] = "jt-worker";          ///< chosen one, hex
inline constexpr char priority[] = "jt-priority";      ///< of the route
inline constexpr char centre[] = "jt-centre";          ///< of the entry node
inline constexpr char klass[] = "jt-class";            ///< of the route
inline constexpr char outcome[] = "jt-outcome";   ///< answer, not-run, unknown
inline constexpr char reason[] = "jt-reason";     ///< of a refusal
inline constexpr char load[] = "jt-load";         ///< of the gate
inline constexpr char due[] = "jt-due-us";     ///< until it is late; signed
inline constexpr char target[] = "jt-target-us"; ///< of the route
inline constexpr char doubt[] = "jt-doubt";   ///< percent, of the worker
inline constexpr char work_us[] = "jt-work-us"; ///< that work usually takes
inline constexpr char severity[] = "jt-severity"; ///< claim about the worker
inline constexpr char reached[] = "jt-reached"; ///< 1: the server refused
inline constexpr char failed[] = "jt-failed";     ///< 1: the server's failure
inline constexpr char retry_us[] = "jt-retry-us"; ///< when to come back
inline constexpr char prefix[] = "jt-";
} // namespace hop_field

/// Fields that callers see.
namespace caller_field {
inline constexpr char outcome[] = "jasminetray-outcome";
inline constexpr char reason[] = "jasminetray-reason";
inline constexpr char event[] = "jasminetray-event";
inline constexpr char request[] = "jasminetray-request";
inline constexpr char retry_ms[] = "jasminetray-retry-after-ms";
inline constexpr char team[] = "x-team";
inline constexpr char key[] = "idempotency-key";
} // namespace caller_field

/// Path that a node answers itself with its boot id and a fresh stamp.
inline constexpr char ping_path[] = "/.jasminetray/ping";

/// A connection that carries one request at a time.
struct http_link
{
    explicit http_link(asio::io_context& ctx) : stream(ctx)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    mono_us last_used = 0; ///< when its last answer was complete
    bool used = false;     ///< carried a request before
};

/// Idle connections to one place. Invariant: each ended its last exchange
/// completely, with no unread bytes.
using link_pool = std::vector<std::unique_ptr<http_link>>;

} // namespace jasminetray
