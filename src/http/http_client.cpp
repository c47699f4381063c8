// Blocking HTTP with a time bound; see http_client.hpp.
#include "http/http_client.hpp"

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

constexpr std::uint64_t max_body = 64 << 20;

/// Runs one asynchronous step to its end; the stream's own timer ends it.
template <typename Start>
bool run_step(asio::io_context& ctx, Start start)
{
    beast::error_code result = asio::error::timed_out;
    start([&result](beast::error_code ec, auto&&...) { result = ec; });
    ctx.restart();
    ctx.run();
    return !result;
}

http::request<http::string_body> make_request(const http_request& call)
{
    http::request<http::string_body> q(http::string_to_verb(call.method),
                                       call.target, 11);
    q.set(http::field::host, call.to.ip);
    for (const auto& [name, value] : call.headers)
        q.set(name, value);
    q.keep_alive(false);
    q.body() = call.body;
    q.prepare_payload();
    return q;
}

http_response make_answer(const http::response<http::string_body>& r)
{
    http_response a;
    a.status = r.result_int();
    a.body = r.body();
    for (const auto& f : r) {
        std::string name(f.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        a.headers[name] = std::string(f.value());
    }
    return a;
}

} // namespace

std::optional<http_response> send_http_request(const http_request& call,
                                               http_error& last)
{
    asio::io_context ctx;
    beast::tcp_stream stream(ctx);
    stream.expires_after(std::chrono::microseconds(call.bound));
    const asio::ip::tcp::endpoint to(asio::ip::make_address_v4(call.to.ip),
                                     call.to.port);
    last = http_error::not_sent;
    if (!run_step(ctx, [&](auto done) { stream.async_connect(to, done); }))
        return std::nullopt;
    last = http_error::no_answer;
    auto q = make_request(call);
    if (!run_step(ctx, [&](auto done) { http::async_write(stream, q, done); }))
        return std::nullopt;
    beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body);
    if (!run_step(ctx, [&](auto done) {
            http::async_read(stream, buf, parser, done);
        }))
        return std::nullopt;
    last = http_error::none;
    return make_answer(parser.get());
}

} // namespace jasminetray
