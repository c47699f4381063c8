// Limits the time of reading from a stream by cancelling it. The stream's own
// timer would close the connection before a refusal could be sent.
#pragma once

#include "node/http_type.hpp"

namespace jasminetray {

class step_timeout
{
public:
    step_timeout(beast::tcp_stream& stream, span_us timeout)
        : timer_(stream.get_executor()), state_(std::make_shared<state>())
    {
        timer_.expires_after(std::chrono::microseconds(timeout));
        timer_.async_wait([&stream, s = state_](beast::error_code ec) {
            // The stream may be destroyed once the step has ended.
            if (ec || s->ended)
                return;
            s->expired = true;
            stream.cancel();
        });
    }

    ~step_timeout()
    {
        state_->ended = true;
    }

    step_timeout(const step_timeout&) = delete;
    step_timeout& operator=(const step_timeout&) = delete;

    bool expired() const
    {
        return state_->expired;
    }

private:
    struct state
    {
        bool ended = false;
        bool expired = false;
    };

    asio::steady_timer timer_;
    std::shared_ptr<state> state_;
};

} // namespace jasminetray
