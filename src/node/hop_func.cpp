// Text of the hop's field; see hop_type.hpp. Numbers are hex without leading
// zeros, separated by commas, in the order of the members.
#include "node/hop_type.hpp"

#include "base/text_func.hpp"

#include <cmath>

namespace jasminetray {

namespace {

constexpr std::size_t request_parts = 9; // two more for non-idempotent work
constexpr std::size_t answer_parts = 9;  // two more with a stamp
const std::string no_reason = "-";       // splitting drops empty parts
constexpr double load_scale = 100;
constexpr double limit_scale = 1000;       // rates and bursts in thousandths
constexpr std::size_t shorten_parts = 2;   // without the attempts
constexpr std::size_t loan_parts = 3;      // of retries
constexpr std::size_t ask_parts = 6;       // of a question for leave
constexpr std::size_t allowance_parts = 2; // of its answer
constexpr std::uint64_t idempotent_bit = 1;
constexpr std::uint64_t probe_bit = 2;
constexpr std::uint64_t resort_bit = 4;
constexpr std::uint64_t leaving_bit = 8;
constexpr std::uint64_t failed_bit = 1;
constexpr std::uint64_t reached_bit = 2;
constexpr std::uint64_t suspect_bit = 4;

void add(std::string& out, std::uint64_t n)
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

void add_span(std::string& out, span_us t)
{
    add(out, static_cast<std::uint64_t>(std::max<span_us>(0, t)));
}

/// Takes numbers out of parts, one after the other.
struct part_reader
{
    const std::vector<std::string>& parts;
    std::size_t next = 0;
    bool good = true;

    std::uint64_t whole()
    {
        const auto n =
            next < parts.size() ? parse_hex(parts[next]) : std::nullopt;
        ++next;
        good = good && n;
        return n.value_or(0);
    }

    span_us span()
    {
        return static_cast<span_us>(whole() & INT64_MAX);
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
    add(out, static_cast<std::uint64_t>(r.worker));
    add(out,
        (r.idempotent ? idempotent_bit : 0) | (r.may_probe ? probe_bit : 0) |
            (r.last_resort ? resort_bit : 0) | (r.leaving ? leaving_bit : 0));
    add(out, static_cast<std::uint64_t>(r.priority));
    add(out, r.route_class);
    add(out, r.centre);
    add_span(out, r.remaining);
    add_span(out, r.elapsed);
    add_span(out, r.target);
    if (!r.idempotent) {
        add(out, static_cast<std::uint64_t>(r.boot));
        add_span(out, r.stamp);
    }
    return out;
}

std::string to_text(const hop_answer& a)
{
    std::string out(1, static_cast<char>(a.outcome));
    add(out, a.echo);
    add(out, (a.failed ? failed_bit : 0) | (a.reached ? reached_bit : 0) |
                 (a.suspect ? suspect_bit : 0));
    add(out, static_cast<std::uint64_t>(std::lround(load_scale * a.load)));
    add_span(out, a.work / us_per_ms);
    add(out, static_cast<std::uint64_t>(a.doubt));
    add(out, static_cast<std::uint64_t>(a.severity));
    add_span(out, a.retry / us_per_ms);
    out += ',' + (a.reason.empty() ? no_reason : a.reason);
    if (a.boot != boot_id{}) {
        add(out, static_cast<std::uint64_t>(a.boot));
        add_span(out, a.stamp);
    }
    return out;
}

std::string to_text(const shorten_notice& s)
{
    std::string out(1, 's');
    add_span(out, s.remaining);
    for (const auto& a : s.attempts)
        out += ',' + to_text(a);
    return out;
}

std::string to_text(const retry_loan& l)
{
    std::string out(1, 'r');
    add(out, static_cast<std::uint64_t>(l.service));
    add(out, static_cast<std::uint64_t>(std::max(0, l.count)));
    return out;
}

std::string to_text(const allowance_request& a)
{
    std::string out(1, a.forwarded ? 'p' : 'a');
    add(out, a.team);
    add(out, a.limit.version);
    add(out,
        static_cast<std::uint64_t>(std::llround(limit_scale * a.limit.rate)));
    add(out,
        static_cast<std::uint64_t>(std::llround(limit_scale * a.limit.burst)));
    add_span(out, a.patience / us_per_ms);
    return out;
}

std::string to_text(const allowance_answer& a)
{
    std::string out(1, a.granted ? 'y' : 'n');
    add_span(out, a.wait / us_per_ms);
    return out;
}

std::optional<shorten_notice> parse_shorten_notice(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() < shorten_parts || parts.front() != "s" ||
        parts.size() > shorten_parts + max_shortened_attempts)
        return std::nullopt;
    part_reader in{parts, 1};
    shorten_notice s;
    s.remaining = in.span();
    while (in.next < parts.size()) {
        const auto a = parse_attempt_id(parts[in.next++]);
        if (!a)
            return std::nullopt;
        s.attempts.push_back(*a);
    }
    return in.good ? std::make_optional(std::move(s)) : std::nullopt;
}

std::optional<retry_loan> parse_retry_loan(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() != loan_parts || parts.front() != "r")
        return std::nullopt;
    part_reader in{parts, 1};
    retry_loan l;
    l.service = static_cast<service_id>(in.whole());
    l.count = static_cast<int>(in.whole() & INT32_MAX);
    return in.good ? std::make_optional(l) : std::nullopt;
}

std::optional<allowance_request>
parse_allowance_request(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() != ask_parts)
        return std::nullopt;
    part_reader in{parts, 1};
    allowance_request a;
    a.forwarded = parts.front() == "p";
    a.team = in.whole();
    a.limit.version = in.whole();
    a.limit.rate = static_cast<double>(in.whole()) / limit_scale;
    a.limit.burst = static_cast<double>(in.whole()) / limit_scale;
    a.patience = in.span() * us_per_ms;
    if (!in.good || (!a.forwarded && parts.front() != "a"))
        return std::nullopt;
    return a;
}

