// HTTP server of the stand-ins: single-threaded, with one coroutine per
// connection.
#pragma once

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <string>

namespace jasminetray {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using stand_in_request = http::request<http::string_body>;
using stand_in_response = http::response<http::string_body>;

/// What to do with the connection after a handler returns.
enum class stand_in_action
{
    respond, ///< send the response
    close,   ///< close without a response
};

/// Handles one request; may suspend the coroutine.
using stand_in_handler = std::function<stand_in_action(
    const stand_in_request&, stand_in_response&, beast::tcp_stream&,
    const asio::yield_context&)>;

/// Accepts connections on ip:port until the context stops.
/// @param port 0 for any free port
/// @return bound port, or 0 on failure
std::uint16_t serve_stand_in(asio::io_context& ctx, const std::string& ip,
                             std::uint16_t port, stand_in_handler handler);

/// Writes "port = N" to a file atomically. Does nothing for an empty name.
void write_port_file(const std::string& file, std::uint16_t port);

} // namespace jasminetray
