// Encoding of the header field between nodes: hexadecimal numbers without
// leading zeros, separated by commas, in the order of the members.
#include "node/hop_type.hpp"

#include "base/text_func.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr std::size_t request_parts = 9; // plus two if not idempotent
constexpr std::size_t answer_parts = 9;  // plus two with a stamp
const std::string empty_reason = "-";    // split() drops empty parts
constexpr double load_scale = 100;
constexpr double limit_scale = 1000;     // rates and bursts in thousandths
constexpr std::size_t shorten_parts = 2; // plus one per attempt
constexpr std::size_t loan_parts = 3;
constexpr std::size_t allowance_request_parts = 6;
constexpr std::size_t allowance_answer_parts = 2; // plus one with a pressure
constexpr std::size_t grant_return_parts = 4;
constexpr std::uint64_t idempotent_bit = 1;
constexpr std::uint64_t probe_bit = 2;
constexpr std::uint64_t fallback_bit = 4;
constexpr std::uint64_t stopping_bit = 8;
constexpr std::uint64_t limit_bit = 16;
constexpr std::uint64_t leaving_bit = 32;
constexpr std::uint64_t may_move_bit = 128;
constexpr std::uint64_t streamed_bit = 1ULL << 56U;
/// Of the longest wait in a request for a grant; beyond the values of a
/// duration, so that earlier builds drop it.
constexpr std::uint64_t wants_pressure_bit = 1ULL << 63U;
/// Of a loan's count, of which earlier builds read the low 31 bits only.
constexpr std::uint64_t loan_hedges_bit = 1ULL << 32U;
/// In the number of the priority. Earlier builds read its low half only.
constexpr unsigned pressure_shift = 32;
constexpr std::uint64_t pressure_mask = 0xff;
// The numbers of a notice follow the flags, in the same number.
constexpr unsigned limit_rate_shift = 8;
constexpr unsigned notice_age_shift = 32;
constexpr std::uint64_t notice_mask = 0xffffff; // 24 bits each
constexpr span_us notice_age_unit = 10 * us_per_ms;
constexpr std::uint64_t failed_bit = 1;
constexpr std::uint64_t reached_bit = 2;
constexpr std::uint64_t suspect_bit = 4;
constexpr std::uint64_t takes_streams_bit = 8;

void append_number(std::string& out, std::uint64_t n)
{
    constexpr char digits[] = "0123456789abcdef";
    constexpr unsigned shift = 4;
    std::string text;
    do {
        text.insert(text.begin(), digits[n & 15U]);
        n >>= shift;
    } while (n != 0);
    out += ',';
    out += text;
}

void append_duration(std::string& out, span_us t)
{
    append_number(out, static_cast<std::uint64_t>(std::max<span_us>(0, t)));
}

std::uint64_t age_bits(span_us age)
{
    const auto n = std::clamp<span_us>(age / notice_age_unit, 0,
                                       static_cast<span_us>(notice_mask));
    return static_cast<std::uint64_t>(n) << notice_age_shift;
}

span_us age_of(std::uint64_t bits)
{
    return static_cast<span_us>(bits >> notice_age_shift & notice_mask) *
           notice_age_unit;
}

std::uint64_t limit_bits(const reported_limit& l)
{
    constexpr auto most = static_cast<double>(notice_mask);
    const double rate = std::clamp(limit_scale * l.rate, 0.0, most);
    return limit_bit |
           static_cast<std::uint64_t>(std::llround(rate)) << limit_rate_shift |
           age_bits(l.age);
}

std::optional<reported_limit> limit_of(std::uint64_t bits)
{
    if ((bits & limit_bit) == 0)
        return std::nullopt;
    reported_limit l;
    l.rate = static_cast<double>(bits >> limit_rate_shift & notice_mask) /
             limit_scale;
    l.age = age_of(bits);
    return l;
}

std::uint64_t pressure_steps(double pressure)
{
    const double n = std::clamp(pressure / pressure_unit, 0.0,
                                static_cast<double>(pressure_mask));
    return static_cast<std::uint64_t>(std::llround(n));
}

double pressure_of(std::uint64_t steps)
{
    return static_cast<double>(steps & pressure_mask) * pressure_unit;
}

/// A backend server that leaves gets no requests, so its limit isn't needed.
std::uint64_t notice_bits(const hop_request& r)
{
    if (r.leaving_age)
        return leaving_bit | age_bits(*r.leaving_age);
    return r.limit ? limit_bits(*r.limit) : 0;
}

/// Parses consecutive parts as numbers.
struct number_reader
{
    const std::vector<std::string>& parts;
    std::size_t next = 0;
    bool valid = true;

    std::uint64_t number()
    {
        const auto n =
            next < parts.size() ? parse_hex(parts[next]) : std::nullopt;
        ++next;
        valid = valid && n;
        return n.value_or(0);
    }

