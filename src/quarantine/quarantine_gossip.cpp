// Gossip of crash marks.
#include "quarantine/quarantine_gossip.hpp"

#include "quarantine/quarantine_query.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Maximum number of replies to one digest. They start at a random mark, so
/// that later comparisons cover the rest.
constexpr std::size_t max_reply_messages = 4;

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

/// Returns the marks in differing buckets, those of quarantined requests first.
std::vector<crash_report>
differing_reports(const quarantine_book& b,
                  const std::vector<std::uint64_t>& remote_digest,
                  random_state& rng, mono_us now)
{
    std::vector<crash_report> confirmed;
    std::vector<crash_report> others;
    for (const auto& [request, marks] : b.marks_by_request) {
        const auto n = bucket_of(request);
        if (remote_digest[n] == b.digest[n])
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
    if (b.startup_until == 0)
        b.startup_until = now + b.policy.startup_period;
    if (!b.pending.empty() && now >= b.push_at) {
        b.push_at = now + b.policy.push_every;
        due.push = pack_reports(b.policy, pending_reports(b, now));
    }
    // A node without marks compares only after its start: it may have lost them
    // in a restart.
    const bool starting_up = now < b.startup_until;
    if ((starting_up || !b.marks_by_request.empty()) && now >= b.compare_at) {
        b.compare_at = now + (starting_up ? b.policy.startup_compare_every
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
    if (messages.size() > max_reply_messages)
        messages.resize(max_reply_messages);
    if (m.reply)
        return messages;
    if (messages.empty())
        messages.emplace_back();
    messages.front().digest.assign(b.digest.begin(), b.digest.end());
    messages.front().reply = true;
    return messages;
}

} // namespace jasminetray
