// Formatting and parsing of identifiers.
#include "base/id_type.hpp"

#include "base/text_func.hpp"

namespace jasminetray {

namespace {

constexpr std::size_t hex_digits = 16;
constexpr std::size_t request_id_length = 2 * hex_digits + 1;

} // namespace

std::string to_text(const request_id& id)
{
    return to_hex(static_cast<std::uint64_t>(id.entry)) + "-" + to_hex(id.seq);
}

std::string to_text(const attempt_id& id)
{
    return to_text(id.request) + "-" + std::to_string(id.count);
}

std::optional<request_id> parse_request_id(std::string_view s)
{
    if (s.size() != request_id_length || s[hex_digits] != '-')
        return std::nullopt;
    const auto entry = parse_hex(s.substr(0, hex_digits));
    const auto seq = parse_hex(s.substr(hex_digits + 1));
    if (!entry || !seq)
        return std::nullopt;
    return request_id{static_cast<node_id>(*entry), *seq};
}

std::optional<attempt_id> parse_attempt_id(std::string_view s)
{
    if (s.size() < request_id_length + 2 || s[request_id_length] != '-')
        return std::nullopt;
    const auto request = parse_request_id(s.substr(0, request_id_length));
    const auto count = parse_int(s.substr(request_id_length + 1));
    if (!request || !count || *count < 1 || *count > UINT32_MAX)
        return std::nullopt;
    return attempt_id{*request, static_cast<std::uint32_t>(*count)};
}

} // namespace jasminetray
