// Tests of what is taken for the head of an answer, at any split of its bytes.
#include "http/arriving_body.hpp"
#include "http/http_client.hpp"
#include "http/message_head.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace jasminetray {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr message_limits limits{1024, 1024};
const std::string body = "body";

struct reading
{
    beast::error_code ec;
    std::string rest;      ///< bytes behind the head
    std::size_t taken = 0; ///< bytes that were read
};

/// @param part bytes that arrive together
template <bool is_request>
reading read_head_of(const std::string& bytes, std::size_t part)
{
    beast::flat_buffer buf;
    http::parser<is_request, arriving_body> parser;
    apply_limits(parser, buf, limits);
    reading r;
    auto& at = r.taken;
    const auto read_some = [&](const auto& to, beast::error_code& ec) {
        const auto n = std::min({to.size(), part, bytes.size() - at});
        std::copy_n(bytes.data() + at, n, static_cast<char*>(to.data()));
        at += n;
        if (n == 0)
            ec = asio::error::eof;
        return n;
    };
    if constexpr (is_request)
        read_request_head(parser, buf, r.ec, read_some);
    else
        read_answer_head(parser, buf, r.ec, read_some);
    const auto held = buf.cdata();
    r.rest.assign(static_cast<const char*>(held.data()), held.size());
    r.rest += bytes.substr(at);
    return r;
}

std::string answer_of(const std::string& status_line,
                      const std::vector<std::string>& lines)
{
    auto text = status_line + "\r\n";
    for (const auto& x : lines)
        text += x + "\r\n";
    return text + "\r\n" + body;
}

const std::string ok = "HTTP/1.1 200 OK";
const std::string length = "Content-Length: 4";
const std::string chunked = "Transfer-Encoding: chunked";

/// Returns heads that are no answer's.
std::vector<std::string> broken_answers()
{
    std::vector<std::string> all;
    for (const auto* status : {"000", "001", "099", "600", "999", "20", "2000"})
        all.push_back(
            answer_of(std::string("HTTP/1.1 ") + status + " Any", {length}));
    for (const auto* line : {"HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
                             "HTTP/1.1\t200 OK", "", "HTTP/1.1 200"})
        all.push_back(answer_of(line, {length}));
    for (const std::string line :
         {" X-Odd: 1", "\tX-Odd: 1", " ", "X Odd: 1", "X\x01Odd: 1",
          "X-Odd : 1", ": 1", "X-Odd", "X-Odd: \x01", "X\xe9: 1"}) {
        all.push_back(answer_of(ok, {line, length}));
        all.push_back(answer_of(ok, {length, line}));
        all.push_back(answer_of("HTTP/1.1 103 Early", {length, line}));
    }
    for (const std::string coding :
         {"xchunked", "identity", "chunked, gzip", "gzip, chunked",
          "chunked, chunked", "chunked x", ""})
        all.push_back(answer_of(ok, {"Transfer-Encoding: " + coding}));
    all.push_back(answer_of(ok, {chunked, chunked}));
    all.push_back(answer_of(ok, {chunked, length}));
    all.push_back(answer_of(ok, {length, "Content-Length: 5"}));
    all.push_back(answer_of("HTTP/1.0 200 OK", {chunked}));
    return all;
}

// Guards against a head that is no answer's and is passed on, or that frames a
// body other than the sender's.
TEST(message_head, broken_heads_are_errors_at_any_split)
{
    for (const auto& bytes : broken_answers()) {
        for (const std::size_t part : {1UL, 2UL, 7UL, bytes.size()})
            EXPECT_TRUE(is_malformed(read_head_of<false>(bytes, part).ec))
                << bytes << " in parts of " << part;
    }
}

TEST(message_head, sound_heads_pass_at_any_split)
{
    std::vector<std::string> all = {
        answer_of("HTTP/1.1 200 ", {length}),
        answer_of("HTTP/1.1 200 \xe9\t x", {length}),
        answer_of("HTTP/1.0 200 OK", {length}),
        answer_of("HTTP/1.1 100 Continue", {}),
        answer_of("HTTP/1.1 599 Any", {length}),
        answer_of(ok, {"X-Odd:", "!#$%&'*+-.^_`|~09AZaz:\xe9 \t1 ", length}),
        answer_of(ok, {"TRANSFER-ENCODING: Chunked"}),
        answer_of(ok, {}),
    };
    for (const auto& bytes : all) {
        for (const std::size_t part : {1UL, 2UL, 7UL, bytes.size()}) {
            const auto r = read_head_of<false>(bytes, part);
            EXPECT_FALSE(r.ec)
                << bytes << " in parts of " << part << ": " << r.ec.message();
            EXPECT_EQ(r.rest, body) << bytes;
        }
    }
}

