// Catalogue of events. `jasminetray-ctl events` generates docs/EVENTS.md from
// this table.
#pragma once

#include "event/event_type.hpp"

#include <array>

namespace jasminetray {

inline constexpr std::array event_table = {
    event_row{event_id::request_routed, "request_routed",
              "An entry node chose a backend server for a request.",
              "None; the line shows the choice and the alternatives."},
    event_row{event_id::request_retried, "request_retried",
              "An attempt failed and was retried: the request is idempotent or "
              "the attempt provably did not run.",
              "None; a rising rate points at an unhealthy service."},
    event_row{event_id::request_hedged, "request_hedged",
              "An idempotent request exceeded the response timeout and got a "
              "second attempt on a new connection.",
              "None; many of them on one path point at a lossy link."},
    event_row{event_id::attempt_revoked, "attempt_revoked",
              "An entry node asked an exit node, on a new connection, to "
              "revoke an attempt that exceeded the response timeout.",
              "None; the reply is in the line."},
    event_row{event_id::request_answered, "request_answered",
              "The caller received the backend server's answer.", "None."},
    event_row{event_id::refused_no_route, "refused_no_route",
              "No route of the configuration matches host and path.",
              "Compare the request with `config show`."},
    event_row{
        event_id::refused_no_config, "refused_no_config",
        "The node has no configuration yet and serves nothing.",
        "Check 4003 and 4005 on the node; it needs a peer or the store once."},
    event_row{event_id::refused_no_worker, "refused_no_worker",
              "No usable backend server of the service is known.",
              "`service show`; look for 3003, 3007 and 2001."},
    event_row{event_id::refused_team_limit, "refused_team_limit",
              "The team's request rate is above its limit.",
              "Raise the team's rate or ask the team."},
    event_row{event_id::refused_overload, "refused_overload",
              "All backend servers that were tried are at capacity.",
              "Add backend servers; the response tells callers when to retry."},
    event_row{event_id::refused_not_run, "refused_not_run",
              "The request was refused and provably did not run.",
              "The reason is in the line; callers may retry."},
    event_row{event_id::refused_unknown, "refused_unknown",
              "It is unknown whether the request ran.",
              "Reconcile by request id with the service's own records."},
    event_row{event_id::refused_bad_request, "refused_bad_request",
              "The request is malformed or too large.", "None."},
    event_row{event_id::refused_key_claimed, "refused_key_claimed",
              "The idempotency key was already used by another request.",
              "None; the first request's id is in the line."},
    event_row{event_id::refused_key_unproven, "refused_key_unproven",
              "The table service could not confirm that the idempotency key is "
              "new, so the request was not run.",
              "Check the table service (4003)."},
    event_row{event_id::answer_cut, "answer_cut",
              "A response was truncated after its head had been forwarded; the "
              "caller's connection was closed to signal the error.",
              "Check the backend server's health (2001)."},
    event_row{event_id::echo_mismatch, "echo_mismatch",
              "A response carried the id of another request and was discarded.",
              "The backend server mixes up responses; take it out of service."},
    event_row{event_id::work_refused, "work_refused",
              "An exit node's gate rejected a request; it did not run.",
              "The reason is in the line; the entry node tries another backend "
              "server."},
    event_row{event_id::work_ended, "work_ended",
              "A request that was passed to a backend server ended.",
              "None; the line has worker, end and duration."},
    event_row{event_id::refused_unclear, "refused_unclear",
              "The configuration of the route has a value that this version "
              "does not understand; only the route's requests are refused.",
              "See 4006 of the version in force."},
    event_row{event_id::refused_key, "refused_key",
              "The request has no team key, or more than one, on a route that "
              "requires one.",
              "`reason` says which; compare the key's team with the "
              "configuration in force."},
    event_row{event_id::refused_unproven, "refused_unproven",
              "The node cannot prove that its configuration is fresh enough to "
              "verify team keys; the request did not run.",
              "See 4007 of the node."},
    event_row{event_id::work_waited, "work_waited",
              "A request left the queue of an exit node's gate.",
              "None; the line has the wait, the time left and whether the "
              "request was started or refused."},
    event_row{event_id::request_shortened, "request_shortened",
              "A stopping node shortened the deadline of a request and "
              "notified the gates where it may be queued.",
              "None; `told=0` means that the exit node could not be reached."},
    event_row{
        event_id::refused_quarantined, "refused_quarantined",
        "The request crashed several backend servers before; it was not run.",
        "See 2012 for its fingerprint and 3016 for the crashes."},
    event_row{
        event_id::retries_borrowed, "retries_borrowed",
        "A node asked other nodes for retry tokens because its own share of "
        "the allowance was spent: a stopping one, or for its hedges.",
        "None; few granted tokens mean that the fleet's allowance is used up."},
    event_row{event_id::refusal_unproven, "refusal_unproven",
              "A refusal without a request id on a reused connection was "
              "skipped: it may belong to an earlier request, and the current "
              "one may run.",
              "Let the backend server echo request ids in its refusals."},
    event_row{event_id::answer_head_too_large, "answer_head_too_large",
              "The head of a backend server's answer exceeds the limit; the "
              "caller got 502, and the work may have run.",
              "Shorten the answer's header fields."},
    event_row{event_id::callers_cut, "callers_cut",
              "The time of a node to stop was over while callers still waited "
              "for answers; their connections were closed.",
              "Compare [limits] stop_ms with the platform's grace period."},
    event_row{event_id::grants_held, "grants_held",
              "A node noticed that its process had paused, and leaves the "
              "limits of its teams to the next node for a while.",
              "None; many of them mean that the VM gets too little CPU time."},
    event_row{event_id::grant_returned, "grant_returned",
              "A grant was given back because its request was refused as not "
              "run, or could not be given back (failed=).",
              "None; failed= is usual while nodes of a former build run."},
    event_row{event_id::byte_cost_changed, "byte_cost_changed",
              "The cost of bytes between data centres in force has changed.",
              "None; `source` says whether the setting or the configuration "
              "decided."},
    event_row{
        event_id::speed_classed, "speed_classed",
        "A backend server of this VM takes longer than its service's mean "
        "for the same requests beyond doubt, or no longer does (slow=0); "
        "the line has its time relative to the mean, the standard error "
        "of its logarithm, and the samples and routes behind it.",
        "If it lasts, compare its VM with the others of the service: "
        "`placement SERVICE` shows all."},
    event_row{event_id::body_memory_full, "body_memory_full",
              "A request was refused as not run, because the node's memory "
              "for bodies was in use; the line says by what. Further refusals "
              "are counted until body_memory_free.",
              "See docs/OPERATIONS.md, \"A node is short of memory\"."},
    event_row{event_id::upload_ended, "upload_ended",
              "A large body was not streamed to its end; the line says which "
              "side ended it. The work may have run.",
              "None; many with end=sink-slow point at a backend server that "
              "reads too slowly."},
    event_row{event_id::upload_held, "upload_held",
              "A large body was held whole, as the other node is of a build or "
              "has a setting that takes no streams.",
              "Update that node, or set its [node] body_memory."},
    event_row{
        event_id::knee_changed, "knee_changed",
        "A backend server of this VM gets slower with each request beyond "
        "some concurrency, its knee; 0 when there is no evidence any "
        "more. The line has the concurrency above, and how much longer "
        "work takes there.",
        "None; the gate keeps to the knee while others have room. With "
        "many of one service, lower the slots that they announce."},
    event_row{event_id::work_moved, "work_moved",
              "Queued work left for another backend server: it would be late "
              "here, or its backend server is at its knee. The line has what "
              "the gate expected and the free slots that it knew of.",
              "None; many of one gate point at a slow backend server."},
    event_row{event_id::hedge_decided, "hedge_decided",
              "An overdue request was hedged, or not for lack of a retry; the "
              "line has the share of hedges that win on its route, the part of "
              "the retries that they may take, and the reserve that they "
              "leave to failures.",
              "None; result=allowance means that the retries are used up."},
    event_row{
        event_id::message_too_long, "message_too_long",
        "A part of a message is longer than its limit, and its connection "
        "was closed; the line names who sent it, the part, the limit and "
        "the bytes that were held.",
        "Find the sender; a caller's limits are those of the "
        "configuration."},
    event_row{event_id::body_memory_free, "body_memory_free",
              "The node's memory for bodies has room again after "
              "body_memory_full.",
              "None."},
    event_row{event_id::answer_malformed, "answer_malformed",
              "Bytes that came as an answer are none in the protocol; the line "
              "names who sent them and the error. Nothing of them is passed "
              "on: the work may have run and is sent again where it may be, "
              "else its caller got 502.",
              "Repair the sender; a backend server's count as failures."},
    event_row{event_id::worker_ejected, "worker_ejected",
              "The evidence against a backend server exceeded its threshold.",
              "`explain ejection` shows evidence, threshold and floor."},
    event_row{event_id::worker_returned, "worker_returned",
              "An ejected backend server answered its probe traffic "
              "successfully and is back in service.",
              "None."},
    event_row{
        event_id::ejection_held_by_floor, "ejection_held_by_floor",
        "A backend server met the criteria for ejection, but the service would "
        "have fallen below its floor; it stays in use at reduced weight.",
        "Add capacity: the service is at its floor."},
    event_row{event_id::ejection_held_by_peers, "ejection_held_by_peers",
              "A backend server looks unhealthy, but so do its peers: the "
              "whole service is worse than its baseline.",
              "Look for a shared cause, such as a release or a database."},
    event_row{event_id::path_avoided, "path_avoided",
              "This entry node stopped using its path to an exit node.",
              "Check the network between the two nodes; other paths may work."},
    event_row{event_id::path_restored, "path_restored",
              "An avoided path works again.", "None."},
    event_row{event_id::self_doubt_began, "self_doubt_began",
              "Most paths of this node fail: it assumes a local fault and "
              "reports no other node.",
              "Check this VM and its network."},
    event_row{event_id::self_doubt_ended, "self_doubt_ended",
              "Most paths of this node work again; the local fault has ended.",
              "None."},
    event_row{event_id::node_doubted, "node_doubted",
              "Entry nodes in several data centres report that an exit node is "
              "partially failed.",
              "Check that VM; `explain ejection` lists the reporting nodes."},
    event_row{event_id::worker_suspected, "worker_suspected",
              "Recent results of a backend server indicate that it is probably "
              "unhealthy; work is withheld until a request succeeds or the "
              "suspicion expires.",
              "None; 2001 reports an ejection."},
    event_row{event_id::worker_trusted, "worker_trusted",
              "Recent results of a suspected backend server indicate that it "
              "is healthy again.",
              "None."},
    event_row{
        event_id::quarantine_began, "quarantine_began",
        "All nodes refuse a request, identified by its fingerprint: several "
        "processes crashed while they ran it, and none has answered it since.",
        "Find it by its fingerprint in 3016 and 1023, and fix the crash in the "
        "service."},
    event_row{event_id::quarantine_ended, "quarantine_ended",
              "A quarantined request is admitted again.", "None."},
    event_row{event_id::quarantine_not_stored, "quarantine_not_stored",
              "A quarantine row could not be written or removed.",
              "Check the store; running nodes share the quarantine by gossip "
              "as well."},
    event_row{event_id::quarantine_malformed, "quarantine_malformed",
              "A row of the quarantine table could not be parsed.",
              "Check which other program writes to that table."},
    event_row{event_id::node_joined, "node_joined",
              "A node joined the fleet or rejoined it.", "None."},
    event_row{event_id::node_suspected, "node_suspected",
              "A node answered neither direct nor indirect probes.",
              "None; 3003 follows unless the node answers."},
    event_row{event_id::node_dead, "node_dead",
              "A suspected node did not answer in time and is considered dead.",
              "Replace the VM if the platform has not."},
    event_row{event_id::node_leaving, "node_leaving",
              "A node announced that it is shutting down.", "None."},
    event_row{event_id::worker_announced, "worker_announced",
              "A backend server announced itself to its node.", "None."},
    event_row{event_id::worker_draining, "worker_draining",
              "A backend server is draining and receives no new work.",
              "None."},
    event_row{event_id::worker_gone, "worker_gone",
              "A backend server left or its announcement expired.",
              "Check the process on that VM."},
    event_row{event_id::identity_clash, "identity_clash",
              "Another process uses this node's name.",
              "Two VMs share one settings file; give one a new name."},
    event_row{event_id::worker_probed, "worker_probed",
              "A node queried the address of its backend server for the "
              "identity of the process there.",
              "None; repeated failures to reach it mean that it is down."},
    event_row{event_id::contact_malformed, "contact_malformed",
              "A row of the node table could not be parsed.",
              "Check which other program writes to that table."},
    event_row{event_id::contact_kept, "contact_kept",
              "A stopping node could not remove its row from the store.",
              "None; its next start overwrites the row."},
    event_row{event_id::node_forgotten, "node_forgotten",
              "A dead node was removed from the membership table after its "
              "retention time.",
              "None."},
    event_row{
        event_id::check_in_refused, "check_in_refused",
        "An announcement could not be parsed or does not identify its process; "
        "earlier announcements stay valid.",
        "Check which other program announces backend servers to that node."},
    event_row{event_id::worker_restarted, "worker_restarted",
              "A backend server restarted under the same name; requests of the "
              "previous incarnation ended with an unknown result.",
              "None; frequent restarts point at a crashing process."},
    event_row{event_id::worker_start_learned, "worker_start_learned",
              "A backend server that was found through its health check has "
              "reported its start time; its requests continue.",
              "None."},
    event_row{event_id::worker_crashed, "worker_crashed",
              "A backend server's process ended while it ran requests; "
              "`running` has their fingerprints.",
              "A fingerprint that repeats across crashes identifies a request "
              "that crashes backend servers."},
    event_row{
        event_id::worker_limit_named, "worker_limit_named",
        "A backend server named how many requests a second it accepts from "
        "the whole fleet, or changed the number.",
        "Add capacity if it stays; `status` shows the limit, its source and "
        "the starts in the window."},
    event_row{event_id::worker_limit_ended, "worker_limit_ended",
              "A backend server that had named a limit answered without one.",
              "None."},
    event_row{event_id::worker_leaving_said, "worker_leaving_said",
              "A backend server said in an answer that it is leaving.",
              "None."},
    event_row{event_id::worker_notice_malformed, "worker_notice_malformed",
              "A limit or a notice of leaving in an answer can't be read; it "
              "was ignored.",
              "Fix the backend server; the line has the values."},
    event_row{event_id::worker_notice_noted, "worker_notice_noted",
              "An entry node passed on the first answer that names a limit or "
              "says that the backend server is leaving; it binds the node.",
              "None."},
    event_row{event_id::config_in_force, "config_in_force",
              "A configuration version came into force on this node.", "None."},
    event_row{
        event_id::config_refused, "config_refused",
        "A configuration version could not be used.",
        "The reason is in the line; the previous version stays in force."},
    event_row{event_id::store_unreachable, "store_unreachable",
              "The platform's store does not answer this node.",
              "The fleet keeps serving; submissions are not accepted until the "
              "store is back."},
    event_row{event_id::store_reachable, "store_reachable",
              "The platform's store answers this node again.", "None."},
    event_row{event_id::config_fetch_failed, "config_fetch_failed",
              "A newer version is known but could not be fetched.",
              "None unless it persists: peers and store are tried in turn."},
    event_row{event_id::config_unclear, "config_unclear",
              "A part of the configuration in force was not understood and has "
              "its safest meaning; the line names the part.",
              "Upgrade the fleet to a version that supports it."},
    event_row{
        event_id::freshness_lost, "freshness_lost",
        "The node has not been able to confirm for too long that its "
        "configuration is the newest; it refuses requests that need a team "
        "key.",
        "Check the node's connection to the store (4003) and to its peers."},
    event_row{event_id::freshness_proven, "freshness_proven",
              "The configuration is confirmed to be fresh; requests with team "
              "keys are served.",
              "None."},
    event_row{
        event_id::store_restored, "store_restored",
        "The store came back from an older copy of itself. Its present "
        "content is used from now on, in a new era.",
        "Check that the configuration in the store is the wanted one, and "
        "submit it again if not."},
    event_row{event_id::operator_drain, "operator_drain",
              "An operator drained a node or a backend server.", "None."},
    event_row{event_id::operator_eject, "operator_eject",
              "An operator ejected a backend server.",
              "None; the ejection expires by itself."},
    event_row{event_id::operator_readmit, "operator_readmit",
              "An operator readmitted a backend server.", "None."},
    event_row{event_id::operator_denied, "operator_denied",
              "A change was requested without a valid token.",
              "Find out who requested it."},
    event_row{event_id::operator_release, "operator_release",
              "An operator released a request from quarantine.",
              "None; the line has who and why."},
    event_row{event_id::process_started, "process_started",
              "A node's process started.", "None."},
    event_row{event_id::process_stopping, "process_stopping",
              "A node's process drains and stops.", "None."},
    event_row{event_id::settings_reloaded, "settings_reloaded",
              "The settings file was reloaded (on SIGHUP or after a change).",
              "None; changed addresses take effect at the next start."},
    event_row{event_id::settings_refused, "settings_refused",
              "The reloaded settings file is invalid; the previous settings "
              "stay in use.",
              "Fix the file; the line has the error."},
    event_row{event_id::handler_failed, "handler_failed",
              "An exception ended the handling of one request, connection or "
              "task; the others go on.",
              "If it repeats, look for a lack of memory on the VM, and report "
              "it with the part and the error in the line."},
    event_row{event_id::memory_low, "memory_low",
              "More than half of the reserve of memory is used (began=) or no "
              "longer (ended=); meanwhile a node that has other requests "
              "refuses new ones with 503, reason=no-memory.",
              "Give the process more memory, or lower [limits] most_in_flight "
              "or most_body."},
    event_row{event_id::log_lines_dropped, "log_lines_dropped",
              "Lines of one event were dropped from the log because they "
              "exceeded the rate limit; the event rings still have them.",
              "None; the count is in the line."},
};

} // namespace jasminetray
