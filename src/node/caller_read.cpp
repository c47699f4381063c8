// Reads and checks requests of callers.
#include "node/caller_read.hpp"

#include "base/memory_reserve.hpp"
#include "base/text_func.hpp"
#include "node/entry_team.hpp"
#include "node/http_func.hpp"

namespace jasminetray {

namespace {

constexpr span_us body_timeout = 30 * us_per_s;

refusal bad_request(http::status status, const char* reason)
{
    refusal x;
    x.status = status;
    x.event = event_id::refused_bad_request;
    x.reason = reason;
    return x;
}

/// Returns the refusal of a request that nothing was passed on of. Its
/// connection is closed, as the body is unread.
refusal no_memory_refusal()
{
    refusal x;
    x.event = event_id::refused_overload;
    x.reason = "no-memory";
    x.retry_after = us_per_s;
    return x;
}

/// Returns the refusal for a read error; nothing when the caller disconnected.
std::optional<refusal> read_error_refusal(const beast::error_code& ec)
{
    if (ec == http::error::header_limit)
        return bad_request(http::status::request_header_fields_too_large,
                           "head-too-large");
    if (ec == http::error::body_limit)
        return bad_request(http::status::payload_too_large, "body-too-large");
    if (ec == boost::system::errc::not_enough_memory)
        return no_memory_refusal();
    const auto& parser_category =
        http::make_error_code(http::error::bad_method).category();
    if (ec.category() == parser_category && ec != http::error::end_of_stream &&
        ec != http::error::partial_message)
        return bad_request(http::status::bad_request, "malformed");
    return std::nullopt;
}

/// Returns whether the end of the body is unambiguous. Transfer codings other
/// than chunked are rejected to prevent request smuggling.
bool has_valid_framing(const http::request_header<>& head)
{
    const auto range = head.equal_range(http::field::transfer_encoding);
    if (range.first == range.second)
        return true;
    return std::next(range.first) == range.second &&
           beast::iequals(range.first->value(), "chunked") &&
           head.version() == 11;
}

/// Converts an absolute-form target (http://host/path) to origin form.
void to_origin_form(string_request& m)
{
    constexpr std::string_view scheme = "http://";
    const std::string target(m.target());
    if (target.compare(0, scheme.size(), scheme) != 0)
        return;
    const auto slash = target.find('/', scheme.size());
    m.set(http::field::host,
          target.substr(scheme.size(), slash - scheme.size()));
    m.target(slash == std::string::npos ? "/" : target.substr(slash));
}

/// Limits the time of a read step by cancelling it. The stream's own timer
/// would close the connection before a refusal could be sent.
class step_timeout
{
public:
    step_timeout(beast::tcp_stream& stream, span_us timeout)
        : timer_(stream.get_executor()), state_(std::make_shared<state>())
    {
        timer_.expires_after(std::chrono::microseconds(timeout));
        timer_.async_wait([&stream, s = state_](beast::error_code ec) {
            // The stream may be destroyed once the step has ended.
            if (ec || s->ended)
                return;
            s->expired = true;
            stream.cancel();
        });
    }

    ~step_timeout()
    {
        state_->ended = true;
    }

    step_timeout(const step_timeout&) = delete;
    step_timeout& operator=(const step_timeout&) = delete;

    bool expired() const
    {
        return state_->expired;
    }

private:
    struct state
    {
        bool ended = false;
        bool expired = false;
    };

    asio::steady_timer timer_;
    std::shared_ptr<state> state_;
};

bool wait_for_request(beast::tcp_stream& stream, const beast::flat_buffer& buf,
                      span_us timeout, const yield& y)
{
    if (buf.size() > 0)
        return true;
    const step_timeout timer(stream, timeout);
    beast::error_code ec;
    stream.socket().async_wait(tcp::socket::wait_read, y[ec]);
    return !ec;
}

/// Sends "100 Continue" when the caller expects it.
void send_continue(beast::tcp_stream& stream, const http::request_header<>& m,
                   beast::error_code& ec, const yield& y)
{
    if (!beast::iequals(m[http::field::expect], "100-continue"))
        return;
    http::response<http::empty_body> response(http::status::continue_, 11);
    http::async_write(stream, response, y[ec]);
}

/// Returns whether the unread body is long. A short one is read before a
/// refusal, so that the connection can be reused.
bool is_body_long(const request_parser& parser)
{
    constexpr std::uint64_t long_body = 16384;
    const auto left = parser.content_length_remaining();
    return !parser.is_done() && (!left || *left > long_body);
}

std::optional<refusal> read_head(const node_state& n, beast::tcp_stream& stream,
                                 beast::flat_buffer& buf,
                                 request_parser& parser, span_us timeout,
                                 beast::error_code& ec, const yield& y)
{
    const step_timeout timer(stream, timeout);
    http::async_read_header(stream, buf, parser, y[ec]);
    if (timer.expired())
        return bad_request(http::status::request_timeout, "slow-head");
    if (!ec && !has_valid_framing(parser.get()))
        return bad_request(http::status::bad_request, "unknown-coding");
    if (!ec && lacks_memory_for(find_memory_reserve(), n.in_flight))
        return no_memory_refusal();
    if (!ec && is_body_long(parser)) {
        if (auto refused = check_request_head(n, parser.get()))
            return refused;
    }
    if (!ec)
        send_continue(stream, parser.get(), ec, y);
    return std::nullopt;
}

std::optional<refusal> read_body(beast::tcp_stream& stream,
                                 beast::flat_buffer& buf,
                                 request_parser& parser, beast::error_code& ec,
                                 const yield& y)
{
    if (parser.is_done())
        return std::nullopt;
    const step_timeout timer(stream, body_timeout);
    http::async_read(stream, buf, parser, y[ec]);
    if (timer.expired())
        return bad_request(http::status::request_timeout, "slow-body");
    return std::nullopt;
}

} // namespace

read_result read_caller(node_state& n, beast::tcp_stream& stream,
                        beast::flat_buffer& buf, const yield& y)
{
    read_result r;
    const auto limits = n.config ? n.config->limits : caller_limits{};
    if (!wait_for_request(stream, buf, limits.idle_us, y))
        return r;
    r.open.emplace(n);
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(
        std::min(limits.header_bytes, max_head_bytes)));
    parser.body_limit(static_cast<std::uint64_t>(limits.body_bytes));
    stream.expires_never();
    beast::error_code ec;
    r.refused = read_head(n, stream, buf, parser, limits.header_us, ec, y);
    if (!ec && !r.refused)
        r.refused = read_body(stream, buf, parser, ec, y);
    if (r.refused)
        return r;
    if (ec) {
        r.refused = read_error_refusal(ec);
        return r;
    }
    r.message = parser.release();
    to_origin_form(*r.message);
    return r;
}

void strip_connection_fields(http::fields& f)
{
    const auto named = split(header_value(f, "connection"), ',');
    strip_hop_fields(f);
    for (const auto& name : named)
        f.erase(std::string(trim(name)));
}

} // namespace jasminetray
