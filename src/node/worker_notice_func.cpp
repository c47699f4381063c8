// Reading of notices; see worker_notice_type.hpp.
#include "node/worker_notice_type.hpp"

#include "base/text_func.hpp"
#include "node/http_func.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr std::size_t max_logged_value = 40; // bytes of a malformed value
constexpr std::string_view leaving_value = "1";

void append_malformed(worker_notice& x, std::string_view field,
                      std::string_view value)
{
    if (!x.malformed.empty())
        x.malformed += ' ';
    x.malformed += std::string(field) + "=\"" +
                   std::string(value.substr(0, max_logged_value)) + '"';
}

/// Calls `f` with each value of a header field, trimmed.
template <class F>
void for_each_value(const http::fields& fields, std::string_view name, F f)
{
    if (name.empty())
        return;
    const auto range = fields.equal_range(to_beast_view(name));
    for (auto it = range.first; it != range.second; ++it)
        f(trim({it->value().data(), it->value().size()}));
}

void read_rates(worker_notice& x, std::string_view name,
                const http::fields& fields)
{
    for_each_value(fields, name, [&](std::string_view value) {
        const auto rate = parse_start_rate(value);
        if (!rate)
            return append_malformed(x, name, value);
        x.rate = x.rate ? std::min(*x.rate, *rate) : *rate;
    });
    x.rate_unreadable = !x.rate && !x.malformed.empty();
}

bool is_digits(std::string_view text)
{
    return text.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

std::optional<double> parse_start_rate(std::string_view text)
{
    if (const auto rate = parse_double(text)) {
        if (!std::isfinite(*rate) || std::signbit(*rate))
            return std::nullopt;
        return std::min(*rate, max_start_rate);
    }
    // Numbers with more digits than a double can represent.
    const auto dot = std::min(text.find('.'), text.size());
    const auto whole = text.substr(0, dot);
    const auto fraction = text.substr(std::min(dot + 1, text.size()));
    if (whole.empty() || !is_digits(whole) || !is_digits(fraction))
        return std::nullopt;
    const bool is_zero = whole.find_first_not_of('0') == std::string_view::npos;
    return is_zero ? 0 : max_start_rate;
}

worker_notice read_worker_notice(const http_dialect& d, const http::fields& f)
{
    worker_notice x;
    read_rates(x, d.worker_limit, f);
    for_each_value(f, d.worker_leaving, [&](std::string_view value) {
        if (value == leaving_value)
            x.leaving = true;
        else
            append_malformed(x, d.worker_leaving, value);
    });
    return x;
}

} // namespace jasminetray
