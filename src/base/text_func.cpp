// Parsing and formatting of numbers and addresses.
#include "base/text_func.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <cstdlib>
#include <xxhash.h>

namespace jasminetray {

namespace {

template <typename Number, typename... Args>
std::optional<Number> parse_number(std::string_view s, Args... args)
{
    Number n{};
    const char* end = s.data() + s.size();
    const auto r = std::from_chars(s.data(), end, n, args...);
    if (r.ec != std::errc() || r.ptr != end || s.empty())
        return std::nullopt;
    return n;
}

} // namespace

std::string_view trim(std::string_view s)
{
    constexpr std::string_view whitespace = " \t\r\n";
    const auto first = s.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return s.substr(first, s.find_last_not_of(whitespace) - first + 1);
}

std::vector<std::string> split(std::string_view s, char separator)
{
    std::vector<std::string> parts;
    while (!s.empty()) {
        const auto n = s.find(separator);
        const auto part = trim(s.substr(0, n));
        if (!part.empty())
            parts.emplace_back(part);
        if (n == std::string_view::npos)
            break;
        s.remove_prefix(n + 1);
    }
    return parts;
}

std::optional<std::int64_t> parse_int(std::string_view s)
{
    return parse_number<std::int64_t>(s);
}

std::optional<double> parse_double(std::string_view s)
{
    return parse_number<double>(s);
}

std::optional<std::uint64_t> parse_hex(std::string_view s)
{
    return parse_number<std::uint64_t>(s, 16);
}

std::string to_hex(std::uint64_t n)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string s(16, '0');
    for (auto it = s.rbegin(); it != s.rend(); ++it, n >>= 4)
        *it = digits[n & 15];
    return s;
}

std::uint64_t text_hash(std::string_view s)
{
    return XXH3_64bits(s.data(), s.size());
}

bool is_ipv4(std::string_view s)
{
    boost::system::error_code ec;
    boost::asio::ip::make_address_v4(std::string(s), ec);
    return !ec;
}

std::optional<host_port> parse_host_port(std::string_view s)
{
    const auto colon = s.rfind(':');
    if (colon == std::string_view::npos || !is_ipv4(s.substr(0, colon)))
        return std::nullopt;
    const auto port = parse_int(s.substr(colon + 1));
    if (!port || *port < 0 || *port > 65535)
        return std::nullopt;
    return host_port{std::string(s.substr(0, colon)),
                     static_cast<std::uint16_t>(*port)};
}

} // namespace jasminetray
