// Reads the heads of messages, and decides whether one is an answer's. The
// parser takes any status of three digits.
#pragma once

#include "http/message_limits.hpp"

#include <boost/asio/error.hpp>

namespace jasminetray {

/// Reads a head; what follows it stays in `buf`.
/// @param buf bounded by the limit of the head, see apply_limits
/// @param read_some reads into given buffers and returns the number of bytes:
///        std::size_t(flat_buffer::mutable_buffers_type, error_code&)
/// @return bytes of the head
template <typename Parser, typename ReadSome>
std::size_t read_message_head(Parser& parser, boost::beast::flat_buffer& buf,
                              boost::beast::error_code& ec, ReadSome read_some)
{
    namespace http = boost::beast::http;
    constexpr std::size_t max_read = 65536; // bytes
    std::size_t parsed = 0;
    while (!ec) {
        if (buf.size() > 0) {
            const auto taken = parser.put(buf.cdata(), ec);
            buf.consume(taken);
            parsed += taken;
        }
        if (ec == http::error::need_more)
            ec = {};
        if (ec || parser.is_header_done())
            break;
        const auto size = boost::beast::read_size(buf, max_read);
        if (size == 0) {
            ec = http::error::header_limit;
            break;
        }
        buf.commit(read_some(buf.prepare(size), ec));
        if (ec == boost::asio::error::eof)
            ec = parsed + buf.size() > 0 ? http::error::partial_message
                                         : http::error::end_of_stream;
    }
    return parsed;
}

/// Returns the error of a parsed head that is no answer's.
template <typename Fields>
boost::beast::error_code
check_answer_head(const boost::beast::http::header<false, Fields>& m)
{
    namespace http = boost::beast::http;
    constexpr unsigned min_status = 100;
    constexpr unsigned max_status = 599;
    if (m.result_int() < min_status || m.result_int() > max_status)
        return http::error::bad_status;
    return {};
}

/// Reads and checks the head of an answer. Nothing else reads one.
template <typename Parser, typename ReadSome>
void read_answer_head(Parser& parser, boost::beast::flat_buffer& buf,
                      boost::beast::error_code& ec, ReadSome read_some)
{
    read_message_head(parser, buf, ec, read_some);
    if (!ec)
        ec = check_answer_head(parser.get());
}

/// Returns whether a read ended because the bytes are no HTTP message.
inline bool is_malformed(const boost::beast::error_code& ec)
{
    namespace http = boost::beast::http;
    return ec.category() ==
               http::make_error_code(http::error::bad_method).category() &&
           ec != http::error::end_of_stream &&
           ec != http::error::partial_message;
}

} // namespace jasminetray
