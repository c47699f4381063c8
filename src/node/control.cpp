// Start and stop of the control actors; see control.hpp.
#include "node/control_type.hpp"

namespace jasminetray {

namespace {

caf::actor_system_config& configure_scheduler(caf::actor_system_config& c)
{
    // The default work-stealing scheduler polls when idle and wastes CPU time.
    c.set("scheduler.policy", caf::atom("sharing"));
    c.set("scheduler.max-threads", 1);
    return c;
}

} // namespace

void record_store_state(control_context& x, bool& known, bool reachable,
                        const std::string& detail)
{
    if (reachable != known) {
        x.events->write(reachable ? event_id::store_reachable
                                  : event_id::store_unreachable,
                        x.options.settings.platform, detail);
    }
    known = reachable;
    x.follows_store = reachable;
    x.callbacks.store_state_changed(reachable);
}

struct control::actor_set
{
    caf::actor_system_config config;
    std::unique_ptr<caf::actor_system> system;
    caf::actor members;
    caf::actor configuration;
    caf::actor feed;     ///< null without a document source
    caf::actor presence; ///< null without a store
};

control::control(control_options options, control_callbacks callbacks,
                 event_log& events, config_cache& cache)
    : actors_(std::make_unique<actor_set>())
{
    auto context = std::make_shared<control_context>();
    context->options = std::move(options);
    context->callbacks = std::move(callbacks);
    context->events = &events;
    context->cache = &cache;
    auto& r = *actors_;
    r.system =
        std::make_unique<caf::actor_system>(configure_scheduler(r.config));
    r.members = r.system->spawn(member_actor, context);
    // Calls to the store block, so these actors run in threads of their own and
    // do not delay failure detection by the membership actor.
    r.configuration =
        r.system->spawn<caf::detached>(config_actor, context, r.members);
    caf::anon_send(r.members, members_atom::value, r.configuration);
    if (context->options.documents.parse) {
        r.feed = r.system->spawn<caf::detached>(feed_actor, context,
                                                r.configuration, r.members);
        caf::anon_send(r.members, feed_atom::value, r.feed);
    }
    if (context->options.has_store)
        r.presence =
            r.system->spawn<caf::detached>(presence_actor, context, r.members);
}

control::~control()
{
    auto& r = *actors_;
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

void control::handle_datagram(std::string bytes, std::uint32_t ip,
                              std::uint16_t port)
{
    caf::anon_send(actors_->members,
                   datagram_message{std::move(bytes), ip, port});
}

void control::send_load_reports(std::vector<load_report> loads)
{
    caf::anon_send(actors_->members, loads_message{std::move(loads)});
}

void control::send_quarantine_messages(std::vector<node_address> to,
                                       std::vector<quarantine_message> messages)
{
    caf::anon_send(actors_->members,
                   quarantine_messages{std::move(to), std::move(messages)});
}

void control::leave()
{
    if (actors_->presence)
        caf::anon_send(actors_->presence, leave_atom::value);
}

void control::update_self(node_record r)
{
    caf::anon_send(actors_->members, self_record_message{std::move(r)});
}

void control::send_baseline_message(std::uint32_t ip, std::uint16_t port,
                                    baseline_query q, bool answer)
{
    caf::anon_send(actors_->members,
                   baseline_message{ip, port, std::move(q), answer});
}

} // namespace jasminetray
