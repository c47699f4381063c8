// Shortening requests at a stop; see entry_stop.hpp.
#include "node/entry_stop.hpp"

#include "attempt/attempt_func.hpp"
#include "base/text_func.hpp"
#include "node/entry_run.hpp"
#include "node/http_func.hpp"

#include <map>

namespace jasminetray {

namespace {

/// For an exit node to take the notice. One that is slower is as good as lost:
/// the work ends with its entry node's connection then.
constexpr span_us notice_bound = 500 * us_per_ms;

/// Open attempts at one exit node.
struct exit_share
{
    node_address address;
    std::vector<attempt_id> attempts;
    std::vector<std::string> labels; ///< of their requests, in the same order
};

bool exchange(http_link& link, const shorten_notice& s, const yield& y)
{
    http::request<http::empty_body> q(http::verb::get, shorten_path, 11);
    q.set(hop_name, to_text(s));
    q.keep_alive(true);
    link.stream.expires_after(std::chrono::microseconds(notice_bound));
    beast::error_code ec;
    http::async_write(link.stream, q, y[ec]);
    string_response m;
    if (!ec)
        http::async_read(link.stream, link.buf, m, y[ec]);
    return !ec;
}

/// Tells one exit node. A kept connection may have been forgotten meanwhile, so
/// a new one follows it.
bool tell_exit(node_state& n, node_id exit, const exit_share& share,
               const yield& y)
{
    shorten_notice s;
    s.attempts = share.attempts;
    const auto deadline = mono_now() + notice_bound;
    auto link = take_idle(n.exits[exit], mono_now() - keep_exit_idle);
    s.remaining = n.last_answer_at - mono_now();
    bool told = link && exchange(*link, s, y);
    if (!told) {
        link = connect_exit(n, share.address, deadline, y);
        s.remaining = n.last_answer_at - mono_now();
        told = link && exchange(*link, s, y);
    }
    if (told)
        give_back(n.exits[exit], std::move(link), max_exit_idle, mono_now());
    return told;
}

void start_telling(node_state& n, node_id exit, exit_share share)
{
    asio::spawn(
        n.ctx,
        [&n, exit, share = std::move(share)](const yield& y) {
            const bool told = tell_exit(n, exit, share, y);
            for (const auto& label : share.labels)
                n.events.write(
                    event_id::request_shortened, label,
                    "exit=" + to_hex(static_cast<std::uint64_t>(exit)) +
                        " told=" + (told ? "1" : "0") + " left_ms=" +
                        std::to_string((n.last_answer_at - mono_now()) /
                                       us_per_ms));
        },
        asio::detached);
}

/// Time that work of a request takes. The backend server's usual time counts
/// all its work, short lookups too; so it is no less than what the route's
/// patience with silence lets expect.
span_us usual_of(const entry_run& r)
{
    constexpr span_us silence_per_usual = 2;
    const auto expected = r.machine.policy.silence / silence_per_usual;
    const auto* c = r.tries.empty() ? nullptr
                                    : view_candidate(r.n.view, r.service_key,
                                                     r.tries.back().worker);
    return c == nullptr ? expected : std::max(expected, c->work_us);
}

/// Adds a request's open attempts to the exit nodes that have them.
void add_attempts(const entry_run& r, std::map<node_id, exit_share>& shares)
{
    for (std::uint32_t k = 0; k < r.tries.size(); ++k) {
        const auto& t = r.tries[k];
        const bool open = k < r.machine.tracks.size() && !t.cancelled &&
                          r.machine.tracks[k].phase == attempt_phase::open;
        if (!open)
            continue;
        auto& share = shares[t.exit];
        share.address = t.address;
        share.attempts.push_back({r.id, k + 1});
        share.labels.push_back(r.label);
    }
}

} // namespace

void shorten_requests(node_state& n)
{
    const auto now = mono_now();
    std::map<node_id, exit_share> shares;
    for (auto* r : n.open_runs) {
        add_attempts(*r, shares);
        attempt_shorten(r->machine, n.last_answer_at, usual_of(*r), now);
        r->tell({attempt_event_kind::timer, 0, ""});
    }
    for (auto& [exit, share] : shares) {
        // In parts that one head can hold.
        while (share.attempts.size() > max_shortened) {
            const auto from = static_cast<std::ptrdiff_t>(
                share.attempts.size() - max_shortened);
            exit_share part{
                share.address,
                {share.attempts.begin() + from, share.attempts.end()},
                {share.labels.begin() + from, share.labels.end()}};
            share.attempts.resize(static_cast<std::size_t>(from));
            share.labels.resize(static_cast<std::size_t>(from));
            start_telling(n, exit, std::move(part));
        }
        start_telling(n, exit, std::move(share));
    }
}

} // namespace jasminetray