    span_us duration()
    {
        return static_cast<span_us>(number() & INT64_MAX);
    }
};

} // namespace

std::uint32_t attempt_echo(const attempt_id& a)
{
    constexpr std::uint64_t factor = 0x9e3779b97f4a7c15ULL;
    constexpr unsigned half = 32;
    const auto mixed =
        (a.request.seq ^ static_cast<std::uint64_t>(a.request.entry) * factor) +
        a.count * factor;
    return static_cast<std::uint32_t>((mixed * factor) >> half);
}

std::string to_text(const hop_request& r)
{
    std::string out = to_text(r.attempt);
    append_number(out, static_cast<std::uint64_t>(r.worker));
    append_number(out, (r.idempotent ? idempotent_bit : 0) |
                           (r.may_probe ? probe_bit : 0) |
                           (r.is_fallback ? fallback_bit : 0) |
                           (r.entry_stopping ? stopping_bit : 0) |
                           (r.may_move ? may_move_bit : 0) |
                           (r.streamed ? streamed_bit : 0) | notice_bits(r));
    append_number(out, static_cast<std::uint64_t>(r.priority) |
                           pressure_steps(r.pressure) << pressure_shift);
    append_number(out, r.route_class);
    append_number(out, r.centre);
    append_duration(out, r.remaining);
    append_duration(out, r.elapsed);
    append_duration(out, r.target);
    if (!r.idempotent) {
        append_number(out, static_cast<std::uint64_t>(r.boot));
        append_duration(out, r.stamp);
    }
    return out;
}

std::string to_text(const hop_answer& a)
{
    std::string out(1, static_cast<char>(a.outcome));
    append_number(out, a.echo);
    append_number(out, (a.failed ? failed_bit : 0) |
                           (a.reached ? reached_bit : 0) |
                           (a.suspect ? suspect_bit : 0) |
                           (a.takes_streams ? takes_streams_bit : 0));
    append_number(out,
                  static_cast<std::uint64_t>(std::lround(load_scale * a.load)));
    append_duration(out, a.baseline_work / us_per_ms);
    append_number(out, static_cast<std::uint64_t>(a.failure_percent));
    append_number(out, static_cast<std::uint64_t>(a.severity));
    append_duration(out, a.retry_after / us_per_ms);
    out += ',' + (a.reason.empty() ? empty_reason : a.reason);
    if (a.boot != boot_id{}) {
        append_number(out, static_cast<std::uint64_t>(a.boot));
        append_duration(out, a.stamp);
    }
    return out;
}

std::string to_text(const shorten_notice& s)
{
    std::string out(1, 's');
    append_duration(out, s.remaining);
    for (const auto& a : s.attempts)
        out += ',' + to_text(a);
    return out;
}

std::string to_text(const retry_loan& l)
{
    std::string out(1, 'r');
    append_number(out, static_cast<std::uint64_t>(l.service));
    append_number(out, static_cast<std::uint64_t>(std::max(0, l.count)) |
                           (l.hedges ? loan_hedges_bit : 0));
    return out;
}

std::string to_text(const allowance_request& a)
{
    std::string out(1, a.forwarded ? 'p' : 'a');
    append_number(out, a.team);
    append_number(out, a.limit.version);
    append_number(out, static_cast<std::uint64_t>(
                           std::llround(limit_scale * a.limit.rate)));
    append_number(out, static_cast<std::uint64_t>(
                           std::llround(limit_scale * a.limit.burst)));
    const auto wait = std::max<span_us>(0, a.max_wait / us_per_ms);
    append_number(out, static_cast<std::uint64_t>(wait) |
                           (a.wants_pressure ? wants_pressure_bit : 0));
    return out;
}

std::string to_text(const allowance_answer& a, bool with_pressure)
{
    std::string out(1, a.granted ? 'y' : 'n');
    append_duration(out, a.wait / us_per_ms);
    if (with_pressure)
        append_number(out, pressure_steps(a.pressure));
    return out;
}

std::string to_text(const grant_return& g)
{
    std::string out(1, 'g');
    append_number(out, g.team);
    append_duration(out, (g.age + us_per_ms - 1) / us_per_ms);
    append_number(out, g.number);
    return out;
}

std::optional<grant_return> parse_grant_return(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() != grant_return_parts || parts.front() != "g")
        return std::nullopt;
    number_reader in{parts, 1};
    grant_return g;
    g.team = in.number();
    g.age = in.duration() * us_per_ms;
    g.number = in.number();
    return in.valid ? std::make_optional(g) : std::nullopt;
}

std::optional<shorten_notice> parse_shorten_notice(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() < shorten_parts || parts.front() != "s" ||
        parts.size() > shorten_parts + max_shortened_attempts)
        return std::nullopt;
    number_reader in{parts, 1};
    shorten_notice s;
    s.remaining = in.duration();
    while (in.next < parts.size()) {
        const auto a = parse_attempt_id(parts[in.next++]);
        if (!a)
            return std::nullopt;
        s.attempts.push_back(*a);
    }
    return in.valid ? std::make_optional(std::move(s)) : std::nullopt;
}

