// Responses to callers whose requests are refused.
#include "node/entry_refusal.hpp"

#include "node/entry_upload.hpp"

#include "node/quarantine_driver.hpp"

#include <boost/json.hpp>
#include <cstdio>

namespace jasminetray {

namespace {

namespace json = boost::json;

constexpr span_us default_retry_after = 100 * us_per_ms;

/// Formats seconds with three decimals, as platform callers expect them.
std::string format_seconds(span_us t)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3f",
                  static_cast<double>(t) / us_per_s);
    return buf.data();
}

void add_refusal_details(string_response& m, const request_id& id,
                         const refusal& x)
{
    const std::string outcome(name_of(final_outcome_names, x.outcome));
    m.set(caller_field::outcome, outcome);
    m.set(caller_field::reason, x.reason);
    m.set(caller_field::event, std::to_string(event_number(x.event)));
    m.set(caller_field::request, to_text(id));
    m.set(http::field::content_type, "application/json");
    json::object body{{"outcome", outcome},
                      {"reason", x.reason},
                      {"event", event_number(x.event)},
                      {"request", to_text(id)}};
    if (x.retry_after > 0) {
        const auto ms = std::max<span_us>(1, x.retry_after / us_per_ms);
        m.set(http::field::retry_after, std::to_string((ms + 999) / 1000));
        m.set(caller_field::retry_ms, std::to_string(ms));
        body["retry_after_ms"] = ms;
    }
    m.body() = json::serialize(body) + "\n";
}

/// Returns the earliest time at which a backend server with a limit of starts
/// would take the request; nothing when none refused it for its limit.
std::optional<span_us> earliest_start(const entry_request& r)
{
    std::optional<span_us> earliest;
    for (const auto& t : r.attempts) {
        if (t.rate_limited)
            earliest =
                std::min(earliest.value_or(t.retry_after), t.retry_after);
    }
    return earliest;
}

} // namespace

string_response make_refusal(const request_id& id, const refusal& x,
                             bool explain)
{
    string_response m(x.status, 11);
    if (explain)
        add_refusal_details(m, id, x);
    else if (x.retry_after > 0)
        m.set(http::field::retry_after, format_seconds(x.retry_after));
    return m;
}

refusal quarantine_refusal(const node_state& n)
{
    refusal x;
    x.event = event_id::refused_quarantined;
    x.reason = quarantined_reason;
    x.retry_after = n.settings.quarantine.retry_after;
    return x;
}

refusal final_refusal(const entry_request& r)
{
    refusal x;
    x.outcome = r.machine.outcome;
    x.reason = r.machine.reason.empty() ? "no-worker" : r.machine.reason;
    if (r.upload && r.upload->failed != http::status::unknown) {
        x.status = r.upload->failed;
        x.event = event_id::refused_bad_request;
        return x;
    }
    if (x.outcome == final_outcome::unknown) {
        x.status = http::status::gateway_timeout;
        x.event = event_id::refused_unknown;
        if (x.reason == answer_head_reason) {
            x.status = http::status::bad_gateway;
            x.event = event_id::answer_head_too_large;
        } else if (x.reason == malformed_answer_reason) {
            x.status = http::status::bad_gateway;
            x.event = event_id::answer_malformed;
        }
        return x;
    }
    x.retry_after = default_retry_after;
    for (const auto& t : r.attempts)
        x.retry_after = std::max(x.retry_after, t.retry_after);
    if (x.reason == quarantined_reason)
        return quarantine_refusal(r.n);
    if (const auto earliest = earliest_start(r)) {
        x.retry_after = std::max(default_retry_after, *earliest);
        x.reason = rate_limited_reason;
        x.event = event_id::refused_overload;
        return x;
    }
    if (x.reason == "queue-full" || x.reason == "shed" ||
        x.reason == "deadline-short" || x.reason == body_memory_reason)
        x.event = event_id::refused_overload;
    else if (x.reason == "no-worker")
        x.event = event_id::refused_no_worker;
    return x;
}

} // namespace jasminetray
