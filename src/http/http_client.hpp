// Blocking HTTP client for code outside the request path, such as the store
// client and the test backends.
#pragma once

#include "base/names_type.hpp"
#include "base/text_func.hpp"
#include "base/time_type.hpp"

#include <map>
#include <optional>
#include <string>

namespace jasminetray {

enum class http_error : std::uint8_t
{
    none,
    not_sent,  ///< no connection; the server received nothing
    no_answer, ///< no complete response; the server may have acted
};

inline constexpr std::array<std::string_view, 3> http_error_names = {
    "none", "not-sent", "no-answer"};

struct http_request
{
    host_port address;
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::map<std::string, std::string> headers;
    span_us timeout = 2 * us_per_s; ///< for the whole call
};

struct http_response
{
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> headers; ///< names in lower case
};

/// Sends a request on a new connection and waits for the response.
/// @return nothing on error, with the reason in `error`
std::optional<http_response> send_http_request(const http_request& request,
                                               http_error& error);

} // namespace jasminetray
