// Pushes and comparisons; see quarantine_spread.hpp.
#include "quarantine/quarantine_spread.hpp"

#include "quarantine/quarantine_query.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Datagrams that answer one digest. What does not fit comes with the next
/// comparison; the marks are told from a random one on.
constexpr std::size_t max_answers = 4;

std::vector<quarantine_message>
pack_reports(const quarantine_policy& p,
             const std::vector<crash_report>& reports)
{
    std::vector<quarantine_message> messages;
    for (const auto& r : reports) {
        if (messages.empty() || messages.back().reports.size() >= p.max_reports)
            messages.emplace_back();
        messages.back().reports.push_back(r);
    }
    return messages;
}

std::vector<crash_report> pending_reports(quarantine_book& b, mono_us now)
{
    std::vector<crash_report> reports;
    for (auto& p : b.pending) {
        --p.rounds;
        for (const auto& r : reports_of(b, p.request, now)) {
            if (r.process == p.process)
                reports.push_back(r);
        }
    }
    const auto is_done = [](const auto& p) { return p.rounds <= 0; };
    b.pending.erase(std::remove_if(b.pending.begin(), b.pending.end(), is_done),
                    b.pending.end());
    return reports;
}

/// Marks of the buckets that differ; confirmed requests come first.
std::vector<crash_report>
differing_reports(const quarantine_book& b,
                  const std::vector<std::uint64_t>& theirs, random_state& rng,
                  mono_us now)
{
    std::vector<crash_report> confirmed;
    std::vector<crash_report> others;
    for (const auto& [request, marks] : b.suspects) {
        const auto n = bucket_of(request);
        if (theirs[n] == b.digest[n])
            continue;
        auto& to = is_quarantined(b, request) ? confirmed : others;
        for (const auto& r : reports_of(b, request, now))
            to.push_back(r);
    }
    if (!others.empty()) {
        const auto first = random_below(rng, others.size());
        std::rotate(others.begin(),
                    others.begin() + static_cast<std::ptrdiff_t>(first),
                    others.end());
    }
    confirmed.insert(confirmed.end(), others.begin(), others.end());
    return confirmed;
}

} // namespace

quarantine_due quarantine_tick(quarantine_book& b, mono_us now)
{
    quarantine_due due;
    if (b.young_until == 0)
        b.young_until = now + b.policy.young;
    if (!b.pending.empty() && now >= b.push_at) {
        b.push_at = now + b.policy.push_every;
        due.push = pack_reports(b.policy, pending_reports(b, now));
    }
    // Who knows nothing has nothing to compare, but for a process that may
    // have known something before it started anew.
    const bool young = now < b.young_until;
    if ((young || !b.suspects.empty()) && now >= b.compare_at) {
        b.compare_at = now + (young ? b.policy.young_compare_every
                                    : b.policy.compare_every);
        due.compare = true;
    }
    return due;
}

quarantine_message quarantine_compare(const quarantine_book& b)
{
    quarantine_message m;
    m.digest.assign(b.digest.begin(), b.digest.end());
    return m;
}

std::vector<quarantine_message>
quarantine_announce(const quarantine_book& b,
                    const std::vector<fingerprint>& requests, mono_us now)
{
    std::vector<crash_report> reports;
    for (const auto f : requests) {
        const auto of_request = reports_of(b, f, now);
        reports.insert(reports.end(), of_request.begin(), of_request.end());
    }
    return pack_reports(b.policy, reports);
}

std::vector<quarantine_message> quarantine_reply(const quarantine_book& b,
                                                 const quarantine_message& m,
                                                 random_state& rng, mono_us now)
{
    if (m.digest.size() != quarantine_buckets ||
        std::equal(m.digest.begin(), m.digest.end(), b.digest.begin()))
        return {};
    auto messages =
        pack_reports(b.policy, differing_reports(b, m.digest, rng, now));
    if (messages.size() > max_answers)
        messages.resize(max_answers);
    if (m.reply)
        return messages;
    if (messages.empty())
        messages.emplace_back();
    messages.front().digest.assign(b.digest.begin(), b.digest.end());
    messages.front().reply = true;
    return messages;
}

} // namespace jasminetray
