// Reads the heads of messages, and decides whether one is an answer's. The
// parser lets some pass that are not: any status of three digits, any transfer
// coding, and lines that begin with a blank, which it joins to the line before.
#pragma once

#include "http/message_limits.hpp"

#include <boost/asio/error.hpp>
#include <iterator>
#include <string_view>

namespace jasminetray {

/// Reads a head; what follows it stays in `buf`.
/// @param buf bounded by the limit of the head, see apply_limits
/// @param read_some reads into given buffers and returns the number of bytes:
///        std::size_t(flat_buffer::mutable_buffers_type, error_code&)
/// @param accept returns whether the bytes that have arrived last may be part
///        of a head: bool(std::string_view)
/// @return bytes of the head
template <typename Parser, typename ReadSome, typename Accept>
std::size_t read_message_head(Parser& parser, boost::beast::flat_buffer& buf,
                              boost::beast::error_code& ec, ReadSome read_some,
                              Accept accept)
{
    namespace http = boost::beast::http;
    constexpr std::size_t max_read = 65536; // bytes
    std::size_t parsed = 0;
    auto arrived = buf.size();
    while (!ec) {
        const auto held = buf.cdata();
        const std::string_view all(static_cast<const char*>(held.data()),
                                   held.size());
        if (!accept(all.substr(all.size() - arrived))) {
            ec = http::error::bad_field;
            break;
        }
        if (!all.empty()) {
            const auto taken = parser.put(held, ec);
            buf.consume(taken);
            parsed += taken;
        }
        if (ec == http::error::need_more)
            ec = {};
        // The parser compares with the limit only what it holds back, so that
        // lines that arrive one by one could go on without an end.
        const auto rest = parser.is_header_done() ? 0 : buf.size();
        if (!ec && parsed + rest > buf.max_size())
            ec = http::error::header_limit;
        if (ec || parser.is_header_done())
            break;
        const auto size = boost::beast::read_size(buf, max_read);
        if (size == 0) {
            ec = http::error::header_limit;
            break;
        }
        arrived = read_some(buf.prepare(size), ec);
        buf.commit(arrived);
        if (ec == boost::asio::error::eof)
            ec = parsed + buf.size() > 0 ? http::error::partial_message
                                         : http::error::end_of_stream;
    }
    return parsed;
}

/// Reads the head of a request.
template <typename Parser, typename ReadSome>
std::size_t read_request_head(Parser& parser, boost::beast::flat_buffer& buf,
                              boost::beast::error_code& ec, ReadSome read_some)
{
    return read_message_head(parser, buf, ec, read_some,
                             [](std::string_view) { return true; });
}

/// Finds lines of a head that begin with a blank. Such a line may be a field
/// with a damaged name, also one of those that frame the body.
class line_starts
{
public:
    /// @param arrived bytes that follow those of the call before
    /// @return false when a line of the head begins with a blank
    bool check(std::string_view arrived)
    {
        while (!complete_ && !arrived.empty()) {
            const char c = arrived.front();
            if (at_start_ && (c == ' ' || c == '\t'))
                return false;
            complete_ = at_start_ && (c == '\r' || c == '\n');
            const auto end = arrived.find('\n');
            at_start_ = end != std::string_view::npos;
            arrived.remove_prefix(at_start_ ? end + 1 : arrived.size());
        }
        return true;
    }

private:
    bool at_start_ = true;  ///< the next byte is a line's first
    bool complete_ = false; ///< the empty line has begun
};

/// Returns whether a body's end is unambiguous. Transfer codings other than
/// chunked are rejected: their framing would pass for a part of the body.
template <bool is_request, typename Fields>
bool has_valid_coding(const boost::beast::http::header<is_request, Fields>& m)
{
    constexpr unsigned http_1_1 = 11; // as the library writes versions
    const auto range =
        m.equal_range(boost::beast::http::field::transfer_encoding);
    if (range.first == range.second)
        return true;
    return std::next(range.first) == range.second &&
           boost::beast::iequals(range.first->value(), "chunked") &&
           m.version() == http_1_1;
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
    if (!has_valid_coding(m))
        return http::error::bad_transfer_encoding;
    return {};
}

/// Reads and checks the head of an answer. Nothing else reads one.
template <typename Parser, typename ReadSome>
void read_answer_head(Parser& parser, boost::beast::flat_buffer& buf,
                      boost::beast::error_code& ec, ReadSome read_some)
{
    line_starts lines;
    read_message_head(
        parser, buf, ec, read_some,
        [&lines](std::string_view arrived) { return lines.check(arrived); });
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

/// Returns whether a read ended because the bytes are no HTTP message, and not
/// because a part of it is too long.
inline bool is_unreadable(const boost::beast::error_code& ec)
{
    return is_malformed(ec) && !exceeds_limit(ec);
}

} // namespace jasminetray