std::optional<retry_loan> parse_retry_loan(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() != loan_parts || parts.front() != "r")
        return std::nullopt;
    number_reader in{parts, 1};
    retry_loan l;
    l.service = static_cast<service_id>(in.number());
    const auto count = in.number();
    l.count = static_cast<int>(count & INT32_MAX);
    l.hedges = (count & loan_hedges_bit) != 0;
    return in.valid ? std::make_optional(l) : std::nullopt;
}

std::optional<allowance_request>
parse_allowance_request(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() != allowance_request_parts)
        return std::nullopt;
    number_reader in{parts, 1};
    allowance_request a;
    a.forwarded = parts.front() == "p";
    a.team = in.number();
    a.limit.version = in.number();
    a.limit.rate = static_cast<double>(in.number()) / limit_scale;
    a.limit.burst = static_cast<double>(in.number()) / limit_scale;
    const auto wait = in.number();
    a.max_wait = static_cast<span_us>(wait & INT64_MAX) * us_per_ms;
    a.wants_pressure = (wait & wants_pressure_bit) != 0;
    if (!in.valid || (!a.forwarded && parts.front() != "a"))
        return std::nullopt;
    return a;
}

std::optional<allowance_answer> parse_allowance_answer(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() != allowance_answer_parts &&
        parts.size() != allowance_answer_parts + 1)
        return std::nullopt;
    number_reader in{parts, 1};
    allowance_answer a;
    a.granted = parts.front() == "y";
    a.wait = in.duration() * us_per_ms;
    // A pressure that can't be read is absent; the grant holds.
    if (in.valid && in.next < parts.size())
        a.pressure = pressure_of(parse_hex(parts[in.next]).value_or(0));
    if (!in.valid || (!a.granted && parts.front() != "n"))
        return std::nullopt;
    return a;
}

std::optional<hop_request> parse_hop_request(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() < request_parts)
        return std::nullopt;
    const auto attempt = parse_attempt_id(parts.front());
    if (!attempt)
        return std::nullopt;
    number_reader in{parts, 1};
    hop_request r;
    r.attempt = *attempt;
    r.worker = static_cast<worker_id>(in.number());
    const auto bits = in.number();
    r.idempotent = (bits & idempotent_bit) != 0;
    r.may_probe = (bits & probe_bit) != 0;
    r.is_fallback = (bits & fallback_bit) != 0;
    r.entry_stopping = (bits & stopping_bit) != 0;
    r.may_move = (bits & may_move_bit) != 0;
    r.streamed = (bits & streamed_bit) != 0;
    r.limit = limit_of(bits);
    if ((bits & leaving_bit) != 0)
        r.leaving_age = age_of(bits);
    const auto rank = in.number();
    r.priority = static_cast<int>(rank & INT32_MAX);
    r.pressure = pressure_of(rank >> pressure_shift);
    r.route_class = static_cast<std::uint32_t>(in.number());
    r.centre = static_cast<std::uint32_t>(in.number());
    r.remaining = in.duration();
    r.elapsed = in.duration();
    r.target = in.duration();
    if (!r.idempotent) {
        r.boot = static_cast<boot_id>(in.number());
        r.stamp = in.duration();
    }
    if (!in.valid || in.next != parts.size())
        return std::nullopt;
    return r;
}

std::optional<hop_answer> parse_hop_answer(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() < answer_parts || parts.front().size() != 1)
        return std::nullopt;
    number_reader in{parts, 1};
    hop_answer a;
    a.outcome = static_cast<hop_outcome>(parts.front()[0]);
    a.echo = static_cast<std::uint32_t>(in.number());
    const auto bits = in.number();
    a.failed = (bits & failed_bit) != 0;
    a.reached = (bits & reached_bit) != 0;
    a.suspect = (bits & suspect_bit) != 0;
    a.takes_streams = (bits & takes_streams_bit) != 0;
    a.load = static_cast<double>(in.number()) / load_scale;
    a.baseline_work = in.duration() * us_per_ms;
    a.failure_percent = static_cast<int>(in.number() & INT32_MAX);
    a.severity = static_cast<int>(in.number() & INT32_MAX);
    a.retry_after = in.duration() * us_per_ms;
    if (in.next < parts.size())
        a.reason = parts[in.next++];
    if (a.reason == empty_reason)
        a.reason.clear();
    if (in.next < parts.size()) {
        a.boot = static_cast<boot_id>(in.number());
        a.stamp = in.duration();
    }
    const bool known = a.outcome == hop_outcome::answer ||
                       a.outcome == hop_outcome::not_run ||
                       a.outcome == hop_outcome::unknown;
    if (!known || !in.valid || in.next != parts.size())
        return std::nullopt;
    return a;
}

} // namespace jasminetray
