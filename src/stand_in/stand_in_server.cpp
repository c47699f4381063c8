// HTTP server of the stand-ins; see stand_in_server.hpp.
#include "stand_in/stand_in_server.hpp"

#include <cstdio>
#include <fstream>
#include <memory>

namespace jasminetray {

namespace {

using tcp = asio::ip::tcp;
constexpr std::uint64_t max_body_bytes = 64 << 20;

struct server
{
    explicit server(asio::io_context& c) : ctx(c), acceptor(c)
    {
    }

    asio::io_context& ctx;
    tcp::acceptor acceptor;
    stand_in_handler handler;
};

void serve_connection(server& s, beast::tcp_stream stream,
                      const asio::yield_context& y)
{
    beast::flat_buffer buf;
    bool keep_alive = true;
    while (keep_alive) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        beast::error_code ec;
        http::async_read(stream, buf, parser, y[ec]);
        if (ec)
            break;
        stand_in_response r(http::status::ok, 11);
        r.keep_alive(parser.get().keep_alive());
        if (s.handler(parser.get(), r, stream, y) == stand_in_action::close)
            break;
        r.prepare_payload();
        http::async_write(stream, r, y[ec]);
        keep_alive = !ec && r.keep_alive();
    }
}

void accept_next(const std::shared_ptr<server>& s)
{
    s->acceptor.async_accept([s](beast::error_code ec, tcp::socket socket) {
        if (ec)
            return;
        socket.set_option(tcp::no_delay(true), ec);
        asio::spawn(
            s->ctx,
            [s, stream = beast::tcp_stream(std::move(socket))](
                const asio::yield_context& y) mutable {
                serve_connection(*s, std::move(stream), y);
            },
            asio::detached);
        accept_next(s);
    });
}

} // namespace

std::uint16_t serve_stand_in(asio::io_context& ctx, const std::string& ip,
                             std::uint16_t port, stand_in_handler handler)
{
    auto s = std::make_shared<server>(ctx);
    s->handler = std::move(handler);
    beast::error_code ec;
    s->acceptor.open(tcp::v4(), ec);
    s->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    s->acceptor.bind({asio::ip::make_address_v4(ip), port}, ec);
    if (!ec)
        s->acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return 0;
    accept_next(s);
    return s->acceptor.local_endpoint(ec).port();
}

void write_port_file(const std::string& file, std::uint16_t port)
{
    if (file.empty())
        return;
    const auto temporary = file + ".tmp";
    std::ofstream out(temporary);
    out << "port = " << port << "\n";
    out.close();
    std::rename(temporary.c_str(), file.c_str());
}

} // namespace jasminetray
