// Blocking HTTP call on Boost.Beast.
#include "http/http_client.hpp"

#include "http/arriving_body.hpp"
#include "http/message_head.hpp"
#include "http/message_limits.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace jasminetray {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr message_limits limits{65536, 64 << 20};

/// Runs one asynchronous operation to completion; the stream's timer bounds it.
template <typename Start>
bool run_operation(asio::io_context& ctx, Start start)
{
    beast::error_code result = asio::error::timed_out;
    start([&result](beast::error_code ec, auto&&...) { result = ec; });
    ctx.restart();
    ctx.run();
    return !result;
}

http::request<http::string_body> make_beast_request(const http_request& request)
{
    http::request<http::string_body> message(
        http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, request.address.ip);
    for (const auto& [name, value] : request.headers)
        message.set(name, value);
    message.keep_alive(false);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

http_response make_response(const http::response<arriving_body>& message)
{
    http_response result;
    result.status = message.result_int();
    result.body = message.body();
    for (const auto& field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        result.headers[name] = std::string(field.value());
    }
    return result;
}

std::optional<http_response> exchange(const http_request& request,
                                      http_error& error)
{
    asio::io_context ctx;
    beast::tcp_stream stream(ctx);
    stream.expires_after(std::chrono::microseconds(request.timeout));
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address_v4(request.address.ip), request.address.port);
    error = http_error::not_sent;
    if (!run_operation(
            ctx, [&](auto done) { stream.async_connect(endpoint, done); }))
        return std::nullopt;
    error = http_error::no_answer;
    auto message = make_beast_request(request);
    if (!run_operation(
            ctx, [&](auto done) { http::async_write(stream, message, done); }))
        return std::nullopt;
    beast::flat_buffer buf(limits.head_bytes);
    http::response_parser<arriving_body> parser;
    apply_limits(parser, buf, limits);
    beast::error_code ec;
    read_answer_head(
        parser, buf, ec, [&](const auto& to, beast::error_code& failed) {
            std::size_t bytes = 0;
            const bool read = run_operation(ctx, [&](auto done) {
                stream.async_read_some(
                    to, [&bytes, done](beast::error_code e, std::size_t n) {
                        bytes = n;
                        done(e);
                    });
            });
            if (!read)
                failed = asio::error::timed_out;
            return bytes;
        });
    if (ec)
        return std::nullopt;
    if (!parser.is_done() && !run_operation(ctx, [&](auto done) {
            http::async_read(stream, buf, parser, done);
        }))
        return std::nullopt;
    error = http_error::none;
    return make_response(parser.get());
}

} // namespace

std::optional<http_response> send_http_request(const http_request& request,
                                               http_error& error)
{
    error = http_error::not_sent;
    try {
        return exchange(request, error);
    } catch (const std::exception&) { // no memory for the message
        if (error == http_error::none)
            error = http_error::no_answer;
        return std::nullopt;
    }
}

} // namespace jasminetray
