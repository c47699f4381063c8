// Implementation of heads and bodies that are held; see held_body.hpp.
#include "node/held_body.hpp"

#include "node/http_func.hpp"

namespace jasminetray {

namespace {

/// Bytes that a body without a length takes while it grows, by its size: a
/// string that grows holds the old bytes beside the new ones.
constexpr std::uint64_t growth = 2;
/// Copies of a head: its buffer's or its fields', and those of an attempt.
constexpr std::uint64_t head_copies = 2;
/// Shorter heads are bounded by the number of requests in flight.
constexpr std::size_t long_head_bytes = 2048;

/// Takes room for the bytes of a head.
/// @return false when there is none
bool take_head_room(node_state& n, body_kind kind, std::size_t bytes,
                    body_room& room)
{
    if (bytes <= long_head_bytes)
        return true;
    room = body_room(n, kind, head_copies * bytes);
    return room.has_value();
}

/// Grows the room of a body without a length ahead of the next read.
/// @return false when it is to be streamed
bool grow_room(const request_parser& parser, body_room& room)
{
    if (parser.content_length())
        return true;
    const std::uint64_t size = parser.get().body().size();
    return room.has_limit() ? size < large_upload_bytes &&
                                  room.resize(small_body_bytes + growth * size)
                            : true;
}

/// Takes the memory of a body whose room is reserved: a string that grows would
/// hold its old bytes beside the new ones.
void take_memory(request_parser& parser, const body_room& room,
                 beast::error_code& ec)
{
    const auto length = parser.content_length();
    if (!room.has_limit() || !length)
        return;
    const no_memory_reserve scope;
    try {
        parser.get().body().reserve(static_cast<std::size_t>(*length));
    } catch (const std::exception&) { // bad_alloc or length_error
        ec = make_error_code(boost::system::errc::errc_t::not_enough_memory);
    }
}

} // namespace

bool read_held_head(node_state& n, const body_kinds& kinds,
                    beast::tcp_stream& stream, beast::flat_buffer& buf,
                    request_parser& parser, body_room& room,
                    beast::error_code& ec, const yield& y)
{
    const auto bytes = read_head(stream, parser, buf, ec, y);
    return ec || take_head_room(n, kinds.small, bytes, room);
}

std::optional<body_need> held_body_need(const node_state& n,
                                        const body_kinds& kinds,
                                        const request_parser& parser)
{
    const auto length = parser.content_length();
    const auto bytes = length.value_or(small_body_bytes);
    if (n.bodies.limit > 0 && bytes >= large_upload_bytes)
        return std::nullopt;
    const bool small = length && bytes <= small_body_bytes;
    return body_need{small ? kinds.small : kinds.held, bytes};
}

void read_held_body(beast::tcp_stream& stream, beast::flat_buffer& buf,
                    request_parser& parser, body_room& room,
                    beast::error_code& ec, const yield& y)
{
    if (!ec)
        take_memory(parser, room, ec);
    while (!ec && !parser.is_done() && grow_room(parser, room)) {
        room.wait([&stream] { stream.cancel(); });
        const auto bytes = http::async_read_some(stream, buf, parser, y[ec]);
        room.arrived(bytes);
    }
}

} // namespace jasminetray
