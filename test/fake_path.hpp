// A fake of everything between one entry node and two exit nodes: a network
// that delays, loses, repeats and reorders, exit nodes that pause and
// restart, backend servers that end their work as the test says. The gate
// and the attempt machine inside are the real ones.
#pragma once

#include "attempt/attempt_func.hpp"
#include "gate/gate_cmd.hpp"

#include <map>
#include <string>
#include <vector>

namespace jasminetray {

constexpr std::size_t fake_exits = 2;

/// Safeguards of the run; names are those of the table in docs.
struct path_safeguards
{
    gate_safeguards gate;
    attempt_safeguards attempt;
    bool check_echo = true;
};

enum class packet_kind
{
    work,         ///< an attempt on its way to an exit node
    reply,        ///< the exit node's answer to it
    revoke,       ///< a question on a new connection
    revoke_reply, ///< its answer
};

/// Something on its way.
struct packet
{
    packet_kind kind{};
    attempt_id attempt;
    std::size_t exit = 0;
    boot_id boot{};  ///< process that the connection leads to
    boot_id named{}; ///< process that the sender means
    mono_us stamp = 0;
    attempt_event_kind event{}; ///< reply: what it says
    std::uint64_t payload = 0;  ///< reply: whose answer it is
    revoke_reply answer{};
};

/// Work at a backend server.
struct fake_work
{
    gate_request request;
    std::size_t exit = 0;
    boot_id boot{};       ///< process that started it
    bool reached = false; ///< the backend server has it: it runs
};

/// An exit node with its gate.
struct fake_exit
{
    gate door;
    mono_us clock_ahead = 0; ///< its clock against the world's
    mono_us stamp_ahead = 0; ///< clock_ahead of the newest stamp's clock
    bool paused = false;
    bool mute = false; ///< nothing that it sends arrives
};

/// One caller's request and what it was told.
struct fake_request
{
    request_state machine;
    bool idempotent = false;
    int runs = 0; ///< the oracle's own count
    bool told = false;
    std::uint64_t payload = 0; ///< of the answer that was delivered
    std::map<std::uint32_t, std::size_t> exit_of; ///< by attempt
    std::map<std::uint32_t, boot_id> boot_of;     ///< by attempt
};

/// The world of the test.
struct fake_path
{
    explicit fake_path(const path_safeguards& safeguards);

    /// A caller's request arrives.
    void begin(bool idempotent, span_us deadline);
    /// A packet arrives, or arrives and stays to arrive again.
    void deliver(std::size_t n, bool again);
    /// A packet is lost; the entry node notices or does not.
    void lose(std::size_t n, bool noticed);
    /// Two answers change places.
    void cross(std::size_t n, std::size_t m);
    /// Work reaches its backend server.
    void reach(std::size_t n);
    /// Work ends.
    void end(std::size_t n, work_result how);
    /// Time passes.
    void advance(span_us by);
    /// An exit node's process is replaced; connections may stay silent.
    void restart(std::size_t exit, bool noticed);
    void pause(std::size_t exit, bool paused);
    void mute(std::size_t exit, bool mute);
    void drain(std::size_t exit);

    /// First property that does not hold, or empty.
    std::string broken() const;

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
    void carry_out(std::uint64_t seq, const attempt_action& a);
    void send(std::uint64_t seq, std::uint32_t count);
    void arrive(const packet& p);
    void take_work(const packet& p);
    void reply(std::size_t exit, const attempt_id& a, boot_id boot,
               attempt_event_kind event);
    void start(std::size_t exit, const gate_request& r);
    void advance_gates();
    void tell(const attempt_id& a, attempt_event_kind kind);
    mono_us clock_of(std::size_t exit) const;
};

} // namespace jasminetray
