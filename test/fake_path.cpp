// Simulated network and exit nodes.
#include "fake_path.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

constexpr worker_id only_worker{7};
constexpr span_us fresh_stamp = 300 * us_per_ms; ///< older ones need a ping

gate_limits fake_limits()
{
    gate_limits l;
    l.stamp_bound = us_per_s;
    l.longest_deadline = 2 * us_per_s;
    l.records = 256;
    l.queue = 2;
    return l;
}

void set_up(fake_exit& x, boot_id boot)
{
    x.exit_gate = gate{};
    x.exit_gate.boot = boot;
    x.exit_gate.limits = fake_limits();
    gate_set_worker(x.exit_gate, only_worker, 2, 0);
}

attempt_event_kind reply_to_refused(gate_error refused)
{
    return refused == gate_error::duplicate ? attempt_event_kind::unknown
           : refused == gate_error::quarantined
               ? attempt_event_kind::quarantined
               : attempt_event_kind::not_run;
}

} // namespace

fake_path::fake_path(const path_safeguards& safeguards) : on(safeguards)
{
    exits.resize(fake_exits);
    for (std::size_t n = 0; n < exits.size(); ++n) {
        exits[n].clock_offset = static_cast<mono_us>(n) * 77 * us_per_s;
        set_up(exits[n], static_cast<boot_id>(boots++));
    }
}

mono_us fake_path::clock_of(std::size_t exit) const
{
    return now + exits[exit].clock_offset;
}

void fake_path::begin(bool idempotent, span_us deadline)
{
    const auto seq = requests.size() + 1;
    attempt_policy p;
    p.idempotent = idempotent;
    auto& r = requests[seq];
    r.machine = make_request(p, now + deadline);
    r.idempotent = idempotent;
    budget.share = 1;
    count_request(budget, now);
    feed(seq, {attempt_event_kind::begin, 0, ""});
}

void fake_path::feed(std::uint64_t seq, const attempt_event& e)
{
    auto& r = requests[seq];
    const auto actions = attempt_step(r.machine, e, budget, now, on.attempt);
    for (const auto& a : actions)
        execute(seq, a);
}

void fake_path::execute(std::uint64_t seq, const attempt_action& a)
{
    auto& r = requests[seq];
    const attempt_id id{{node_id{1}, seq}, a.count};
    switch (a.kind) {
    case attempt_action_kind::send:
    case attempt_action_kind::send_fresh:
    case attempt_action_kind::send_fallback:
        return send(seq, a.count);
    case attempt_action_kind::revoke: {
        packet p;
        p.kind = packet_kind::revoke;
        p.attempt = id;
        p.exit = r.exit_of[a.count];
        p.boot = exits[p.exit].exit_gate.boot; // over a new connection
        p.named = r.boot_of[a.count];
        packets.push_back(p);
        return;
    }
    case attempt_action_kind::deliver:
    case attempt_action_kind::refuse:
        r.completed = true;
        return;
    case attempt_action_kind::cancel:
        return; // sent bytes may still arrive
    }
}

void fake_path::send(std::uint64_t seq, std::uint32_t count)
{
    auto& r = requests[seq];
    const auto exit = (seq + count) % fake_exits;
    r.exit_of[count] = exit;
    const auto boot = exits[exit].exit_gate.boot;
    auto& stamp = stamps[exit];
    const bool known = stamp.first != boot_id{};
    const auto age = now - stamp.second + exits[exit].stamp_offset;
    if (!known || age > fresh_stamp) {
        // The entry node pings for the incarnation and its stamp; if that
        // fails, nothing is sent.
        if (exits[exit].paused || exits[exit].mute) {
            r.boot_of[count] = boot;
            return feed(seq, {attempt_event_kind::unsent, count, "ping"});
        }
        stamp = {boot, clock_of(exit)};
        exits[exit].stamp_offset = exits[exit].clock_offset;
    }
    r.boot_of[count] = stamp.first;
    packet p;
    p.kind = packet_kind::work;
    p.attempt = {{node_id{1}, seq}, count};
    p.exit = exit;
    p.boot = boot;
    p.named = stamp.first;
    p.stamp = stamp.second;
    packets.push_back(p);
}

void fake_path::deliver(std::size_t n, bool again)
{
    if (packets.empty())
        return;
    n %= packets.size();
    const auto p = packets[n];
    // Connections don't repeat bytes, but the gate must not rely on that for
    // non-idempotent work.
    if (!again || requests[p.attempt.request.seq].idempotent)
        packets.erase(packets.begin() + static_cast<std::ptrdiff_t>(n));
    arrive(p);
}

