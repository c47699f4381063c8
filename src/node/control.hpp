// CAF actors that keep membership and the configuration. They exchange messages
// with the request thread, and neither side waits for the other.
#pragma once

#include "config/config_document.hpp"
#include "config/config_type.hpp"
#include "config/node_settings.hpp"
#include "event/event_log.hpp"
#include "member/member_type.hpp"
#include "node/config_cache.hpp"
#include "store/store_type.hpp"
#include "wire/wire_func.hpp"

#include <functional>
#include <memory>

namespace jasminetray {

/// A change of another node, for the request thread.
struct member_update
{
    node_record record;
    liveness state = liveness::alive;
    bool removed = false;
};

/// Callbacks of the actors, which call them from any thread.
struct control_callbacks
{
    std::function<void(std::string bytes, std::uint32_t ip, std::uint16_t port)>
        send_datagram;
    std::function<void(std::vector<member_update>)> members_changed;
    std::function<void(std::shared_ptr<const fleet_config>)> config_ready;
    std::function<void(const freshness_proof&, const store_clock&)>
        proof_updated;
    std::function<void(bool reachable)> store_state_changed;
    std::function<void(std::uint32_t ip, std::uint16_t port, baseline_query,
                       bool answer)>
        baseline_received;
    std::function<void(std::vector<load_report>)> loads_received;
    /// Only the gossip address of `from` is set.
    std::function<void(const node_address& from, quarantine_message)>
        quarantine_received;
    std::function<void(wire_error, std::size_t bytes)> datagram_received;
};

struct control_options
{
    node_settings settings;
    node_record self;
    std::vector<node_address> seeds;
    cluster_keys keys;
    store_api store;
    bool has_store = false;
    /// Source of a hosted node's configuration. Without a parser the node reads
    /// the project's own configuration files.
    document_source documents;
    std::uint64_t seed = 1;
};

/// Owns the running actors and stops them when destroyed.
class control
{
public:
    control(control_options options, control_callbacks callbacks,
            event_log& events, config_cache& cache);
    ~control();
    control(const control&) = delete;
    control& operator=(const control&) = delete;

    void handle_datagram(std::string bytes, std::uint32_t ip,
                         std::uint16_t port);

    void update_self(node_record r);

    /// Sends each message to every node in `to`.
    void send_quarantine_messages(std::vector<node_address> to,
                                  std::vector<quarantine_message> messages);

    /// Sends load reports to the nodes of the own data centre.
    void send_load_reports(std::vector<load_report> loads);

    /// Removes the node's row from the store, when the node stops.
    void leave();

    /// Sends a baseline query, or a response to one.
    void send_baseline_message(std::uint32_t ip, std::uint16_t port,
                               baseline_query q, bool answer);

private:
    struct actor_set;
    std::unique_ptr<actor_set> actors_;
};

} // namespace jasminetray
