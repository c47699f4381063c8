// Text helpers. The number parsers accept a string only as a whole; they return
// nothing for empty input, surrounding space or trailing characters.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetray {

/// Removes whitespace at both ends.
std::string_view trim(std::string_view s);

/// Splits `s` at separators; trims the parts and omits empty ones.
std::vector<std::string> split(std::string_view s, char separator);

std::optional<std::int64_t> parse_int(std::string_view s);

std::optional<double> parse_double(std::string_view s);

/// Parses up to 16 hex digits.
std::optional<std::uint64_t> parse_hex(std::string_view s);

/// Formats as 16 lower-case hex digits.
std::string to_hex(std::uint64_t n);

/// Returns the 64-bit XXH3 hash, which is not suitable as a MAC.
std::uint64_t text_hash(std::string_view s);

struct host_port
{
    std::string ip;         ///< IPv4 address in dotted decimal
    std::uint16_t port = 0; ///< 0 for any free port
};

/// Parses "a.b.c.d:port"; returns nothing when `s` is malformed.
std::optional<host_port> parse_host_port(std::string_view s);

bool is_ipv4(std::string_view s);

} // namespace jasminetray
