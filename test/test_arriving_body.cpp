// Bodies take memory only for bytes that have arrived.
#include "http/arriving_body.hpp"

#include <gtest/gtest.h>

namespace jt = jasminetray;
namespace http = boost::beast::http;

namespace {

using parser = http::response_parser<jt::arriving_body>;

void put_text(parser& p, const std::string& text)
{
    boost::beast::error_code ec;
    boost::beast::flat_buffer buf;
    boost::beast::ostream(buf) << text;
    while (!ec && buf.size() > 0 && !p.is_done())
        buf.consume(p.put(buf.data(), ec));
    EXPECT_FALSE(ec) << ec.message();
}

} // namespace

// Guards against memory for a length that a peer only names.
TEST(arriving_body, a_named_length_is_not_reserved)
{
    parser p;
    p.body_limit(boost::none);
    p.eager(true);
    put_text(p, "HTTP/1.1 200 OK\r\nContent-Length: 1500000000000000\r\n\r\n" +
                    std::string(500, 'x'));
    EXPECT_EQ(p.get().body().size(), 500U);
    EXPECT_LT(p.get().body().capacity(), 4096U);
}

TEST(arriving_body, a_whole_body_takes_its_length)
{
    parser p;
    p.eager(true);
    const std::string body(100000, 'x');
    put_text(p, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + body);
    EXPECT_TRUE(p.is_done());
    EXPECT_EQ(p.get().body(), body);
    EXPECT_EQ(p.get().body().capacity(), body.size());
}
