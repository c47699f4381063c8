// Messages of the control actors: plain structs that CAF moves within the
// process without serializing them.
#pragma once

#include "member/member_query.hpp"
#include "node/control.hpp"

#include <atomic>
#include <caf/all.hpp>

namespace jasminetray {

struct datagram_message
{
    std::string bytes;
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
};

struct self_record_message
{
    node_record record;
};

struct baseline_message
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    baseline_query question;
    bool answer = false;
};

struct version_message
{
    std::uint64_t version = 0;
    std::uint64_t manifest = 0;
    std::uint64_t era = 0; ///< of the store; precedes the version in order
};

/// Peers from which the configuration actor fetches.
struct config_peers_message
{
    bool reads_head = false; ///< this node polls the head row
    fetch_sources sources;
};

struct loads_message
{
    std::vector<load_report> loads;
};

struct quarantine_messages
{
    std::vector<node_address> to;
    std::vector<quarantine_message> messages; ///< each goes to every node
};

struct contacts_message
{
    std::vector<contact> nodes;
};

/// The store's clock as read in one of its responses.
struct store_time_message
{
    store_us store_time = 0;
    /// Start of the call, by the clock that includes suspension.
    mono_us sent = 0;
};

/// All changes in the store up to a time were sent in earlier messages, since
/// the whole table was read in that era of the store.
struct read_until_message
{
    store_us at = 0;
    std::uint64_t era = 0;
};

/// The store came back from an older copy of itself.
struct store_restored_message
{
    std::string detail;
};

/// Another document of the newest version exists.
struct config_conflict_message
{
};

/// A new era of the store began; the feed reads the whole table again.
struct era_message
{
    std::uint64_t era = 0;
};

/// Proof that a configuration version was the newest at a time.
struct proof_message
{
    freshness_proof proof;
};

struct document_message
{
    store_row row;
};

/// Starts or stops following the document in the store.
struct follow_message
{
    bool on = false;
    bool ranked = false; ///< one of the ranked readers of its data centre
};

using tick_atom = caf::atom_constant<caf::atom("tick")>;
using leave_atom = caf::atom_constant<caf::atom("leave")>;
using feed_atom = caf::atom_constant<caf::atom("feed")>;
using members_atom = caf::atom_constant<caf::atom("members")>;

struct control_context
{
    control_options options;
    control_callbacks callbacks;
    event_log* events = nullptr;
    config_cache* cache = nullptr;
    /// Whether the last call to the store succeeded. Set by the actors that
    /// read it, and published to other nodes by the membership actor.
    std::atomic<bool> follows_store{false};
};

/// Records whether the store answered, logs a change, and notifies the request
/// thread.
/// @param known previous result; updated
void record_store_state(control_context& x, bool& known, bool reachable,
                        const std::string& detail);

caf::behavior member_actor(caf::event_based_actor* self,
                           std::shared_ptr<control_context> context);

/// Keeps the configuration. Blocks on the store, so it needs a thread of its
/// own, as do the actors below.
caf::behavior config_actor(caf::event_based_actor* self,
                           std::shared_ptr<control_context> context,
                           caf::actor members);

/// Follows the document in the store while this node is a reader, and sends
/// each new one to `config`.
caf::behavior feed_actor(caf::event_based_actor* self,
                         std::shared_ptr<control_context> context,
                         caf::actor config, caf::actor members);

/// Keeps this node's row in the store and discovers other nodes by theirs.
caf::behavior presence_actor(caf::event_based_actor* self,
                             std::shared_ptr<control_context> context,
                             caf::actor members);

} // namespace jasminetray

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::datagram_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::self_record_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::baseline_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::version_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::config_peers_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::loads_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::quarantine_messages)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::contacts_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::store_time_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::read_until_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::proof_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::document_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::follow_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::store_restored_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::config_conflict_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::era_message)
