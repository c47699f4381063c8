// Stand-in store; see store_state.hpp.
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

constexpr std::size_t max_history = 4096; // changes kept for the feed
constexpr int poll_interval_ms = 5;
constexpr int max_wait_ms = 30000;
constexpr std::size_t max_transaction_rows = 100;

void set_response(stand_in_response& r, http::status status, std::string body)
{
    r.result(status);
    r.set(http::field::content_type, "application/json");
    r.body() = std::move(body);
}

void sleep_ms(asio::io_context& ctx, int ms, const asio::yield_context& y)
{
    asio::steady_timer timer(ctx, std::chrono::milliseconds(ms));
    beast::error_code ec;
    timer.async_wait(y[ec]);
}

/// Returns the decoded query parameters.
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
            {f::partition, ""},
            {f::key, key},
            {f::value, row.value},
            {f::row_version, row.version}};
}

void record_change(store_state& s, const std::string& table,
                   const std::string& key)
{
    s.changes.push_back({s.version, table, key});
    if (s.changes.size() > max_history) {
        s.discarded_up_to = s.changes.front().version;
        s.changes.pop_front();
    }
}

std::pair<std::string, std::string> parse_row_name(const json::object& o)
{
    return {find_string(o, f::table).value_or(""),
            find_string(o, f::key).value_or("")};
}

/// Returns the current rows if a precondition fails, else an empty array.
json::array conflicting_rows(const store_state& s, const json::array& expected)
{
    json::array current;
    bool matches = true;
    for (const auto& v : expected) {
        const auto& o = v.as_object();
        const auto name = parse_row_name(o);
        const auto it = s.rows.find(name);
        const auto has = it == s.rows.end() ? 0 : it->second.version;
        matches = matches && has == find_uint(o, f::row_version).value_or(0);
        if (it != s.rows.end())
            current.push_back(row_object(name.first, name.second, it->second));
    }
    return matches           ? json::array{}
           : current.empty() ? json::array{nullptr}
                             : current;
}

/// Applies a transaction atomically: all preconditions are checked before the
/// first change.
void handle_transaction(store_state& s, const std::string& body,
                        stand_in_response& r)
{
    const auto o = parse_json_object(body);
    static const json::array none;
    const auto list = [&](const char* key) -> const json::array& {
        const auto* a = o ? find_array(*o, key) : nullptr;
        return a == nullptr ? none : *a;
    };
    const auto size = list(f::expected).size() + list(f::writes).size() +
                      list(f::removes).size();
    if (!o || size > max_transaction_rows)
        return set_response(r, http::status::bad_request, "{}");
    for (const auto* key : {f::writes, f::removes}) {
        for (const auto& v : list(key)) {
            if (parse_row_name(v.as_object()).first == wire::operator_table)
                return set_response(r, http::status::forbidden, "{}");
        }
    }
    auto conflicts = conflicting_rows(s, list(f::expected));
    if (!conflicts.empty()) {
        return set_response(
            r, http::status::precondition_failed,
            json::serialize(json::object{{f::rows, conflicts}}));
    }
    ++s.version;
    for (const auto& v : list(f::writes)) {
        const auto name = parse_row_name(v.as_object());
        s.rows[name] = {s.version,
                        find_string(v.as_object(), f::value).value_or("")};
        record_change(s, name.first, name.second);
    }
    for (const auto& v : list(f::removes)) {
        const auto name = parse_row_name(v.as_object());
        s.rows.erase(name);
        record_change(s, name.first, name.second);
    }
    set_response(r, http::status::ok,
                 json::serialize(json::object{{f::row_version, s.version}}));
}

/// Returns the monotonic clock of the store in seconds. The arbitrary offset
/// keeps clients from using it as wall time.
double steady_seconds()
{
    constexpr double offset = 4000;
    const auto t = std::chrono::steady_clock::now().time_since_epoch();
    return offset + std::chrono::duration<double>(t).count();
}