std::optional<allowance_answer> parse_allowance_answer(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() != allowance_parts)
        return std::nullopt;
    part_reader in{parts, 1};
    allowance_answer a;
    a.granted = parts.front() == "y";
    a.wait = in.span() * us_per_ms;
    if (!in.good || (!a.granted && parts.front() != "n"))
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
    part_reader in{parts, 1};
    hop_request r;
    r.attempt = *attempt;
    r.worker = static_cast<worker_id>(in.whole());
    const auto bits = in.whole();
    r.idempotent = (bits & idempotent_bit) != 0;
    r.may_probe = (bits & probe_bit) != 0;
    r.last_resort = (bits & resort_bit) != 0;
    r.leaving = (bits & leaving_bit) != 0;
    r.priority = static_cast<int>(in.whole() & INT32_MAX);
    r.route_class = static_cast<std::uint32_t>(in.whole());
    r.centre = static_cast<std::uint32_t>(in.whole());
    r.remaining = in.span();
    r.elapsed = in.span();
    r.target = in.span();
    if (!r.idempotent) {
        r.boot = static_cast<boot_id>(in.whole());
        r.stamp = in.span();
    }
    if (!in.good || in.next != parts.size())
        return std::nullopt;
    return r;
}

std::optional<hop_answer> parse_hop_answer(const std::string& text)
{
    const auto parts = split(text, ',');
    if (parts.size() < answer_parts || parts.front().size() != 1)
        return std::nullopt;
    part_reader in{parts, 1};
    hop_answer a;
    a.outcome = static_cast<hop_outcome>(parts.front()[0]);
    a.echo = static_cast<std::uint32_t>(in.whole());
    const auto bits = in.whole();
    a.failed = (bits & failed_bit) != 0;
    a.reached = (bits & reached_bit) != 0;
    a.suspect = (bits & suspect_bit) != 0;
    a.load = static_cast<double>(in.whole()) / load_scale;
    a.work = in.span() * us_per_ms;
    a.doubt = static_cast<int>(in.whole() & INT32_MAX);
    a.severity = static_cast<int>(in.whole() & INT32_MAX);
    a.retry = in.span() * us_per_ms;
    if (in.next < parts.size())
        a.reason = parts[in.next++];
    if (a.reason == no_reason)
        a.reason.clear();
    if (in.next < parts.size()) {
        a.boot = static_cast<boot_id>(in.whole());
        a.stamp = in.span();
    }
    const bool known = a.outcome == hop_outcome::answer ||
                       a.outcome == hop_outcome::not_run ||
                       a.outcome == hop_outcome::unknown;
    if (!known || !in.good || in.next != parts.size())
        return std::nullopt;
    return a;
}

} // namespace jasminetray
