// The platform over HTTP; see platform_http.hpp.
#include "platform/platform_http.hpp"

#include "platform/http_client.hpp"

#include <boost/json.hpp>

namespace jasminetray {

namespace {

namespace json = boost::json;

constexpr unsigned ok = 200;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;

/// Turns the lower layer's error and the status into this layer's error.
platform_error error_of(const std::optional<http_answer>& a, http_error e)
{
    if (!a)
        return e == http_error::not_sent ? platform_error::unreachable
                                         : platform_error::unclear;
    switch (a->status) {
    case ok:
        return platform_error::none;
    case not_found:
        return platform_error::missing;
    case conflict:
        return platform_error::conflict;
    default:
        return platform_error::unclear;
    }
}

std::optional<http_answer> call(const host_port& at, span_us bound,
                                const std::string& method,
                                const std::string& target,
                                const std::string& body, platform_error& last)
{
    http_error e{};
    auto a = call_http({at, method, target, body, {}, bound}, e);
    last = error_of(a, e);
    if (last != platform_error::none)
        return std::nullopt;
    return a;
}

std::optional<table_row> parse_row(const std::string& text,
                                   platform_error& last)
{
    json::error_code ec;
    const auto v = json::parse(text, ec);
    const auto* o = ec ? nullptr : v.if_object();
    const auto* version = o ? o->if_contains("version") : nullptr;
    const auto* value = o ? o->if_contains("value") : nullptr;
    if (!version || !version->is_int64() || !value || !value->is_string()) {
        last = platform_error::unclear;
        return std::nullopt;
    }
    return table_row{static_cast<std::uint64_t>(version->as_int64()),
                     std::string(value->as_string())};
}

} // namespace

platform_api make_platform_http(const host_port& at, span_us bound)
{
    platform_api p;
    p.read_row = [=](const std::string& key, platform_error& last) {
        const auto a = call(at, bound, "GET", "/table/" + key, "", last);
        return a ? parse_row(a->body, last) : std::nullopt;
    };
    p.write_rows = [=](const std::vector<table_write>& writes,
                       platform_error& last) {
        json::array list;
        for (const auto& w : writes) {
            list.push_back(json::object{
                {"key", w.key},
                {"expected", static_cast<std::int64_t>(w.expected)},
                {"value", w.value}});
        }
        return call(at, bound, "POST", "/transaction", json::serialize(list),
                    last)
            .has_value();
    };
    p.put_object = [=](const std::string& name, const std::string& content,
                       platform_error& last) {
        return call(at, bound, "PUT", "/object/" + name, content, last)
            .has_value();
    };
    p.get_object = [=](const std::string& name, platform_error& last) {
        auto a = call(at, bound, "GET", "/object/" + name, "", last);
        return a ? std::optional<std::string>(std::move(a->body))
                 : std::nullopt;
    };
    return p;
}

} // namespace jasminetray
