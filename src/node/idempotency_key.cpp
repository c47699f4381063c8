// Checks idempotency keys and claims them in the table service.
#include "node/idempotency_key.hpp"

#include "base/on_exit.hpp"
#include "base/text_func.hpp"
#include "node/guard_func.hpp"
#include "node/http_func.hpp"

namespace jasminetray {

namespace {

constexpr char key_table[] = "jasminetray-keys";
constexpr int max_claims = 256; // concurrent calls to the table service

/// Claims an idempotency key in the table service, off the request thread.
/// @param first output: id of the request that owns the key already
/// @return none when this request owns the key
store_error claim_key(node_state& n, const std::string& row,
                      const std::string& owner, std::string& first,
                      const yield& y)
{
    struct claim_state
    {
        store_error error = store_error::unclear;
        std::string first;
    };
    if (n.blocking_pool == nullptr || n.open_key_claims >= max_claims)
        return store_error::unreachable;
    ++n.open_key_claims;
    const on_exit leave([&n] { --n.open_key_claims; });
    auto state = std::make_shared<claim_state>();
    auto signal = std::make_shared<asio::steady_timer>(n.ctx);
    signal->expires_at(asio::steady_timer::time_point::max());
    auto store = n.store;
    const auto claim = [=] {
        store_error result{};
        store.write_rows({{{key_table, row}, 0, owner, false}}, result);
        // After a lost answer or a conflict, reads the row to find its owner.
        if (result != store_error::none) {
            store_error read{};
            const auto found = store.read_row({key_table, row}, read);
            if (found)
                state->first = found->value;
            result = !found                  ? store_error::unclear
                     : found->value == owner ? store_error::none
                                             : store_error::conflict;
        }
        state->error = result;
    };
    post_blocking(n, *n.blocking_pool, "key-claim", [&n, claim, signal] {
        run_guarded(n, "key-claim", claim);
        post_reply(n, "key-claim", [signal] { signal->cancel(); });
    });
    beast::error_code ec;
    signal->async_wait(y[ec]);
    first = state->first;
    return state->error;
}

} // namespace

std::optional<refusal> apply_idempotency_key(node_state& n, entry_request& r,
                                             const yield& y)
{
    const auto key = header_value(r.message, caller_field::key);
    if (key.empty() || r.machine.policy.idempotent ||
        r.route->idempotency_keys == idempotency_key_mode::none)
        return std::nullopt;
    const auto hash = text_hash(r.route->name + "\n" + key);
    refusal x;
    if (r.route->idempotency_keys == idempotency_key_mode::rendezvous) {
        const auto& candidates = n.view.services[r.service_key].candidates;
        const auto index = rendezvous_worker(candidates, hash);
        if (index)
            r.pinned_worker = candidates[*index].id;
        return std::nullopt;
    }
    std::string first;
    const auto e = claim_key(n, "key-" + to_hex(hash), to_text(r.id), first, y);
    if (e == store_error::none)
        return std::nullopt;
    if (e == store_error::conflict) {
        x.status = http::status::conflict;
        x.event = event_id::refused_key_claimed;
        x.reason = "key-claimed-by-" + first;
        return x;
    }
    x.event = event_id::refused_key_unproven;
    x.reason = "key-unproven";
    x.retry_after = us_per_s;
    return x;
}

} // namespace jasminetray
