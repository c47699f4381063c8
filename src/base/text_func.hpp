// Small text helpers shared by the settings, the wire and the tools: strict
// number parsing (the whole text or nothing), splitting, hex, hashing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetray {

/// Text without blanks at both ends.
std::string_view trim(std::string_view s);

/// Parts of `s` between separators, trimmed; empty parts are left out.
std::vector<std::string> split(std::string_view s, char separator);

/// The whole of `s` as a decimal whole number, or nothing.
std::optional<std::int64_t> parse_int(std::string_view s);

/// The whole of `s` as a decimal number, or nothing.
std::optional<double> parse_double(std::string_view s);

/// The whole of `s` as up to 16 hex digits, or nothing.
std::optional<std::uint64_t> parse_hex(std::string_view s);

/// 16 hex digits.
std::string to_hex(std::uint64_t n);

/// 64-bit content hash (XXH3); not a MAC.
std::uint64_t text_hash(std::string_view s);

/// IPv4 address and port.
struct host_port
{
    std::string ip;         ///< dotted decimal
    std::uint16_t port = 0; ///< 0 means "any free port"
};

/// "a.b.c.d:port", or nothing.
std::optional<host_port> parse_host_port(std::string_view s);

/// True when `s` is a dotted-decimal IPv4 address.
bool is_ipv4(std::string_view s);

} // namespace jasminetray
