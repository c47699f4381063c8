// A small HTTP server for the stand-ins: one thread, one coroutine per
// connection, a handler per request.
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

/// What a handler wants done with the connection.
enum class stand_in_end
{
    answer, ///< send the response and go on
    drop,   ///< close without an answer
};

/// Handles one request; may wait on the coroutine.
using stand_in_handler =
    std::function<stand_in_end(const stand_in_request&, stand_in_response&,
                               beast::tcp_stream&, const asio::yield_context&)>;

/// Accepts connections on ip:port until the context stops.
/// @param port 0 for any
/// @return the real port, or 0 when it could not listen
std::uint16_t serve_stand_in(asio::io_context& ctx, const std::string& ip,
                             std::uint16_t port, stand_in_handler handler);

/// Writes "port = N" to a file, whole or not at all.
void write_port_file(const std::string& file, std::uint16_t port);

} // namespace jasminetray
