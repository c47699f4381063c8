// Reading requests; see caller_read.hpp.
#include "node/caller_read.hpp"

#include "base/text_func.hpp"
#include "node/entry_team.hpp"
#include "node/http_func.hpp"

namespace jasminetray {

namespace {

using request_parser = http::request_parser<http::string_body>;

constexpr span_us body_bound = 30 * us_per_s; // for a body to arrive

refusal bad_request(http::status status, const char* reason)
{
    refusal x;
    x.status = status;
    x.event = event_id::refused_bad_request;
    x.reason = reason;
    return x;
}

/// Refusal of what could not be read; nothing when the caller has gone.
std::optional<refusal> refuse_unread(const beast::error_code& ec)
{
    if (ec == http::error::header_limit)
        return bad_request(http::status::request_header_fields_too_large,
                           "head-too-large");
    if (ec == http::error::body_limit)
        return bad_request(http::status::payload_too_large, "body-too-large");
    const auto& of_parser =
        http::make_error_code(http::error::bad_method).category();
    if (ec.category() == of_parser && ec != http::error::end_of_stream &&
        ec != http::error::partial_message)
        return bad_request(http::status::bad_request, "malformed");
    return std::nullopt;
}

/// A coding other than chunked hides where the body ends: what follows
/// would be read as another request that nobody sent.
bool is_framed(const http::request_header<>& head)
{
    const auto range = head.equal_range(http::field::transfer_encoding);
    if (range.first == range.second)
        return true;
    return std::next(range.first) == range.second &&
           beast::iequals(range.first->value(), "chunked") &&
           head.version() == 11;
}

/// "http://host/path" means the same as "/path" with that host.
void use_origin_form(string_request& m)
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

/// Bounds a step by cancelling it. The stream's own timer would close the
/// connection, and the caller would never learn why.
class step_bound
{
public:
    step_bound(beast::tcp_stream& stream, span_us bound)
        : timer_(stream.get_executor()), state_(std::make_shared<state>())
    {
        timer_.expires_after(std::chrono::microseconds(bound));
        timer_.async_wait([&stream, s = state_](beast::error_code ec) {
            // The stream may be gone once the step has ended.
            if (ec || s->ended)
                return;
            s->passed = true;
            stream.cancel();
        });
    }

    ~step_bound()
    {
        state_->ended = true;
    }

    step_bound(const step_bound&) = delete;
    step_bound& operator=(const step_bound&) = delete;

    /// Whether the time was over before the step was.
    bool passed() const
    {
        return state_->passed;
    }

private:
    struct state
    {
        bool ended = false;
        bool passed = false;
    };

    asio::steady_timer timer_;
    std::shared_ptr<state> state_;
};

/// Waits for the first byte of a request.
bool wait_first(beast::tcp_stream& stream, const beast::flat_buffer& buf,
                span_us bound, const yield& y)
{
    if (buf.size() > 0)
        return true;
    const step_bound timer(stream, bound);
    beast::error_code ec;
    stream.socket().async_wait(tcp::socket::wait_read, y[ec]);
    return !ec;
}

/// A caller that waits for leave to send its body gets it.
void say_continue(beast::tcp_stream& stream, const http::request_header<>& m,
                  beast::error_code& ec, const yield& y)
{
    if (!beast::iequals(m[http::field::expect], "100-continue"))
        return;
    http::response<http::empty_body> go_on(http::status::continue_, 11);
    http::async_write(stream, go_on, y[ec]);
}

/// Whether much of the body is still to come. A short one is read first, so
/// that the caller's connection can go on after a refusal.
bool is_body_long(const request_parser& parser)
{
    constexpr std::uint64_t long_body = 16384;
    const auto left = parser.content_length_remaining();
    return !parser.is_done() && (!left || *left > long_body);
}

std::optional<refusal> read_head(const node_state& n, beast::tcp_stream& stream,
                                 beast::flat_buffer& buf,
                                 request_parser& parser, span_us bound,
                                 beast::error_code& ec, const yield& y)
{
    const step_bound timer(stream, bound);
    http::async_read_header(stream, buf, parser, y[ec]);
    if (timer.passed())
        return bad_request(http::status::request_timeout, "slow-head");
    if (!ec && !is_framed(parser.get()))
        return bad_request(http::status::bad_request, "unknown-coding");
    if (!ec && is_body_long(parser)) {
        if (auto refused = check_request_head(n, parser.get()))
            return refused;
    }
    if (!ec)
        say_continue(stream, parser.get(), ec, y);
    return std::nullopt;
}

std::optional<refusal> read_body(beast::tcp_stream& stream,
                                 beast::flat_buffer& buf,
                                 request_parser& parser, beast::error_code& ec,
                                 const yield& y)
{
    if (parser.is_done())
        return std::nullopt;
    const step_bound timer(stream, body_bound);
    http::async_read(stream, buf, parser, y[ec]);
    if (timer.passed())
        return bad_request(http::status::request_timeout, "slow-body");
    return std::nullopt;
}

} // namespace

caller_read read_caller(node_state& n, beast::tcp_stream& stream,
                        beast::flat_buffer& buf, const yield& y)
{
    caller_read r;
    const auto limits = n.config ? n.config->limits : caller_limits{};
    if (!wait_first(stream, buf, limits.idle_us, y))
        return r;
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(
        std::min<std::int64_t>(limits.header_bytes, INT32_MAX)));
    parser.body_limit(static_cast<std::uint64_t>(limits.body_bytes));
    stream.expires_never();
    beast::error_code ec;
    r.refused = read_head(n, stream, buf, parser, limits.header_us, ec, y);
    if (!ec && !r.refused)
        r.refused = read_body(stream, buf, parser, ec, y);
    if (r.refused)
        return r;
    if (ec) {
        r.refused = refuse_unread(ec);
        return r;
    }
    r.message = parser.release();
    use_origin_form(*r.message);
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