void fake_path::arrive(const packet& p)
{
    auto& x = exits[p.exit];
    const bool to_exit =
        p.kind == packet_kind::work || p.kind == packet_kind::revoke;
    if (to_exit && x.paused) {
        packets.push_back(p); // stays in the socket of the paused process
        return;
    }
    switch (p.kind) {
    case packet_kind::work:
        return take_work(p);
    case packet_kind::revoke: {
        packet back = p;
        back.kind = packet_kind::revoke_reply;
        back.answer = gate_revoke(x.exit_gate, p.attempt, p.named,
                                  clock_of(p.exit), on.gate);
        if (!x.mute)
            packets.push_back(back);
        return;
    }
    case packet_kind::reply: {
        const auto seq = p.attempt.request.seq;
        if (on.check_echo && p.payload != seq)
            return notify(p.attempt, attempt_event_kind::lost);
        if (p.event == attempt_event_kind::answer &&
            requests[seq].machine.outcome == final_outcome::open)
            requests[seq].payload = p.payload;
        return notify(p.attempt, p.event);
    }
    case packet_kind::revoke_reply:
        switch (p.answer) {
        case revoke_reply::not_run:
            return notify(p.attempt, attempt_event_kind::revoke_not_run);
        case revoke_reply::started:
        case revoke_reply::finished:
            return notify(p.attempt, attempt_event_kind::revoke_open);
        case revoke_reply::ended:
        case revoke_reply::wrong_boot:
            return notify(p.attempt, attempt_event_kind::revoke_unknown);
        }
    }
}

void fake_path::notify(const attempt_id& a, attempt_event_kind kind)
{
    feed(a.request.seq, {kind, a.count, ""});
}

void fake_path::reply(std::size_t exit, const attempt_id& a, boot_id boot,
                      attempt_event_kind event)
{
    if (exits[exit].mute)
        return;
    packet p;
    p.kind = packet_kind::reply;
    p.attempt = a;
    p.exit = exit;
    p.boot = boot;
    p.event = event;
    p.payload = a.request.seq;
    packets.push_back(p);
}

void fake_path::take_work(const packet& p)
{
    auto& x = exits[p.exit];
    gate_request r;
    r.attempt = p.attempt;
    r.boot = p.named;
    r.stamp = p.stamp;
    r.idempotent = requests[p.attempt.request.seq].idempotent;
    r.worker = only_worker;
    r.deadline = clock_of(p.exit) + us_per_s;
    const auto at = clock_of(p.exit);
    gate_error refused{};
    if (x.quarantines) {
        refused = gate_refuse_quarantined(x.exit_gate, r, at, on.gate);
    } else {
        const auto a = gate_admit(command_mode::apply, x.exit_gate, r, at,
                                  refused, on.gate);
        if (a && *a == admission::started)
            start(p.exit, r);
    }
    if (refused != gate_error::none)
        reply(p.exit, p.attempt, x.exit_gate.boot, reply_to_refused(refused));
}

void fake_path::start(std::size_t exit, const gate_request& r)
{
    work.push_back({r, exit, exits[exit].exit_gate.boot, false});
}

void fake_path::reach(std::size_t n)
{
    if (work.empty())
        return;
    auto& w = work[n % work.size()];
    if (!w.reached && w.boot == exits[w.exit].exit_gate.boot)
        ++requests[w.request.attempt.request.seq].runs;
    w.reached = w.reached || w.boot == exits[w.exit].exit_gate.boot;
}

void fake_path::end(std::size_t n, work_result how)
{
    if (work.empty())
        return;
    n %= work.size();
    auto w = work[n];
    if (exits[w.exit].paused)
        return;
    if (how == work_result::answered && !w.reached)
        reach(n);
    w = work[n];
    const bool possible = how == work_result::answered ? w.reached
                          : how == work_result::lost   ? true
                                                       : !w.reached;
    if (!possible)
        return;
    work.erase(work.begin() + static_cast<std::ptrdiff_t>(n));
    if (w.boot != exits[w.exit].exit_gate.boot)
        return; // its exit process has been replaced
    gate_finish(exits[w.exit].exit_gate, w.request, how, us_per_ms,
                clock_of(w.exit));
    const auto event = how == work_result::answered ? attempt_event_kind::answer
                       : how == work_result::lost ? attempt_event_kind::unknown
                                                  : attempt_event_kind::not_run;
    reply(w.exit, w.request.attempt, w.boot, event);
    advance_gates();
}

