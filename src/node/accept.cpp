// Accepting of connections; see accept.hpp.
#include "node/accept.hpp"

#include "node/guard_func.hpp"

#include <optional>
#include <sys/socket.h>

namespace jasminetray {

namespace {

/// Refuses a connection for which no memory is left, if its socket takes the
/// answer at once.
void refuse_connection(tcp::socket& s)
{
    constexpr std::string_view text =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n";
    ::send(s.native_handle(), text.data(), text.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
}

/// Starts the coroutine of a connection.
void serve_connection(node_state& n, tcp::socket s, serve_function serve,
                      listener_use use)
{
    beast::error_code ignored;
    s.set_option(tcp::no_delay(true), ignored);
    std::shared_ptr<beast::tcp_stream> stream;
    const bool started = run_guarded(n, "accept", [&] {
        stream = std::make_shared<beast::tcp_stream>(std::move(s));
        std::optional<no_memory_reserve> scope;
        if (use != listener_use::control)
            scope.emplace();
        spawn_guarded(n, "connection", [&n, serve, stream](const yield& y) {
            serve(n, std::move(*stream), y);
        });
    });
    if (!started && stream && use == listener_use::callers)
        refuse_connection(stream->socket());
}

} // namespace

void accept_connections(node_state& n, tcp::acceptor& a, serve_function serve,
                        listener_use use)
{
    a.async_accept([&n, &a, serve, use](beast::error_code ec, tcp::socket s) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec)
            serve_connection(n, std::move(s), serve, use);
        if (a.is_open())
            accept_connections(n, a, serve, use);
    });
}

} // namespace jasminetray
