// Cap'n Proto RPC; see peer_rpc.hpp.
#include "rpc/peer_rpc.hpp"

#include "wire/peer.capnp.h"

#include <atomic>
#include <capnp/ez-rpc.h>
#include <future>
#include <kj/async-io.h>
#include <kj/exception.h>
#include <kj/timer.h>

namespace jasminetray {

namespace {

constexpr std::uint8_t no_reply = 255;

class peer_service final : public wire::Peer::Server
{
public:
    explicit peer_service(peer_handlers handlers)
        : handlers_(std::move(handlers))
    {
    }

    kj::Promise<void> revoke(RevokeContext context) override
    {
        const auto p = context.getParams();
        const auto a = parse_attempt_id(std::string(p.getAttempt()));
        const auto reply =
            a ? handlers_.revoke(*a, static_cast<boot_id>(p.getBoot()))
              : std::nullopt;
        context.getResults().setReply(reply ? static_cast<std::uint8_t>(*reply)
                                            : no_reply);
        return kj::READY_NOW;
    }

    kj::Promise<void> chunk(ChunkContext context) override
    {
        const auto found = handlers_.chunk(context.getParams().getHash());
        auto r = context.getResults();
        r.setFound(found.has_value());
        if (found) {
            r.setData(
                kj::arrayPtr(reinterpret_cast<const kj::byte*>(found->data()),
                             found->size()));
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> query(QueryContext context) override
    {
        const std::string text(context.getParams().getRequest());
        context.getResults().setAnswer(handlers_.query(text));
        return kj::READY_NOW;
    }

private:
    peer_handlers handlers_;
};

std::string ip_text(std::uint32_t ip)
{
    return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) +
           "." + std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

/// Runs one call on a connection of its own, bounded in time.
template <typename Result, typename Call>
std::optional<Result> run_call(std::uint32_t ip, std::uint16_t port,
                               span_us bound, Call call)
{
    std::optional<Result> result;
    // The library reports a lost connection by exception; here it is one of
    // the expected outcomes.
    const auto failed = kj::runCatchingExceptions([&] {
        capnp::EzRpcClient client(ip_text(ip), port);
        auto peer = client.getMain<wire::Peer>();
        auto& timer = client.getIoProvider().getTimer();
        result = timer.timeoutAfter(bound * kj::MICROSECONDS, call(peer))
                     .wait(client.getWaitScope());
    });
    if (failed != nullptr)
        return std::nullopt;
    return result;
}

} // namespace

struct peer_server::running
{
    std::thread thread;
    std::uint16_t port = 0;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop;
};

peer_server::peer_server() : running_(std::make_unique<running>())
{
}

std::unique_ptr<peer_server> peer_server::make(const std::string& ip,
                                               std::uint16_t port,
                                               peer_handlers handlers,
                                               std::string& why)
{
    std::unique_ptr<peer_server> s(new peer_server);
    std::promise<std::string> started;
    auto* r = s->running_.get();
    r->thread = std::thread([&started, ip, port, r,
                             handlers = std::move(handlers)]() mutable {
        bool told = false;
        const auto failed = kj::runCatchingExceptions([&] {
            capnp::EzRpcServer server(
                kj::heap<peer_service>(std::move(handlers)), ip, port);
            auto& scope = server.getWaitScope();
            r->port = static_cast<std::uint16_t>(server.getPort().wait(scope));
            auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
            r->stop = kj::mv(pair.fulfiller);
            told = true;
            started.set_value("");
            pair.promise.wait(scope);
        });
        KJ_IF_MAYBE (e, failed) {
            if (!told)
                started.set_value(e->getDescription().cStr());
        }
    });
    why = started.get_future().get();
    if (!why.empty())
        return nullptr;
    return s;
}

peer_server::~peer_server()
{
    if (running_->stop.get() != nullptr)
        running_->stop->fulfill();
    if (running_->thread.joinable())
        running_->thread.join();
}

std::uint16_t peer_server::port() const
{
    return running_->port;
}

std::optional<revoke_reply> call_revoke(std::uint32_t ip, std::uint16_t port,
                                        const attempt_id& a, boot_id boot,
                                        span_us bound)
{
    const auto n =
        run_call<std::uint8_t>(ip, port, bound, [&](wire::Peer::Client& c) {
            auto q = c.revokeRequest();
            q.setAttempt(to_text(a));
            q.setBoot(static_cast<std::uint64_t>(boot));
            return q.send().then([](auto&& r) { return r.getReply(); });
        });
    if (!n || *n >= revoke_reply_names.size())
        return std::nullopt;
    return static_cast<revoke_reply>(*n);
}

std::optional<std::string> call_chunk(std::uint32_t ip, std::uint16_t port,
                                      std::uint64_t hash, span_us bound)
{
    using found = std::optional<std::string>;
    return run_call<found>(ip, port, bound,
                           [&](wire::Peer::Client& c) {
                               auto q = c.chunkRequest();
                               q.setHash(hash);
                               return q.send().then([](auto&& r) -> found {
                                   if (!r.getFound())
                                       return std::nullopt;
                                   const auto d = r.getData();
                                   return std::string(
                                       reinterpret_cast<const char*>(d.begin()),
                                       d.size());
                               });
                           })
        .value_or(std::nullopt);
}

std::optional<std::string> call_query(std::uint32_t ip, std::uint16_t port,
                                      const std::string& json, span_us bound)
{
    return run_call<std::string>(ip, port, bound, [&](wire::Peer::Client& c) {
        auto q = c.queryRequest();
        q.setRequest(json);
        return q.send().then(
            [](auto&& r) { return std::string(r.getAnswer()); });
    });
}

} // namespace jasminetray