void fake_path::advance_gates()
{
    for (std::size_t n = 0; n < exits.size(); ++n) {
        auto& x = exits[n];
        if (x.paused)
            continue;
        gate_expire_records(x.exit_gate, clock_of(n));
        for (const auto& d :
             gate_advance(x.exit_gate, only_worker, clock_of(n))) {
            gate_request r;
            r.attempt = d.attempt;
            r.boot = x.exit_gate.boot;
            r.worker = only_worker;
            r.idempotent = requests[d.attempt.request.seq].idempotent;
            if (d.start && !x.quarantines) {
                start(n, r);
                continue;
            }
            if (d.start)
                gate_finish(x.exit_gate, r, work_result::unsent, 0,
                            clock_of(n));
            reply(n, d.attempt, x.exit_gate.boot,
                  reply_to_refused(d.start ? gate_error::quarantined
                                           : d.refusal));
        }
    }
}

void fake_path::lose(std::size_t n, bool noticed)
{
    if (packets.empty())
        return;
    n %= packets.size();
    const auto p = packets[n];
    const bool question =
        p.kind == packet_kind::revoke || p.kind == packet_kind::revoke_reply;
    packets.erase(packets.begin() + static_cast<std::ptrdiff_t>(n));
    if (noticed)
        notify(p.attempt, question ? attempt_event_kind::revoke_unknown
                                   : attempt_event_kind::lost);
}

void fake_path::swap_payloads(std::size_t n, std::size_t m)
{
    if (packets.empty())
        return;
    auto& a = packets[n % packets.size()];
    auto& b = packets[m % packets.size()];
    if (a.kind == packet_kind::reply && b.kind == packet_kind::reply)
        std::swap(a.payload, b.payload);
}

void fake_path::advance(span_us by)
{
    const auto until = now + by;
    while (true) {
        auto next = until;
        std::uint64_t who = 0;
        for (const auto& [seq, r] : requests) {
            if (r.machine.wake_at < next) {
                next = r.machine.wake_at;
                who = seq;
            }
        }
        now = std::max(now, next);
        if (who == 0)
            break;
        feed(who, {attempt_event_kind::timer, 0, ""});
    }
    advance_gates();
}

void fake_path::restart(std::size_t exit, bool noticed)
{
    auto& x = exits[exit % fake_exits];
    exit %= fake_exits;
    set_up(x, static_cast<boot_id>(boots++));
    x.paused = false;
    // The new process has another VM's clock, far behind the former one.
    x.clock_offset -= 3 * us_per_s;
    // Bytes on connections to the previous incarnation are lost; the entry node
    // notices, or keeps waiting.
    std::vector<packet> broken;
    for (const auto& p : packets) {
        if (p.exit == exit && p.kind == packet_kind::work && noticed)
            broken.push_back(p);
    }
    packets.erase(std::remove_if(packets.begin(), packets.end(),
                                 [&](const packet& p) {
                                     return p.exit == exit &&
                                            p.kind == packet_kind::work;
                                 }),
                  packets.end());
    for (const auto& p : broken)
        notify(p.attempt, attempt_event_kind::lost);
}

void fake_path::pause(std::size_t exit, bool paused)
{
    exits[exit % fake_exits].paused = paused;
}

void fake_path::mute(std::size_t exit, bool mute)
{
    exits[exit % fake_exits].mute = mute;
}

void fake_path::drain(std::size_t exit)
{
    auto& x = exits[exit % fake_exits];
    x.exit_gate.draining = !x.exit_gate.draining;
}

void fake_path::quarantine(std::size_t exit, bool knows)
{
    exits[exit % fake_exits].quarantines = knows;
}

std::string fake_path::violated_property() const
{
    for (const auto& [seq, r] : requests) {
        if (!r.idempotent && r.runs > 1)
            return "ran twice";
        if (r.machine.outcome == final_outcome::not_run && r.runs > 0)
            return "said not-run, but it ran";
        if (r.machine.outcome == final_outcome::answer && r.payload != seq)
            return "another request's answer";
        if (r.machine.outcome == final_outcome::open &&
            now > r.machine.deadline)
            return "no final answer at its deadline";
    }
    for (const auto& x : exits) {
        if (x.exit_gate.records.size() > x.exit_gate.limits.records)
            return "more records than allowed";
        for (const auto& [id, w] : x.exit_gate.workers) {
            if (w.in_flight > static_cast<int>(w.slots) ||
                w.queue.size() > x.exit_gate.limits.queue)
                return "more work than slots";
        }
    }
    return "";
}

} // namespace jasminetray
