// The actor that lets nodes find each other: each writes one row about
// itself when it starts and reads the others' once. All that follows spreads
// by membership. Calls to the store block, so it has a thread of its own.
#include "base/random_func.hpp"
#include "base/text_func.hpp"
#include "node/control_type.hpp"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>

namespace jasminetray {

namespace {

constexpr char node_table[] = "jasminetray-nodes";
constexpr span_us first_pause = 100 * us_per_ms; // after a failed call
constexpr span_us max_pause = us_per_s;

/// State of the actor.
struct presence_keeper
{
    std::shared_ptr<control_context> context;
    random_state rng;
    bool written = false;
    bool read = false;
    bool leaving = false;
    span_us pause = first_pause;
};

/// "ip:port data-centre", the data centre as its hash.
std::string contact_text(const node_record& r)
{
    return boost::asio::ip::make_address_v4(r.address.ip).to_string() + ":" +
           std::to_string(r.address.gossip_port) + " " +
           to_hex(static_cast<std::uint64_t>(r.centre));
}

std::optional<contact> parse_contact(const std::string& text)
{
    const auto parts = split(text, ' ');
    const auto at =
        parts.size() == 2 ? parse_host_port(parts[0]) : std::nullopt;
    const auto centre = at ? parse_hex(parts[1]) : std::nullopt;
    if (!centre)
        return std::nullopt;
    contact c;
    c.address.ip = boost::asio::ip::make_address_v4(at->ip).to_uint();
    c.address.gossip_port = at->port;
    c.centre = static_cast<centre_id>(*centre);
    return c;
}

row_name own_row(const presence_keeper& k)
{
    return {node_table, k.context->start.self.name};
}

/// Writes the row. A name has one node at a time, so no condition is needed:
/// the newest start is the one to be found.
bool write_row(const presence_keeper& k)
{
    store_error last{};
    row_write w;
    w.name = own_row(k);
    w.value = contact_text(k.context->start.self);
    return k.context->start.store.write_rows({w}, last);
}

std::vector<contact> parse_rows(const presence_keeper& k, const row_list& list)
{
    std::vector<contact> nodes;
    for (const auto& r : list.rows) {
        if (r.key == k.context->start.self.name)
            continue;
        if (const auto c = parse_contact(r.row.value))
            nodes.push_back(*c);
        else
            k.context->events->write(event_id::contact_malformed, r.key,
                                     "value=" + r.row.value);
    }
    return nodes;
}

bool read_contacts(caf::event_based_actor* self, const presence_keeper& k,
                   const caf::actor& members)
{
    store_error last{};
    const auto sent = uptime_now();
    const auto list = k.context->start.store.list_rows(node_table, last);
    if (!list)
        return false;
    if (list->store_time)
        self->send(members, store_time_message{*list->store_time, sent});
    self->send(members, contacts_message{parse_rows(k, *list)});
    return true;
}

/// Takes the row away when the node stops for good or for a while: a name
/// that stands there for nobody is asked by every node that starts.
void remove_row(const presence_keeper& k)
{
    store_error last{};
    row_write w;
    w.name = own_row(k);
    w.remove = true;
    if (!k.context->start.store.write_rows({w}, last)) {
        k.context->events->write(
            event_id::contact_kept, k.context->start.self.name,
            "error=" + std::string(name_of(store_error_names, last)));
    }
}

} // namespace

caf::behavior presence_actor(caf::event_based_actor* self,
                             std::shared_ptr<control_context> context,
                             caf::actor members)
{
    auto k = std::make_shared<presence_keeper>();
    k->context = std::move(context);
    k->rng.value = k->context->start.seed + 2;
    self->send(self, tick_atom::value);
    return {
        [=](tick_atom) {
            if (k->leaving)
                return;
            // Written first: of two that start together the later reader
            // finds the other, whichever that is. A store that takes no
            // writes may still tell who is there.
            const bool was_written = k->written;
            k->written = k->written || write_row(*k);
            if (!k->read || !was_written)
                k->read = read_contacts(self, *k, members);
            if (k->written && k->read)
                return;
            const auto jitter =
                random_below(k->rng, static_cast<std::uint64_t>(k->pause));
            self->delayed_send(self,
                               std::chrono::microseconds(
                                   k->pause / 2 + static_cast<span_us>(jitter)),
                               tick_atom::value);
            k->pause = std::min(max_pause, 2 * k->pause);
        },
        [=](leave_atom) {
            k->leaving = true;
            if (k->written)
                remove_row(*k);
        },
    };
}

} // namespace jasminetray
