// Cap'n Proto RPC server and client calls of a node.
#include "rpc/peer_rpc.hpp"

#include "base/memory_reserve.hpp"
#include "wire/peer.capnp.h"

#include <capnp/ez-rpc.h>
#include <chrono>
#include <future>
#include <kj/async-io.h>
#include <kj/exception.h>
#include <kj/timer.h>
#include <mutex>

namespace jasminetray {

namespace {

constexpr std::uint8_t no_revoke_reply = 255;
constexpr std::chrono::milliseconds restart_delay(100);

/// Largest message, in bytes. The library takes memory for a message as soon as
/// its length is known. Requests are ids and queries; answers are chunks of the
/// configuration and the results of queries.
constexpr std::uint64_t max_call_bytes = 65536;
constexpr std::uint64_t max_result_bytes = 8 << 20;

capnp::ReaderOptions message_options(std::uint64_t bytes)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = bytes / sizeof(capnp::word);
    return options;
}

class peer_service_impl final : public wire::Peer::Server
{
public:
    explicit peer_service_impl(const peer_handlers& handlers)
        : handlers_(handlers)
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
                                            : no_revoke_reply);
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
    const peer_handlers& handlers_;
};

std::string to_dotted_decimal(std::uint32_t ip)
{
    return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) +
           "." + std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

/// Runs one call on a new connection. Returns nothing on error or timeout. The
/// library ends the process if an allocation fails while it sends.
template <typename Result, typename Call>
std::optional<Result> run_call(std::uint32_t ip, std::uint16_t port,
                               span_us timeout, Call call)
{
    std::optional<Result> result;
    if (!can_allocate(peer_call_bytes))
        return result;
    // EzRpcClient throws when the connection fails.
    const auto failed = kj::runCatchingExceptions([&] {
        capnp::EzRpcClient client(to_dotted_decimal(ip), port,
                                  message_options(max_result_bytes));
        auto peer = client.getMain<wire::Peer>();
        auto& timer = client.getIoProvider().getTimer();
        result = timer.timeoutAfter(timeout * kj::MICROSECONDS, call(peer))
                     .wait(client.getWaitScope());
    });
    if (failed != nullptr)
        return std::nullopt;
    return result;
}

} // namespace

struct peer_server::server_state
{
    std::thread thread;
    std::uint16_t port = 0;
    std::mutex mutex; ///< of the members below
    bool stopping = false;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop;

    bool serve(const peer_handlers& handlers, const std::string& ip,
               std::promise<std::string>* started);
};

/// Serves calls until the server is stopped or its loop fails.
/// @param started set once it listens, or by the reason why it doesn't; may be
///        null
/// @return whether it is to be started again
bool peer_server::server_state::serve(const peer_handlers& handlers,
                                      const std::string& ip,
                                      std::promise<std::string>* started)
{
    bool listened = false;
    const auto failed = kj::runCatchingExceptions([&] {
        capnp::EzRpcServer rpc_server(kj::heap<peer_service_impl>(handlers), ip,
                                      port, message_options(max_call_bytes));
        auto& scope = rpc_server.getWaitScope();
        const auto bound =
            static_cast<std::uint16_t>(rpc_server.getPort().wait(scope));
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        {
            const std::lock_guard lock(mutex);
            if (stopping)
                return;
            stop = kj::mv(pair.fulfiller);
        }
        listened = true;
        if (started != nullptr) {
            port = bound; // and the same after a failure
            started->set_value("");
        }
        pair.promise.wait(scope);
    });
    KJ_IF_MAYBE (exception, failed) {
        if (!listened && started != nullptr) {
            started->set_value(exception->getDescription().cStr());
            return false;
        }
        // Anything may have failed for lack of memory, which passes.
        handlers.failed(exception->getDescription().cStr());
        return true;
    }
    return false;
}

peer_server::peer_server() : state_(std::make_unique<server_state>())
{
}

std::unique_ptr<peer_server> peer_server::make(const std::string& ip,
                                               std::uint16_t port,
                                               peer_handlers handlers,
                                               std::string& error)
{
    std::unique_ptr<peer_server> server(new peer_server);
    std::promise<std::string> started;
    auto* state = server->state_.get();
    state->port = port;
    state->thread =
        std::thread([&started, ip, state, handlers = std::move(handlers)] {
            bool failed = state->serve(handlers, ip, &started);
            while (failed) {
                std::this_thread::sleep_for(restart_delay);
                failed = state->serve(handlers, ip, nullptr);
            }
        });
    error = started.get_future().get();
    if (!error.empty())
        return nullptr;
    return server;
}

peer_server::~peer_server()
{
    {
        const std::lock_guard lock(state_->mutex);
        state_->stopping = true;
        if (state_->stop.get() != nullptr)
            state_->stop->fulfill();
    }
    if (state_->thread.joinable())
        state_->thread.join();
}

std::uint16_t peer_server::port() const
{
    return state_->port;
}

std::optional<revoke_reply> call_revoke(std::uint32_t ip, std::uint16_t port,
                                        const attempt_id& a, boot_id boot,
                                        span_us timeout)
{
    const auto n =
        run_call<std::uint8_t>(ip, port, timeout, [&](wire::Peer::Client& c) {
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
                                      std::uint64_t hash, span_us timeout)
{
    using found = std::optional<std::string>;
    return run_call<found>(ip, port, timeout,
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
                                      const std::string& json, span_us timeout)
{
    return run_call<std::string>(ip, port, timeout, [&](wire::Peer::Client& c) {
        auto q = c.queryRequest();
        q.setRequest(json);
        return q.send().then(
            [](auto&& r) { return std::string(r.getAnswer()); });
    });
}

} // namespace jasminetray
