// Simulated network and exit nodes for one entry node. The network delays,
// loses, repeats and reorders packets, and exit nodes pause and restart. The
// gate and the attempt state machine are the production code.
#pragma once

#include "attempt/attempt_func.hpp"
#include "gate/gate_cmd.hpp"

#include <map>
#include <string>
#include <vector>

namespace jasminetray {

constexpr std::size_t fake_exits = 2;

struct path_safeguards
{
    gate_safeguards gate;
    attempt_safeguards attempt;
    bool check_echo = true;
};

enum class packet_kind
{
    work,         ///< an attempt sent to an exit node
    reply,        ///< the exit node's reply to it
    revoke,       ///< a revocation over a new connection
    revoke_reply, ///< the reply to it
};

struct packet
{
    packet_kind kind{};
    attempt_id attempt;
    std::size_t exit = 0;
    boot_id boot{};  ///< incarnation at the end of the connection
    boot_id named{}; ///< incarnation that the sender addresses
    mono_us stamp = 0;
    attempt_event_kind event{}; ///< of a reply
    std::uint64_t payload = 0;  ///< of a reply: seq of the answered request
    revoke_reply answer{};
};

struct fake_work
{
    gate_request request;
    std::size_t exit = 0;
    boot_id boot{};       ///< incarnation that started it
    bool reached = false; ///< received by the backend server, so it runs
};

struct fake_exit
{
    gate exit_gate;
    mono_us clock_offset = 0; ///< of its clock to simulated time
    mono_us stamp_offset = 0; ///< clock_offset at the newest stamp
    bool paused = false;
    bool mute = false;        ///< drops everything that it sends
    bool quarantines = false; ///< knows all requests as quarantined
};

struct fake_request
{
    request_state machine;
    bool idempotent = false;
    int runs = 0; ///< times that it ran at a backend server
    bool completed = false;
    std::uint64_t payload = 0;                    ///< of the delivered response
    std::map<std::uint32_t, std::size_t> exit_of; ///< by attempt
    std::map<std::uint32_t, boot_id> boot_of;     ///< by attempt
};

/// The simulation. Indexes are taken modulo the number of elements.
struct fake_path
{
    explicit fake_path(const path_safeguards& safeguards);

    void begin(bool idempotent, span_us deadline);
    /// Delivers a packet; with `again`, keeps a copy in transit.
    void deliver(std::size_t n, bool again);
    /// Loses a packet; `noticed` by the entry node or not.
    void lose(std::size_t n, bool noticed);
    /// Swaps the payloads of two replies.
    void swap_payloads(std::size_t n, std::size_t m);
    void reach(std::size_t n);
    void end(std::size_t n, work_result how);
    /// Advances the time and fires timers.
    void advance(span_us by);
    /// Restarts an exit node; `noticed` by the entry node or not.
    void restart(std::size_t exit, bool noticed);
    void pause(std::size_t exit, bool paused);
    void mute(std::size_t exit, bool mute);
    void drain(std::size_t exit);
    void quarantine(std::size_t exit, bool knows);

    /// Returns the first violated property, or an empty string.
    std::string violated_property() const;

    path_safeguards on;
    mono_us now = 1000000;
    std::uint64_t boots = 1;
    std::vector<fake_exit> exits;
    std::map<std::uint64_t, fake_request> requests; ///< by seq
    std::vector<packet> packets;
    std::vector<fake_work> work;
    retry_budget budget;
    std::map<std::size_t, std::pair<boot_id, mono_us>> stamps; ///< by exit

private:
    void feed(std::uint64_t seq, const attempt_event& e);
    void execute(std::uint64_t seq, const attempt_action& a);
    void send(std::uint64_t seq, std::uint32_t count);
    void arrive(const packet& p);
    void take_work(const packet& p);
    void reply(std::size_t exit, const attempt_id& a, boot_id boot,
               attempt_event_kind event);
    void start(std::size_t exit, const gate_request& r);
    void advance_gates();
    void notify(const attempt_id& a, attempt_event_kind kind);
    mono_us clock_of(std::size_t exit) const;
};

} // namespace jasminetray
