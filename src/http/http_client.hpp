// A blocking HTTP call with a time bound, for everything that is not on the
// request path: the platform, the operators' tool, the stand-ins.
#pragma once

#include "base/names_type.hpp"
#include "base/text_func.hpp"
#include "base/time_type.hpp"

#include <map>
#include <optional>
#include <string>

namespace jasminetray {

/// Why a call failed.
enum class http_error : std::uint8_t
{
    none,
    not_sent,  ///< no connection: the other side saw nothing
    no_answer, ///< sent, and no whole answer came
};

inline constexpr std::array<std::string_view, 3> http_error_names = {
    "none", "not-sent", "no-answer"};

/// One call.
struct http_request
{
    host_port to;
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::map<std::string, std::string> headers;
    span_us bound = 2 * us_per_s; ///< for the whole call
};

/// Its answer.
struct http_response
{
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> headers; ///< names in lower case
};

/// Makes a call and waits for the answer.
std::optional<http_response> send_http_request(const http_request& call,
                                               http_error& last);

} // namespace jasminetray
