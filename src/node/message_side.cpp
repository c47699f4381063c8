// Log of messages that are longer than their limits; see message_side.hpp.
#include "node/message_side.hpp"

#include "http/message_head.hpp"
#include "node/node_state.hpp"

namespace jasminetray {

namespace {

/// Returns the part of a message that an error is about.
const char* part_of(const beast::error_code& ec)
{
    if (ec == http::error::body_limit)
        return "body";
    return ec == http::error::header_limit ? "head" : "framing";
}

} // namespace

void log_too_long(node_state& n, message_side side, const beast::error_code& ec,
                  const message_limits& limits, const beast::flat_buffer& buf)
{
    if (!exceeds_limit(ec))
        return;
    const auto limit = ec == http::error::body_limit
                           ? limits.body_bytes.value_or(0)
                           : limits.head_bytes;
    n.events.write(event_id::message_too_long, n.settings.name,
                   "side=" + std::string(name_of(message_side_names, side)) +
                       " part=" + part_of(ec) +
                       " limit=" + std::to_string(limit) +
                       " held=" + std::to_string(buf.size()));
}

void log_unreadable(node_state& n, message_side side,
                    const beast::error_code& ec, const message_limits& limits,
                    const beast::flat_buffer& buf, const std::string& subject)
{
    log_too_long(n, side, ec, limits, buf);
    if (is_unreadable(ec))
        n.events.write(
            event_id::answer_malformed, subject,
            "side=" + std::string(name_of(message_side_names, side)) +
                " error=\"" + ec.message() + "\"");
}

} // namespace jasminetray
