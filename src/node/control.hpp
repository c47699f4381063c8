// The slow state of a node, owned by CAF actors: one keeps membership, one
// the configuration. They hear from the request thread by messages and post
// their news to it; neither side ever waits for the other.
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

/// One node's news for the request thread.
struct member_update
{
    node_record record;
    liveness state = liveness::alive;
    bool removed = false;
};

/// What the actors call. All may be called from any thread.
struct control_sinks
{
    std::function<void(std::string bytes, std::uint32_t ip, std::uint16_t port)>
        send_datagram;
    std::function<void(std::vector<member_update>)> members_changed;
    std::function<void(std::shared_ptr<const fleet_config>)> config_ready;
    std::function<void(const freshness_proof&, const store_clock&)> proof_heard;
    std::function<void(bool reachable)> store_state;
    std::function<void(std::uint32_t ip, std::uint16_t port, baseline_query,
                       bool answer)>
        usual;
    std::function<void(std::vector<load_report>)> loads;
    /// From another node, which `from` names by its gossip address alone.
    std::function<void(const node_address& from, quarantine_message)> crashes;
    std::function<void(wire_error, std::size_t bytes)> datagram_counted;
};

/// Everything that the actors start from.
struct control_start
{
    node_settings settings;
    node_record self;
    std::vector<node_address> seeds;
    cluster_keys keys;
    store_api store;
    bool has_store = false;
    /// Where a hosted node's configuration stands; the product's own files
    /// are read when it has no parser.
    document_source documents;
    std::uint64_t seed = 1; ///< of the actors' random numbers
};

/// The running actors. Stops them when destroyed.
class control
{
public:
    control(control_start start, control_sinks sinks, event_log& events,
            config_cache& cache);
    ~control();
    control(const control&) = delete;
    control& operator=(const control&) = delete;

    /// A datagram came in.
    void take_datagram(std::string bytes, std::uint32_t ip, std::uint16_t port);

    /// The node's own record changed.
    void update_self(node_record r);

    /// Sends each message to each of some nodes.
    void send_quarantine_messages(std::vector<node_address> to,
                                  std::vector<quarantine_message> messages);

    /// Tells the nodes of the own data centre how its backend servers stand.
    void send_load_reports(std::vector<load_report> loads);

    /// The node stops: takes its row out of the store.
    void leave();

    /// Sends a question about a service, or an answer to one.
    void send_baseline_message(std::uint32_t ip, std::uint16_t port,
                               baseline_query q, bool answer);

private:
    struct running;
    std::unique_ptr<running> running_;
};

} // namespace jasminetray
