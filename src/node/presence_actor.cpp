// Actor that lets nodes discover each other: at start each writes a row about
// itself to the store and reads the rows of the others. Later changes spread by
// gossip. Calls to the store block.
#include "base/random_func.hpp"
#include "base/text_func.hpp"
#include "node/control_type.hpp"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>

namespace jasminetray {

namespace {

constexpr char node_table[] = "jasminetray-nodes";
constexpr span_us min_backoff = 100 * us_per_ms; // doubles on failure
constexpr span_us max_backoff = us_per_s;

struct presence_actor_state
{
    std::shared_ptr<control_context> context;
    random_state rng;
    bool row_written = false;
    bool contacts_read = false;
    bool leaving = false;
    span_us backoff = min_backoff;
};

/// Returns the value of a row: "ip:port data-centre", the data centre as a
/// hash.
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

row_name own_row(const presence_actor_state& k)
{
    return {node_table, k.context->options.self.name};
}

/// Writes the row unconditionally: a name belongs to one node at a time, and
/// its newest process is the one to be found.
bool write_row(const presence_actor_state& k)
{
    store_error error{};
    row_write w;
    w.name = own_row(k);
    w.value = contact_text(k.context->options.self);
    return k.context->options.store.write_rows({w}, error);
}

std::vector<contact> parse_rows(const presence_actor_state& k,
                                const row_list& list)
{
    std::vector<contact> nodes;
    for (const auto& r : list.rows) {
        if (r.key == k.context->options.self.name)
            continue;
        if (const auto c = parse_contact(r.row.value))
            nodes.push_back(*c);
        else
            k.context->events->write(event_id::contact_malformed, r.key,
                                     "value=" + r.row.value);
    }
    return nodes;
}

bool read_contacts(caf::event_based_actor* self, const presence_actor_state& k,
                   const caf::actor& members)
{
    store_error error{};
    const auto sent = uptime_now();
    const auto list = k.context->options.store.list_rows(node_table, error);
    if (!list)
        return false;
    if (list->store_time)
        self->send(members, store_time_message{*list->store_time, sent});
    self->send(members, contacts_message{parse_rows(k, *list)});
    return true;
}

/// Removes the row when the node stops, as every node that starts would contact
/// its address.
void remove_row(const presence_actor_state& k)
{
    store_error error{};
    row_write w;
    w.name = own_row(k);
    w.remove = true;
    if (!k.context->options.store.write_rows({w}, error)) {
        k.context->events->write(
            event_id::contact_kept, k.context->options.self.name,
            "error=" + std::string(name_of(store_error_names, error)));
    }
}

} // namespace

caf::behavior presence_actor(caf::event_based_actor* self,
                             std::shared_ptr<control_context> context,
                             caf::actor members)
{
    auto k = std::make_shared<presence_actor_state>();
    k->context = std::move(context);
    k->rng.value = k->context->options.seed + 2;
    self->send(self, tick_atom::value);
    return {
        [=](tick_atom) {
            if (k->leaving)
                return;
            // Writes before reading, so that of two nodes that start together
            // at least one finds the other. Reads even if the write failed, as
            // a read-only store still lists the other nodes.
            const bool row_existed = k->row_written;
            k->row_written = k->row_written || write_row(*k);
            if (!k->contacts_read || !row_existed)
                k->contacts_read = read_contacts(self, *k, members);
            if (k->row_written && k->contacts_read)
                return;
            const auto jitter =
                random_below(k->rng, static_cast<std::uint64_t>(k->backoff));
            self->delayed_send(
                self,
                std::chrono::microseconds(k->backoff / 2 +
                                          static_cast<span_us>(jitter)),
                tick_atom::value);
            k->backoff = std::min(max_backoff, 2 * k->backoff);
        },
        [=](leave_atom) {
            k->leaving = true;
            if (k->row_written)
                remove_row(*k);
        },
    };
}

} // namespace jasminetray
