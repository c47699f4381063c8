// Numbered events: every decision of the fleet has one, so that a log line,
// a refusal's body and an answer of `explain` all name the same thing.
#pragma once

#include "base/time_type.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminetray {

/// Number of an event. Numbers are never reused for another meaning.
enum class event_id : std::uint16_t
{
    request_routed = 1001,
    request_retried = 1002,
    request_hedged = 1003,
    attempt_revoked = 1004,
    request_answered = 1005,
    refused_no_route = 1010,
    refused_no_config = 1011,
    refused_no_worker = 1012,
    refused_team_limit = 1013,
    refused_overload = 1014,
    refused_not_run = 1015,
    refused_unknown = 1016,
    refused_bad_request = 1017,
    refused_key_claimed = 1018,
    refused_key_unproven = 1019,
    answer_cut = 1020,
    echo_mismatch = 1021,
    work_refused = 1022,
    work_ended = 1023,
    refused_unclear = 1024,
    refused_key = 1025,
    refused_unproven = 1026,
    work_waited = 1027,
    request_shortened = 1028,
    refused_quarantined = 1029,
    retries_borrowed = 1030,
    worker_ejected = 2001,
    worker_returned = 2002,
    ejection_held_by_floor = 2003,
    ejection_held_by_peers = 2004,
    path_avoided = 2005,
    path_restored = 2006,
    self_doubt_began = 2007,
    self_doubt_ended = 2008,
    node_doubted = 2009,
    worker_suspected = 2010,
    worker_trusted = 2011,
    quarantine_began = 2012,
    quarantine_ended = 2013,
    quarantine_not_stored = 2014,
    quarantine_malformed = 2015,
    node_joined = 3001,
    node_suspected = 3002,
    node_dead = 3003,
    node_leaving = 3004,
    worker_announced = 3005,
    worker_draining = 3006,
    worker_gone = 3007,
    identity_clash = 3008,
    worker_probed = 3009,
    contact_malformed = 3010,
    contact_kept = 3011,
    node_forgotten = 3012,
    check_in_refused = 3013,
    worker_restarted = 3014,
    worker_start_learned = 3015,
    worker_crashed = 3016,
    config_in_force = 4001,
    config_refused = 4002,
    store_unreachable = 4003,
    store_reachable = 4004,
    config_fetch_failed = 4005,
    config_unclear = 4006,
    freshness_lost = 4007,
    freshness_proven = 4008,
    operator_drain = 5001,
    operator_eject = 5002,
    operator_readmit = 5003,
    operator_denied = 5004,
    operator_release = 5005,
    process_started = 6001,
    process_stopping = 6002,
    log_lines_dropped = 6003,
    settings_reloaded = 6004,
    settings_refused = 6005,
};

/// What an event is about; each family has a ring of its own, so that a
/// flood of routing decisions never overwrites the last ejections.
enum class event_family : std::uint8_t
{
    routing,
    health,
    membership,
    configuration,
    operation,
    process,
};

constexpr std::size_t event_family_count = 6; ///< number of families

/// One row of the event catalogue.
struct event_row
{
    event_id id;              ///< number
    std::string_view name;    ///< name in log lines
    std::string_view meaning; ///< what happened
    std::string_view action;  ///< what an operator does about it
};

/// A decision that was taken, as `explain` returns it.
struct event_record
{
    std::uint64_t serial = 0;         ///< place in this process's order
    event_id id{};                    ///< which event
    std::int64_t wall_ms = 0;         ///< wall clock, for reading only
    std::uint64_t config_version = 0; ///< version in force; 0 for none
    std::string subject;              ///< request, worker or node
    std::string detail;               ///< evidence as "key=value key=value"
};

/// Row of an event; every event_id has one.
const event_row& find_event_row(event_id id);

/// Family of an event, from the thousands of its number.
event_family event_family_of(event_id id);

/// Number as a whole number.
constexpr int event_number(event_id id)
{
    return static_cast<int>(id);
}

} // namespace jasminetray
