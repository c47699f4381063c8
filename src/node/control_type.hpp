// Messages of the control actors. They stay within the process, so they are
// plain structs that CAF moves without serializing.
#pragma once

#include "member/member_query.hpp"
#include "node/control.hpp"

#include <atomic>
#include <caf/all.hpp>

namespace jasminetray {

/// A datagram that came in.
struct datagram_message
{
    std::string bytes;
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
};

/// The node's own record changed.
struct self_message
{
    node_record record;
};

/// A question about a service to send, or an answer.
struct usual_message
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    baseline_query question;
    bool answer = false;
};

/// A configuration version that somebody has or heard of.
struct version_message
{
    std::uint64_t version = 0;
    std::uint64_t manifest = 0;
};

/// What the configuration actor needs to know about members.
struct peers_message
{
    bool poll = false; ///< this node is one that reads the head
    fetch_sources from;
};

/// How the node's backend servers stand.
struct loads_message
{
    std::vector<load_report> loads;
};

/// Crashes to tell other nodes of.
struct crashes_message
{
    std::vector<node_address> to;
    std::vector<quarantine_message> messages; ///< each to all of them
};

/// Contacts for membership, found in the store.
struct contacts_message
{
    std::vector<contact> nodes;
};

/// The store said its time.
struct store_time_message
{
    store_us said = 0;
    mono_us sent = 0; ///< the call, by the clock that suspension does not stop
};

/// All that the store had up to a moment was handed on before this.
struct read_until_message
{
    store_us at = 0;
};

/// A configuration version was the newest at a moment.
struct proof_message
{
    freshness_proof proof;
};

/// A configuration document that was read from the store.
struct document_message
{
    std::string text;
};

/// Whether this node is to follow the document in the store.
struct follow_message
{
    bool on = false;
    bool ranked = false; ///< as one that the others rely on
};

using tick_atom = caf::atom_constant<caf::atom("tick")>;
using leave_atom = caf::atom_constant<caf::atom("leave")>;
using feed_atom = caf::atom_constant<caf::atom("feed")>;
using members_atom = caf::atom_constant<caf::atom("members")>;

/// Settings, sinks and shared objects of both actors.
struct control_context
{
    control_start start;
    control_sinks sinks;
    event_log* events = nullptr;
    config_cache* cache = nullptr;
    /// The last call that followed the store was answered. Set by the feed,
    /// told to others by membership.
    std::atomic<bool> follows_store{false};
};

/// Notes whether the store answered: for the log when that changed, for the
/// request thread, and for what others are told of this node as a reader.
/// @param known what was noted before; brought up to date
void note_store(control_context& x, bool& known, bool reachable,
                const std::string& detail);

/// Actor that keeps membership.
caf::behavior member_actor(caf::event_based_actor* self,
                           std::shared_ptr<control_context> context);

/// Actor that keeps the configuration; blocking, with its own thread.
caf::behavior config_actor(caf::event_based_actor* self,
                           std::shared_ptr<control_context> context,
                           caf::actor members);

/// Follows the document in the store while it is told to, and hands each new
/// one to `config`.
caf::behavior feed_actor(caf::event_based_actor* self,
                         std::shared_ptr<control_context> context,
                         caf::actor config, caf::actor members);

/// Keeps this node's row in the store and finds other nodes by theirs.
caf::behavior presence_actor(caf::event_based_actor* self,
                             std::shared_ptr<control_context> context,
                             caf::actor members);

} // namespace jasminetray

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::datagram_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::self_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::usual_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::version_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::peers_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::loads_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::crashes_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::contacts_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::store_time_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::read_until_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::proof_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::document_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jasminetray::follow_message)