void handle_list(const store_state& s, const std::string& target,
                 stand_in_response& r)
{
    auto q = parse_query(target);
    const auto limit = parse_int(q[f::limit]);
    const auto max_rows =
        limit ? std::min(s.max_page_rows, static_cast<std::size_t>(*limit))
              : s.max_page_rows;
    json::array rows;
    bool has_more = false;
    for (auto it = s.rows.lower_bound({q[f::table], q[f::from]});
         it != s.rows.end() && it->first.first == q[f::table]; ++it) {
        has_more = rows.size() >= max_rows;
        if (has_more)
            break;
        rows.push_back(
            row_object(it->first.first, it->first.second, it->second));
    }
    set_response(r, http::status::ok,
                 json::serialize(json::object{{f::rows, std::move(rows)},
                                              {f::has_more, has_more},
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
        auto removed = row_object(c.table, c.key, {c.version, ""});
        removed[f::removed] = true;
        rows.push_back(std::move(removed));
    }
    return rows;
}

void handle_feed(store_state& s, const std::string& target,
                 stand_in_response& r, asio::io_context& ctx,
                 const asio::yield_context& y)
{
    auto q = parse_query(target);
    const auto after =
        static_cast<std::uint64_t>(parse_int(q[f::after_version]).value_or(0));
    const auto wait = std::clamp<std::int64_t>(
        parse_int(q[f::wait_ms]).value_or(0), 0, max_wait_ms);
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    json::array rows;
    while (true) {
        if (after < s.discarded_up_to)
            return set_response(r, http::status::gone, "{}");
        rows = changes_after(s, q[f::table], after);
        if (!rows.empty() || std::chrono::steady_clock::now() >= until)
            break;
        sleep_ms(ctx, poll_interval_ms, y);
    }
    set_response(r, http::status::ok,
                 json::serialize(json::object{{f::rows, std::move(rows)},
                                              {f::now_s, steady_seconds()},
                                              {f::row_version, s.version}}));
}

void set_fault(store_state& s, const std::string& body, stand_in_response& r)
{
    const auto o = parse_json_object(body);
    const auto mode = o ? find_string(*o, "mode") : std::nullopt;
    if (!mode)
        return set_response(r, http::status::bad_request, "expected a mode");
    s.fault = {};
    s.fault.down = *mode == "down";
    s.fault.unresponsive = *mode == "silent";
    s.fault.unavailable = *mode == "busy";
    s.fault.too_many_requests = *mode == "many";
    s.fault.drop_write_response = *mode == "lose_answer";
    if (*mode == "slow")
        s.fault.slow_ms = static_cast<int>(find_uint(*o, "ms").value_or(0));
    if (*mode == "copy")
        s.copy = std::make_shared<store_state>(s);
    if (*mode == "restore" && s.copy) {
        s.version = s.copy->version;
        s.rows = s.copy->rows;
        s.changes = s.copy->changes;
        s.discarded_up_to = s.copy->discarded_up_to;
    }
    if (*mode == "forget")
        discard_history(s);
    set_response(r, http::status::ok, "{}");
}

/// Serves test controls, which faults do not affect. Returns false for other
/// paths.
bool handle_control(store_state& s, const stand_in_request& q,
                    stand_in_response& r)
{
    const auto target = q.target();
    if (target == "/fault") {
        set_fault(s, q.body(), r);
    } else if (target == "/operator") {
        const auto o = parse_json_object(q.body());
        if (o)
            put_operator_row(s, find_string(*o, "table").value_or(""),
                             find_string(*o, "key").value_or(""),
                             find_string(*o, "value").value_or(""));
        set_response(r, o ? http::status::ok : http::status::bad_request, "{}");
    } else if (target == "/stats") {
        set_response(r, http::status::ok,
                     json::serialize(json::object{{"reads", s.reads},
                                                  {"writes", s.writes}}));
    } else {
        return false;
    }
    return true;
}

void handle_object(store_state& s, const stand_in_request& q,
                   const std::string& name, stand_in_response& r)
{
    if (q.method() == http::verb::put) {
        s.objects[name] = q.body();
        return set_response(r, http::status::ok, "{}");
    }
    const auto it = s.objects.find(name);
    if (it == s.objects.end())
        return set_response(r, http::status::not_found, "{}");
    set_response(r, http::status::ok, it->second);
}

/// Returns the part of a path after a prefix, or nullopt if it does not match.
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
    record_change(s, table, key);
}

void discard_history(store_state& s)
{
    s.discarded_up_to = s.version;
    s.changes.clear();
}

stand_in_action serve_store(store_state& s, const stand_in_request& q,
                            stand_in_response& r, asio::io_context& ctx,
                            const asio::yield_context& y)
{
    if (handle_control(s, q, r))
        return stand_in_action::respond;
    const std::string target(q.target());
    const bool write = q.method() != http::verb::get;
    ++(write ? s.writes : s.reads);
    if (s.fault.down)
        return stand_in_action::close;
    while (s.fault.unresponsive)
        sleep_ms(ctx, poll_interval_ms, y);
    if (s.fault.slow_ms > 0)
        sleep_ms(ctx, s.fault.slow_ms, y);
    if (s.fault.unavailable || s.fault.too_many_requests) {
        set_response(r,
                     s.fault.unavailable ? http::status::service_unavailable
                                         : http::status::too_many_requests,
                     "{}");
        return stand_in_action::respond;
    }
    if (target == wire::path::transaction)
        handle_transaction(s, q.body(), r);
    else if (after_prefix(target, wire::path::list))
        handle_list(s, target, r);
    else if (after_prefix(target, wire::path::feed))
        handle_feed(s, target, r, ctx, y);
    else if (const auto put = after_prefix(target, wire::path::put_object))
        handle_object(s, q, *put, r);
    else if (const auto get = after_prefix(target, wire::path::get_object))
        handle_object(s, q, *get, r);
    else
        set_response(r, http::status::not_found, "no such call");
    return write && s.fault.drop_write_response ? stand_in_action::close
                                                : stand_in_action::respond;
}

} // namespace jasminetray
