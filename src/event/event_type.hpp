// Numbered events. Log lines, bodies of refusals and `explain` identify a
// decision by the same number.
#pragma once

#include "base/time_type.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminetray {

/// Event numbers. A number is never reused for another event.
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
    refusal_unproven = 1031,
    answer_head_too_large = 1032,
    callers_cut = 1035,
    grants_held = 1036,
    grant_returned = 1037,
    byte_cost_changed = 1038,
    speed_classed = 1039,
    body_memory_full = 1040,
    upload_ended = 1041,
    upload_held = 1042,
    knee_changed = 1043,
    work_moved = 1045,
    hedge_decided = 1046,
    message_too_long = 1047,
    body_memory_free = 1048,
    answer_malformed = 1049,
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
    worker_limit_named = 3017,
    worker_limit_ended = 3018,
    worker_leaving_said = 3019,
    worker_notice_malformed = 3020,
    worker_notice_noted = 3021,
    config_in_force = 4001,
    config_refused = 4002,
    store_unreachable = 4003,
    store_reachable = 4004,
    config_fetch_failed = 4005,
    config_unclear = 4006,
    freshness_lost = 4007,
    freshness_proven = 4008,
    store_restored = 4009,
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
    handler_failed = 6006,
    memory_low = 6007,
};

/// Subject area of an event. Each family has its own ring, so that a flood of
/// routing decisions does not overwrite recent ejections.
enum class event_family : std::uint8_t
{
    routing,
    health,
    membership,
    configuration,
    operation,
    process,
};

constexpr std::size_t event_family_count = 6;

/// One row of the event catalogue.
struct event_row
{
    event_id id;
    std::string_view name;
    std::string_view meaning;
    std::string_view action; ///< recommended operator action
};

/// A recorded event, as returned by `explain`.
struct event_record
{
    std::uint64_t serial = 0; ///< sequence number in this process
    event_id id{};
    std::int64_t wall_ms = 0;         ///< wall clock; informational only
    std::uint64_t config_version = 0; ///< in force at the time; 0 for none
    std::string subject;              ///< request, worker or node
    std::string detail;               ///< evidence as "key=value key=value"
};

const event_row& find_event_row(event_id id);

/// Returns the family of an event, encoded in the thousands of its number.
event_family event_family_of(event_id id);

constexpr int event_number(event_id id)
{
    return static_cast<int>(id);
}

} // namespace jasminetray
