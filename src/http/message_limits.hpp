// Limits of one HTTP message that another party sends. A connection's buffer
// holds what isn't parsed yet: a part of the head, of the line of a chunk, or
// of the trailer. A parser bounds the head and the body alone, so that the
// bound of the buffer is what keeps the other two from taking memory without
// end.
#pragma once

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>

namespace jasminetray {

struct message_limits
{
    /// Bytes of the head; also of each chunk's line, and of the trailer.
    std::uint32_t head_bytes = 0;
    /// Bytes of the body; none where the reader itself stops at a bound.
    std::optional<std::uint64_t> body_bytes;
};

/// Applies limits to the next message of a connection.
template <typename Parser>
void apply_limits(Parser& parser, boost::beast::flat_buffer& buf,
                  const message_limits& x)
{
    parser.header_limit(x.head_bytes);
    if (x.body_bytes)
        parser.body_limit(*x.body_bytes);
    else
        parser.body_limit(boost::none);
    // A buffer may not be bounded below what it already holds.
    buf.max_size(std::max<std::size_t>(x.head_bytes, buf.size()));
}

/// Returns whether a read ended because a part of a message is longer than its
/// limit.
inline bool exceeds_limit(const boost::beast::error_code& ec)
{
    namespace http = boost::beast::http;
    return ec == http::error::buffer_overflow ||
           ec == http::error::header_limit || ec == http::error::body_limit;
}

/// Keeps the fields of a chunked message's head. The parser adds the fields of
/// the trailer to them, where they would pass for fields of the head.
template <typename Parser>
class head_fields
{
public:
    /// @param parser its head is complete
    explicit head_fields(const Parser& parser)
    {
        if (parser.chunked())
            fields_.emplace(parser.get().base());
    }

    /// Removes the fields of the trailer from a complete message.
    void drop_trailer(Parser& parser)
    {
        if (fields_ && parser.is_done())
            parser.get().base() = std::move(*fields_);
    }

private:
    std::optional<typename Parser::value_type::header_type> fields_;
};

} // namespace jasminetray
