// The stand-in store; see store_state.hpp.
#include "stand_in/store_state.hpp"

#include "base/text_func.hpp"
#include "platform/json_func.hpp"
#include "platform/wire_names.hpp"

#include <algorithm>
#include <chrono>
#include <sodium.h>

namespace jasminetray {

namespace {

namespace f = wire::field;

constexpr std::size_t max_changes = 4096; // kept for the feed
constexpr int feed_step_ms = 5;           // between two looks
constexpr int max_wait_ms = 30000;
constexpr std::size_t max_entries = 100; // of a transaction

void answer(stand_in_response& r, http::status status, std::string body)
{
    r.result(status);
    r.set(http::field::content_type, "application/json");
    r.body() = std::move(body);
}

void wait_ms(asio::io_context& ctx, int ms, const asio::yield_context& y)
{
    asio::steady_timer timer(ctx, std::chrono::milliseconds(ms));
    beast::error_code ec;
    timer.async_wait(y[ec]);
}

/// Parameters of a query, decoded.
std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> found;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return found;
    for (const auto& part : split(target.substr(mark + 1), '&')) {
        const auto equals = part.find('=');
        std::string value;
        for (std::size_t n = equals;
             n != std::string::npos && ++n < part.size();) {
            const auto byte = part[n] == '%' ? parse_hex(part.substr(n + 1, 2))
                                             : std::nullopt;
            value += byte ? static_cast<char>(*byte) : part[n];
            n += byte ? 2 : 0;
        }
        found[part.substr(0, equals)] = value;
    }
    return found;
}

json::object row_object(const std::string& table, const std::string& key,
                        const stored_row& row)
{
    return {{f::table, table},
            {f::part, ""},
            {f::key, key},
            {f::value, row.value},
            {f::row_version, row.version}};
}

void touch(store_state& s, const std::string& table, const std::string& key)
{
    s.changes.push_back({s.version, table, key});
    if (s.changes.size() > max_changes) {
        s.forgotten = s.changes.front().version;
        s.changes.pop_front();
    }
}

std::pair<std::string, std::string> name_of_row(const json::object& o)
{
    return {text_at(o, f::table).value_or(""), text_at(o, f::key).value_or("")};
}

/// Rows of an expectation that are not so, as they are.
json::array unexpected(const store_state& s, const json::array& expected)
{
    json::array now;
    bool good = true;
    for (const auto& v : expected) {
        const auto& o = v.as_object();
        const auto name = name_of_row(o);
        const auto it = s.rows.find(name);
        const auto has = it == s.rows.end() ? 0 : it->second.version;
        good = good && has == whole_at(o, f::row_version).value_or(0);
        if (it != s.rows.end())
            now.push_back(row_object(name.first, name.second, it->second));
    }
    return good ? json::array{} : now.empty() ? json::array{nullptr} : now;
}

/// All entries of a transaction, or none: every expectation is checked
/// before the first row changes.
void transact(store_state& s, const std::string& body, stand_in_response& r)
{
    const auto o = parse_object(body);
    static const json::array none;
    const auto list = [&](const char* key) -> const json::array& {
        const auto* a = o ? array_at(*o, key) : nullptr;
        return a == nullptr ? none : *a;
    };
    const auto size = list(f::expected).size() + list(f::writes).size() +
                      list(f::removes).size();
    if (!o || size > max_entries)
        return answer(r, http::status::bad_request, "{}");
    for (const auto* key : {f::writes, f::removes}) {
        for (const auto& v : list(key)) {
            if (name_of_row(v.as_object()).first == wire::operator_table)
                return answer(r, http::status::forbidden, "{}");
        }
    }
    auto wrong = unexpected(s, list(f::expected));
    if (!wrong.empty()) {
        return answer(r, http::status::precondition_failed,
                      json::serialize(json::object{{f::rows, wrong}}));
    }
    ++s.version;
    for (const auto& v : list(f::writes)) {
        const auto name = name_of_row(v.as_object());
        s.rows[name] = {s.version,
                        text_at(v.as_object(), f::value).value_or("")};
        touch(s, name.first, name.second);
    }
    for (const auto& v : list(f::removes)) {
        const auto name = name_of_row(v.as_object());
        s.rows.erase(name);
        touch(s, name.first, name.second);
    }
    answer(r, http::status::ok,
           json::serialize(json::object{{f::row_version, s.version}}));
}

/// The store's steady clock, in seconds with fractions. It begins anywhere, as
/// nobody may take it for a time of day.
double steady_seconds()
{
    constexpr double began = 4000;
    const auto t = std::chrono::steady_clock::now().time_since_epoch();
    return began + std::chrono::duration<double>(t).count();
}

void list_rows(const store_state& s, const std::string& target,
               stand_in_response& r)
{
    auto q = parse_query(target);
    const auto limit = parse_int(q[f::limit]);
    const auto most =
        limit ? std::min(s.page, static_cast<std::size_t>(*limit)) : s.page;
    json::array rows;
    bool more = false;
    for (auto it = s.rows.lower_bound({q[f::table], q[f::from]});
         it != s.rows.end() && it->first.first == q[f::table]; ++it) {
        more = rows.size() >= most;
        if (more)
            break;
        rows.push_back(
            row_object(it->first.first, it->first.second, it->second));
    }
    answer(r, http::status::ok,
           json::serialize(json::object{{f::rows, std::move(rows)},
                                        {f::more, more},
                                        {f::now_s, steady_seconds()},
                                        {f::row_version, s.version}}));
}

json::array changes_after(const store_state& s, const std::string& table,
                          std::uint64_t after)
{
    json::array rows;
    for (const auto& c : s.changes) {
        if (c.version <= after || c.table != table)
            continue;
        const auto it = s.rows.find({c.table, c.key});
        if (it != s.rows.end()) {
            rows.push_back(row_object(c.table, c.key, it->second));
            continue;
        }
        auto gone = row_object(c.table, c.key, {c.version, ""});
        gone[f::removed] = true;
        rows.push_back(std::move(gone));
    }
    return rows;
}

void follow(store_state& s, const std::string& target, stand_in_response& r,
            asio::io_context& ctx, const asio::yield_context& y)
{
    auto q = parse_query(target);
    const auto after =
        static_cast<std::uint64_t>(parse_int(q[f::after]).value_or(0));
    const auto wait = std::clamp<std::int64_t>(
        parse_int(q[f::wait_ms]).value_or(0), 0, max_wait_ms);
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    json::array rows;
    while (true) {
        if (after < s.forgotten)
            return answer(r, http::status::gone, "{}");
        rows = changes_after(s, q[f::table], after);
        if (!rows.empty() || std::chrono::steady_clock::now() >= until)
            break;
        wait_ms(ctx, feed_step_ms, y);
    }
    answer(r, http::status::ok,
           json::serialize(json::object{{f::rows, std::move(rows)},
                                        {f::now_s, steady_seconds()},
                                        {f::row_version, s.version}}));
}

void set_fault(store_state& s, const std::string& body, stand_in_response& r)
{
    const auto o = parse_object(body);
    const auto mode = o ? text_at(*o, "mode") : std::nullopt;
    if (!mode)
        return answer(r, http::status::bad_request, "expected a mode");
    s.fault = {};
    s.fault.down = *mode == "down";
    s.fault.silent = *mode == "silent";
    s.fault.busy = *mode == "busy";
    s.fault.many = *mode == "many";
    s.fault.lose_answer = *mode == "lose_answer";
    if (*mode == "slow")
        s.fault.slow_ms = static_cast<int>(whole_at(*o, "ms").value_or(0));
    if (*mode == "forget")
        forget_history(s);
    answer(r, http::status::ok, "{}");
}

/// Whether a path is one of the controls, which no fault touches.
bool serve_control(store_state& s, const stand_in_request& q,
                   stand_in_response& r)
{
    const auto target = q.target();
    if (target == "/fault") {
        set_fault(s, q.body(), r);
    } else if (target == "/operator") {
        const auto o = parse_object(q.body());
        if (o)
            put_operator_row(s, text_at(*o, "table").value_or(""),
                             text_at(*o, "key").value_or(""),
                             text_at(*o, "value").value_or(""));
        answer(r, o ? http::status::ok : http::status::bad_request, "{}");
    } else if (target == "/stats") {
        answer(r, http::status::ok,
               json::serialize(
                   json::object{{"reads", s.reads}, {"writes", s.writes}}));
    } else {
        return false;
    }
    return true;
}

void serve_object(store_state& s, const stand_in_request& q,
                  const std::string& name, stand_in_response& r)
{
    if (q.method() == http::verb::put) {
        s.objects[name] = q.body();
        return answer(r, http::status::ok, "{}");
    }
    const auto it = s.objects.find(name);
    if (it == s.objects.end())
        return answer(r, http::status::not_found, "{}");
    answer(r, http::status::ok, it->second);
}

/// What follows a prefix in a path; nothing when it does not begin so.
std::optional<std::string> after_prefix(const std::string& target,
                                        const std::string& prefix)
{
    if (target.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return target.substr(prefix.size());
}

} // namespace

void put_operator_row(store_state& s, const std::string& table,
                      const std::string& key, const std::string& value)
{
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string text(sodium_base64_encoded_len(value.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char*>(value.data()),
                      value.size(), variant);
    text.pop_back(); // the terminating zero
    ++s.version;
    s.rows[{table, key}] = {s.version, text};
    touch(s, table, key);
}

void forget_history(store_state& s)
{
    s.forgotten = s.version;
    s.changes.clear();
}

stand_in_end serve_store(store_state& s, const stand_in_request& q,
                         stand_in_response& r, asio::io_context& ctx,
                         const asio::yield_context& y)
{
    if (serve_control(s, q, r))
        return stand_in_end::answer;
    const std::string target(q.target());
    const bool write = q.method() != http::verb::get;
    ++(write ? s.writes : s.reads);
    if (s.fault.down)
        return stand_in_end::drop;
    while (s.fault.silent)
        wait_ms(ctx, feed_step_ms, y);
    if (s.fault.slow_ms > 0)
        wait_ms(ctx, s.fault.slow_ms, y);
    if (s.fault.busy || s.fault.many) {
        answer(r,
               s.fault.busy ? http::status::service_unavailable
                            : http::status::too_many_requests,
               "{}");
        return stand_in_end::answer;
    }
    if (target == wire::path::transaction)
        transact(s, q.body(), r);
    else if (after_prefix(target, wire::path::list))
        list_rows(s, target, r);
    else if (after_prefix(target, wire::path::feed))
        follow(s, target, r, ctx, y);
    else if (const auto put = after_prefix(target, wire::path::put_object))
        serve_object(s, q, *put, r);
    else if (const auto get = after_prefix(target, wire::path::get_object))
        serve_object(s, q, *get, r);
    else
        answer(r, http::status::not_found, "no such call");
    return write && s.fault.lose_answer ? stand_in_end::drop
                                        : stand_in_end::answer;
}

} // namespace jasminetray
