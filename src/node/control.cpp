// Starting and stopping the control actors; see control.hpp.
#include "node/control_type.hpp"

namespace jasminetray {

namespace {

caf::actor_system_config& quiet_config(caf::actor_system_config& c)
{
    // The work-stealing scheduler polls even when idle; on thousands of
    // small VMs that is CPU for nothing.
    c.set("scheduler.policy", caf::atom("sharing"));
    c.set("scheduler.max-threads", 1);
    return c;
}

} // namespace

void note_store(control_context& x, bool& known, bool reachable,
                const std::string& detail)
{
    if (reachable != known) {
        x.events->write(reachable ? event_id::store_reachable
                                  : event_id::store_unreachable,
                        x.start.settings.platform, detail);
    }
    known = reachable;
    x.follows_store = reachable;
    x.sinks.store_state(reachable);
}

struct control::running
{
    caf::actor_system_config config;
    std::unique_ptr<caf::actor_system> system;
    caf::actor members;
    caf::actor configuration;
    caf::actor feed;     ///< none without documents
    caf::actor presence; ///< none without a store
};

control::control(control_start start, control_sinks sinks, event_log& events,
                 config_cache& cache)
    : running_(std::make_unique<running>())
{
    auto context = std::make_shared<control_context>();
    context->start = std::move(start);
    context->sinks = std::move(sinks);
    context->events = &events;
    context->cache = &cache;
    auto& r = *running_;
    r.system = std::make_unique<caf::actor_system>(quiet_config(r.config));
    r.members = r.system->spawn(member_actor, context);
    // Calls to the store block; a thread of its own keeps them away from
    // membership, which must go on while the store is out.
    r.configuration =
        r.system->spawn<caf::detached>(config_actor, context, r.members);
    caf::anon_send(r.members, members_atom::value, r.configuration);
    if (context->start.documents.parse) {
        r.feed = r.system->spawn<caf::detached>(feed_actor, context,
                                                r.configuration, r.members);
        caf::anon_send(r.members, feed_atom::value, r.feed);
    }
    if (context->start.has_store)
        r.presence =
            r.system->spawn<caf::detached>(presence_actor, context, r.members);
}

control::~control()
{
    auto& r = *running_;
    caf::anon_send_exit(r.members, caf::exit_reason::user_shutdown);
    caf::anon_send_exit(r.configuration, caf::exit_reason::user_shutdown);
    for (auto* a : {&r.feed, &r.presence}) {
        if (*a)
            caf::anon_send_exit(*a, caf::exit_reason::user_shutdown);
        *a = nullptr;
    }
    r.members = nullptr;
    r.configuration = nullptr;
    r.system.reset();
}

void control::take_datagram(std::string bytes, std::uint32_t ip,
                            std::uint16_t port)
{
    caf::anon_send(running_->members,
                   datagram_message{std::move(bytes), ip, port});
}

void control::send_load_reports(std::vector<load_report> loads)
{
    caf::anon_send(running_->members, loads_message{std::move(loads)});
}

void control::send_quarantine_messages(std::vector<node_address> to,
                                       std::vector<quarantine_message> messages)
{
    caf::anon_send(running_->members,
                   crashes_message{std::move(to), std::move(messages)});
}

void control::leave()
{
    if (running_->presence)
        caf::anon_send(running_->presence, leave_atom::value);
}

void control::update_self(node_record r)
{
    caf::anon_send(running_->members, self_message{std::move(r)});
}

void control::send_baseline_message(std::uint32_t ip, std::uint16_t port,
                                    baseline_query q, bool answer)
{
    caf::anon_send(running_->members,
                   usual_message{ip, port, std::move(q), answer});
}

} // namespace jasminetray