// A body that follows the head in the same segment may begin its lines with
// blanks.
TEST(message_head, lines_of_the_body_are_not_checked)
{
    const auto bytes = answer_of(ok, {length}) + "\r\n x\n\ty";
    EXPECT_FALSE(read_head_of<false>(bytes, bytes.size()).ec);
}

TEST(message_head, ends_of_the_connection_are_no_answer)
{
    const auto whole = answer_of(ok, {length});
    const auto head = whole.size() - body.size();
    EXPECT_EQ(read_head_of<false>("", 1).ec, http::error::end_of_stream);
    for (std::size_t n = 1; n < head; ++n)
        EXPECT_EQ(read_head_of<false>(whole.substr(0, n), 5).ec,
                  http::error::partial_message)
            << n;
}

std::string repeat(const std::string& text, std::size_t size)
{
    std::string all;
    while (all.size() < size)
        all += text;
    return all;
}

/// @param first the message's first line
template <bool is_request>
void expect_bounded(const std::string& first)
{
    constexpr std::size_t size = 8192; // bytes
    const std::string endless(size, 'x');
    for (const auto& bytes :
         {first + "\r\n" + repeat("X-Odd: 1\r\n", size),
          first + "\r\n" + repeat("X-Odd: y\r\nX: z\r\n", size),
          first + "\r\nX-Odd: " + endless, first + "\r\n" + endless,
          first.substr(0, 14) + endless, endless}) {
        for (std::size_t part = 1; part <= limits.head_bytes; ++part) {
            const auto r = read_head_of<is_request>(bytes, part);
            ASSERT_TRUE(exceeds_limit(r.ec) || is_malformed(r.ec))
                << bytes.substr(0, 60) << " in parts of " << part << ": "
                << r.ec.message();
            ASSERT_LE(r.taken, 2 * limits.head_bytes);
        }
    }
}

// Guards against a head without an end that takes memory until its sender is
// closed, also where each part ends such that the parser takes all its lines.
TEST(message_head, heads_without_an_end_are_bounded)
{
    for (std::size_t k = 0; k < 10; ++k) {
        expect_bounded<false>(ok + std::string(k, 'k'));
        expect_bounded<true>("GET /" + std::string(k + 20, 'k') + " HTTP/1.1");
    }
}

TEST(message_head, heads_up_to_the_limit_pass)
{
    for (const std::size_t size : {limits.head_bytes, limits.head_bytes + 1}) {
        const auto lines = ok + "\r\n" + repeat("X: 1\r\n", 600) + "X:";
        const auto bytes =
            lines + std::string(size - lines.size() - 4, 'y') + "\r\n\r\n";
        for (std::size_t part = 1; part <= size; ++part)
            EXPECT_EQ(read_head_of<false>(bytes, part).ec,
                      size > limits.head_bytes
                          ? beast::error_code(http::error::header_limit)
                          : beast::error_code())
                << size << " in parts of " << part;
    }
}

/// Answers one request with the given bytes.
class one_answer
{
public:
    explicit one_answer(std::string bytes)
        : acceptor_(ctx_, {asio::ip::address_v4::loopback(), 0}),
          thread_([this, bytes = std::move(bytes)] { serve(bytes); })
    {
    }

    ~one_answer()
    {
        thread_.join();
    }

    one_answer(const one_answer&) = delete;
    one_answer& operator=(const one_answer&) = delete;

    host_port address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

private:
    void serve(const std::string& bytes)
    {
        beast::error_code ec;
        tcp::socket s(ctx_);
        acceptor_.accept(s, ec);
        std::string request;
        asio::read_until(s, asio::dynamic_buffer(request), "\r\n\r\n", ec);
        asio::write(s, asio::buffer(bytes), ec);
    }

    asio::io_context ctx_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

std::optional<http_response> call(const std::string& bytes, http_error& error)
{
    const one_answer server(bytes);
    http_request q;
    q.address = server.address();
    q.method = "GET";
    q.target = "/";
    q.timeout = 5 * us_per_s;
    return send_http_request(q, error);
}

// Guards against a broken answer of the store that is taken for its word.
TEST(message_head, client_refuses_broken_answers)
{
    for (const auto& bytes : broken_answers()) {
        http_error error{};
        EXPECT_FALSE(call(bytes, error)) << bytes;
        EXPECT_EQ(error, http_error::no_answer) << bytes;
    }
    http_error error{};
    const auto r = call(answer_of(ok, {length}), error);
    ASSERT_TRUE(r);
    EXPECT_EQ(r->body, body);
}

} // namespace
} // namespace jasminetray
